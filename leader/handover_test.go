package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/hedge"
	"yarrowgrade.example/yarrowgrade/jobstore"
)

// countingTransport refuses each offer and notes to whom it was made.
type countingTransport struct {
	mu    sync.Mutex
	hosts []string
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, r.URL.Host)
	return nil, errors.New("refused")
}

// TestFewEntriesAreOffered: a leader that did not reach the store asked all other entries at once to lead, and each that would claimed the next
// term. It asks a few, first those that should lead, and others in the next round.
func TestFewEntriesAreOffered(t *testing.T) {
	const watched = 2500 * time.Millisecond
	const atOnce = 5
	for _, n := range []int{20, 40} {
		synctest.Test(t, func(t *testing.T) {
			entries := make([]string, n)
			for i := range entries {
				entries[i] = fmt.Sprintf("10.0.0.%d:7000", i)
			}
			able := entries[:n/2]
			counted := &countingTransport{}
			tm := &term{leader: jobstore.Leader{Term: 1, Name: "e", Address: entries[0]}, parts: Parts{
				Client: &http.Client{Transport: counted}, Latency: hedge.NewLatency(),
				Peers: func() []string { return entries }, Able: func() []string { return able },
			}}
			ctx, cancel := context.WithTimeout(t.Context(), watched)
			defer cancel()
			tm.handOver(ctx, func() { t.Error("it was handed over") })
			if len(counted.hosts) < 2*atOnce {
				t.Fatalf("only %d offers were made", len(counted.hosts))
			}
			if most := int(watched/handOverPause+1) * atOnce; len(counted.hosts) > most {
				t.Errorf("%d offers to %d entries, want at most %d", len(counted.hosts), n, most)
			}
			for _, host := range counted.hosts[:atOnce] {
				if !slices.Contains(able, host) || host == entries[0] {
					t.Errorf("the first round asked %s, want one that should lead", host)
				}
			}
		})
	}
}
