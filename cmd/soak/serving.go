package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// notServingError describes the last answers of the entries and the state of the store when the
// system did not start to serve in time.
type notServingError struct {
	limit   time.Duration
	entries []string
	store   string
}

// Error implements error.
func (e *notServingError) Error() string {
	return fmt.Sprintf("the system does not serve within %v of its start: %s; %s",
		e.limit, strings.Join(e.entries, "; "), e.store)
}

// awaitService waits until all entries answer that they do not know a job that was never submitted.
// It returns a *notServingError if they do not within the limit.
func (sc *scenario) awaitService(ctx context.Context, limit time.Duration) error {
	seen := make([]string, len(sc.cluster.entries))
	for began := time.Now(); time.Since(began) < limit && ctx.Err() == nil; time.Sleep(pollInterval) {
		ready := true
		for i, e := range sc.cluster.entries {
			_, a := sc.callers.caller(i, validKey).State(ctx, prefix(0), unknownJob)
			if a.Status < 400 || a.Status >= 500 {
				ready = false
			}
			seen[i] = fmt.Sprintf("%s (%s) answered %d %s (%v) in %v", e.name, e.processState(), a.Status, a.Body, a.Err, a.Took)
		}
		if ready {
			return nil
		}
	}
	return &notServingError{limit: limit, entries: seen, store: sc.cluster.storeState(ctx)}
}

// processState describes whether the process of a box runs. A process that cannot listen on its
// address exits and logs the reason.
func (b *box) processState() string {
	select {
	case <-b.process.Done():
		return fmt.Sprintf("its process has ended with %d", b.process.ExitCode())
	default:
		return "its process runs"
	}
}

// storeState describes the response time of the store, which this process serves.
func (c *cluster) storeState(ctx context.Context) string {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.store, nil)
	if err != nil {
		return fmt.Sprintf("cannot create a request for the store: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Sprintf("the store did not answer within %v: %v", time.Since(began), err)
	}
	response.Body.Close()
	return fmt.Sprintf("the store answered in %v", time.Since(began))
}
