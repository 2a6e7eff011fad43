package leader

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// countingTransport notes who was called. Hosts in gone refuse connections; the others answer
// with an empty object, or with a conflict if refusing is set.
type countingTransport struct {
	mu       sync.Mutex
	hosts    []string
	gone     map[string]bool
	refusing bool
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, r.URL.Host)
	if c.gone[r.URL.Host] {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	status := http.StatusOK
	if c.refusing {
		status = http.StatusConflict
	}
	return &http.Response{
		StatusCode: status,
		Body:       io.NopCloser(strings.NewReader("{}")),
		Header:     http.Header{},
		Request:    r,
	}, nil
}

// testTerm is a term in which an entry leads.
type testTerm struct {
	leader directory.Leader
	deps   Dependencies
}

// withTerm runs a test with a term of the first of n entries, half of which have little processor
// time.
func withTerm(t *testing.T, n int, f func(t *testing.T, ctx context.Context, tm *testTerm, calls *countingTransport)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(30 * time.Second) }()
		log := jobtest.NewLog(1)
		for i := range n {
			directory.RegisterEntry(ctx, log.Client("e"), fmt.Sprintf("entry-%d", i), addressOf(i), 0.2+0.8*float64(i%2))
		}
		entries := directory.NewDirectory(log.Client("e"), zerolog.Nop())
		go entries.Run(ctx)
		time.Sleep(time.Second)
		calls := &countingTransport{gone: map[string]bool{}}
		leader := directory.Leader{Term: 1, Incarnation: "e", Address: addressOf(1)}
		f(t, ctx, &testTerm{leader: leader, deps: Dependencies{
			Client:       &http.Client{Transport: calls},
			Latency:      hedge.NewLatency(),
			DirectoryLog: log.Client("e"),
			Directory:    entries,
			Logger:       zerolog.Nop(),
		}}, calls)
	})
}

func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// TestFewEntriesAreOffered: a leader that could not write offered leadership to all other entries
// at once, and each that accepted claimed the next term. It asks a few, first those that are
// large enough to lead.
func TestFewEntriesAreOffered(t *testing.T) {
	const watched = 2500 * time.Millisecond
	const atOnce = 5
	for _, n := range []int{20, 40} {
		withTerm(t, n, func(t *testing.T, ctx context.Context, tm *testTerm, calls *countingTransport) {
			calls.refusing = true
			eligible := tm.deps.Directory.EligibleAddresses()
			ctx, cancel := context.WithTimeout(ctx, watched)
			defer cancel()
			handover{leader: tm.leader, deps: tm.deps}.whileFailing(ctx, func() { t.Error("it was handed over") })
			if len(calls.hosts) < 2*atOnce {
				t.Fatalf("only %d offers were made", len(calls.hosts))
			}
			if most := int(watched/offerInterval+1) * atOnce; len(calls.hosts) > most {
				t.Errorf("%d offers to %d entries, want at most %d", len(calls.hosts), n, most)
			}
			for _, host := range calls.hosts[:atOnce] {
				if !slices.Contains(eligible, host) || host == addressOf(1) {
					t.Errorf("the first round asked %s, want one that should lead", host)
				}
			}
		})
	}
}

// TestGoneEntriesArePruned: registrations stayed for good, so that after months most of the
// registered entries were boxes that no longer existed. The leader deregisters those that fail
// three checks in a row, at a cost that does not grow with the entries.
func TestGoneEntriesArePruned(t *testing.T) {
	for _, n := range []int{20, 40} {
		withTerm(t, n, func(t *testing.T, ctx context.Context, tm *testTerm, calls *countingTransport) {
			gone := tm.deps.Directory.Standbys()[0]
			calls.gone[tm.deps.Directory.AddressesByName()[gone]] = true
			const watched = 20 * time.Second
			go newPruner(tm.deps, tm.leader.Address).run(ctx)
			time.Sleep(watched)
			listed := tm.deps.Directory.AddressesByName()
			if _, ok := listed[gone]; ok || len(listed) != n-1 {
				t.Errorf("%d of %d are listed, want all but %s", len(listed), n, gone)
			}
			if standbys := tm.deps.Directory.Standbys(); len(standbys) != 5 || slices.Contains(standbys, gone) {
				t.Errorf("standbys are %v, want five that are there", standbys)
			}
			// Five standbys and three others in each round, and the one that is gone.
			if most := int(watched/pruneInterval) * (5 + 3 + 1); len(calls.hosts) > most {
				t.Errorf("%d calls in %v with %d entries, want at most %d", len(calls.hosts), watched, n, most)
			}
		})
	}
}

// TestEntryAnnouncesItselfAgain: an entry that was deregistered although it runs is soon registered again.
func TestEntryAnnouncesItselfAgain(t *testing.T) {
	withTerm(t, 4, func(t *testing.T, ctx context.Context, tm *testTerm, _ *countingTransport) {
		d := tm.deps.Directory
		go d.KeepRegistered(ctx, tm.deps.DirectoryLog, "entry-9", addressOf(9), 1)
		time.Sleep(10 * time.Second)
		if err := directory.DeregisterEntries(ctx, tm.deps.DirectoryLog, []string{"entry-9", "entry-2"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if listed := d.AddressesByName(); listed["entry-9"] != addressOf(9) || listed["entry-2"] != "" {
			t.Errorf("listed are %v, want entry-9 and not entry-2", listed)
		}
	})
}
