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

// newTogether returns a server that answers requests for /together once n of them are open, so that
// they need n connections. It answers all others at once.
func newTogether(n int64) *httptest.Server {
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

// TestSilentConnections: when several idle connections have gone silent, the first request on one
// of them times out, and the next one is answered, on a new connection.
func TestSilentConnections(t *testing.T) {
	const idle, short, long = 5, 100 * time.Millisecond, 10 * time.Second
	server := newTogether(idle)
	defer server.Close()
	link, err := loopback.NewLink()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.Lead(server.Listener.Addr().String())
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
	if n := link.Silence(); n != idle {
		t.Fatalf("%d connections, want %d", n, idle)
	}
	if err := get(t.Context(), client, link.URL(), short); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("on a silent connection: %v, want no answer in time", err)
	}
	if err := get(t.Context(), client, link.URL(), long); err != nil {
		t.Errorf("after it: %v", err)
	}
	if n := link.Silence(); n != idle+1 {
		t.Errorf("%d connections were made, want one more than before", n)
	}
}
