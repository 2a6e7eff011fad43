package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// notServingError says what was seen of each entry, and of the store, when the system did not serve
// in time after its start.
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

// awaitService waits until all entries answer that they don't know some job. It returns a
// notServingError if they don't within the limit.
func (d *day) awaitService(ctx context.Context, limit time.Duration) error {
	seen := make([]string, len(d.cluster.entries))
	for began := time.Now(); time.Since(began) < limit && ctx.Err() == nil; time.Sleep(pollPause) {
		ready := true
		for i, e := range d.cluster.entries {
			_, a := d.callers.caller(i, keptKey).State(ctx, prefix(0), noJob)
			if a.Status < 400 || a.Status >= 500 {
				ready = false
			}
			seen[i] = fmt.Sprintf("%s (%s) answered %d %s (%v) in %v", e.name, e.processState(), a.Status, a.Body, a.Err, a.Took)
		}
		if ready {
			return nil
		}
	}
	return &notServingError{limit: limit, entries: seen, store: d.cluster.storeState(ctx)}
}

// processState says whether the process of a box runs. One that can't listen on its address has
// ended, and its log says so.
func (b *box) processState() string {
	select {
	case <-b.process.Done():
		return fmt.Sprintf("its process has ended with %d", b.process.ExitCode())
	default:
		return "its process runs"
	}
}

// storeState says how soon the store answers, which is played by this process.
func (c *cluster) storeState(ctx context.Context) string {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.store, nil)
	if err != nil {
		return fmt.Sprintf("the store can't be asked: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Sprintf("the store gave no answer in %v: %v", time.Since(began), err)
	}
	response.Body.Close()
	return fmt.Sprintf("the store answered in %v", time.Since(began))
}
