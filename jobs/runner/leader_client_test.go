package runner_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// countingTransport answers no request and counts the queries for the leader.
type countingTransport struct{ asked atomic.Int64 }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == assignment.LeaderPath {
		c.asked.Add(1)
	}
	return nil, errors.New("connection refused")
}

// TestFewEntriesAreAsked checks that the number of entries that an agent queries does not depend on
// how many there are. Querying all of them scales badly: when a third of the entries could not
// reach the store, 800 agents that each queried 183 entries three times a second caused 160,000
// connections, and 27 MB of memory at each entry instead of 7.
func TestFewEntriesAreAsked(t *testing.T) {
	for _, n := range []int{20, 40} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() { cancel(); time.Sleep(10 * time.Second) }()
			log := jobtest.NewLog(1)
			for i := range n {
				directory.RegisterEntry(ctx, log.Client("e"), fmt.Sprintf("entry-%d", i), fmt.Sprintf("10.0.0.%d:7000", i), 1)
			}
			directory := directory.NewDirectory(log.Client("a"), zerolog.Nop())
			go directory.Run(ctx)
			time.Sleep(time.Second)
			counted := &countingTransport{}
			client := runner.NewLeaderClient(directory, &http.Client{Transport: counted})
			const rounds = 10
			for range rounds {
				if _, err := client.Poll(ctx, assignment.Poll{}); err == nil {
					t.Fatal("the poll succeeded although there is no leader")
				}
				time.Sleep(time.Second)
			}
			if got := counted.asked.Load(); got == 0 || got > 3*rounds {
				t.Errorf("with %d entries, %d queries were sent in %d rounds, want some, and at most 3 per round", n, got, rounds)
			}
		})
	}
}
