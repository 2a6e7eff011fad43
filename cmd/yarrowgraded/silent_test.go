package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/loopback"
)

// newBarrierServer returns a server that answers requests for /together only after n of them are
// open, so that they need n connections. It answers all other requests immediately.
func newBarrierServer(n int64) *httptest.Server {
	var arrived atomic.Int64
	all := make(chan struct{})
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			if arrived.Add(1) == n {
				close(all)
			}
			<-all
		}
		_, _ = io.WriteString(w, "here")
	}))
}

func get(ctx context.Context, c *http.Client, url string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := c.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// TestSilentConnections checks that after several idle connections have stopped responding, only
// the first request times out, and the next one is answered on a new connection.
func TestSilentConnections(t *testing.T) {
	const idle, short, long = 5, 100 * time.Millisecond, 10 * time.Second
	server := newBarrierServer(idle)
	defer server.Close()
	link, err := loopback.NewLink()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.ForwardTo(server.Listener.Addr().String())
	client := &http.Client{Transport: newTransport()}
	var wg conc.WaitGroup
	for range idle {
		wg.Go(func() {
			if err := get(t.Context(), client, link.URL()+"/together", long); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := link.Blackhole(); n != idle {
		t.Fatalf("%d connections, want %d", n, idle)
	}
	if err := get(t.Context(), client, link.URL(), short); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("request on a silent connection: got %v, want a timeout", err)
	}
	if err := get(t.Context(), client, link.URL(), long); err != nil {
		t.Errorf("request after the timeout: %v", err)
	}
	if n := link.Blackhole(); n != idle+1 {
		t.Errorf("got %d connections, want one more than before", n)
	}
}
