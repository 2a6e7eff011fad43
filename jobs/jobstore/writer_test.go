package jobstore_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// startWriters starts two entries that store records for each other, and returns the writer of the
// first.
func startWriters(ctx context.Context, log *jobtest.Log) *jobstore.Writer {
	network := memnet.New()
	var first *jobstore.Writer
	peers := func() []string { return []string{"a", "b"} }
	for _, name := range peers() {
		w := newWriter(ctx, log, name, peers, network.Client("http://"+name))
		network.Attach("http://"+name, newRouter(w.ServeWrite))
		if first == nil {
			first = w
		}
	}
	time.Sleep(50 * time.Millisecond)
	return first
}

// newWriter returns the writer of an entry with a running replica.
func newWriter(
	ctx context.Context, log *jobtest.Log, name string, peers func() []string, client *http.Client,
) *jobstore.Writer {
	replica := startReplica(ctx, log, name)
	return jobstore.NewWriter(log.Client(name), hedge.NewLatency(), replica, peers, name, client, zerolog.Nop())
}

// newRouter returns a router that serves RecordsPath with a handler.
func newRouter(store http.HandlerFunc) http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, jobstore.RecordsPath, store)
	return router
}

func TestWriter(t *testing.T) {
	silent, refuse, reset := jobtest.Fault{Silent: true}, jobtest.Fault{Refuse: true}, jobtest.Fault{Reset: true}
	tests := []struct {
		name string
		a, b jobtest.Fault
		// settle is how long the faults last before the call.
		settle    time.Duration
		stored    bool
		uncertain bool
		within    time.Duration
	}{
		{"all is well", jobtest.Fault{}, jobtest.Fault{}, 0, true, false, 20 * time.Millisecond},
		{"its own connection resets", reset, jobtest.Fault{}, 0, true, false, 100 * time.Millisecond},
		{"its own connection is rejected", refuse, jobtest.Fault{}, 0, true, false, 100 * time.Millisecond},
		{"its own connection is silent", silent, jobtest.Fault{}, 0, true, false, 500 * time.Millisecond},
		{"its own connection has been silent", silent, jobtest.Fault{}, 3 * time.Second, true, false, 100 * time.Millisecond},
		{"both are rejected", refuse, refuse, 0, false, false, 100 * time.Millisecond},
		{"both reset", reset, reset, 0, false, true, 2300 * time.Millisecond},
		{"both have reset: nothing is sent", reset, reset, 500 * time.Millisecond, false, false, 100 * time.Millisecond},
		{"both have been silent: nothing is sent", silent, silent, 3 * time.Second, false, false, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runBubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
				w := startWriters(ctx, log)
				log.SetFault("a", test.a)
				log.SetFault("b", test.b)
				time.Sleep(test.settle)
				call, cancel := context.WithTimeout(ctx, 2200*time.Millisecond)
				defer cancel()
				began := time.Now()
				err := w.Write(call, submission(t, one, ""))
				if took := time.Since(began); took > test.within {
					t.Errorf("the write took %v, want at most %v", took, test.within)
				}
				if (err == nil) != test.stored {
					t.Errorf("got %v, want stored %v", err, test.stored)
				}
				if err != nil && topic.NotApplied(err) == test.uncertain {
					t.Errorf("got %v, want uncertain %v", err, test.uncertain)
				}
			})
		})
	}
}

// unreachableTransport delays and fails requests as connections to a box without power do.
type unreachableTransport struct {
	http.RoundTripper
	mu          sync.Mutex
	unreachable bool
}

func (s *unreachableTransport) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *unreachableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	unreachable := s.unreachable
	s.mu.Unlock()
	if !unreachable {
		return s.RoundTripper.RoundTrip(r)
	}
	time.Sleep(400 * time.Millisecond)
	return nil, &net.OpError{Op: "dial", Err: errors.New("i/o timeout")}
}

// TestGonePeer checks that an entry whose box is down delays only one rejection, and that the entry
// is used again once it is back.
func TestGonePeer(t *testing.T) {
	runBubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
		network := memnet.New()
		peer := newWriter(ctx, log, "b", func() []string { return nil }, http.DefaultClient)
		network.Attach("http://b", newRouter(peer.ServeWrite))
		client := network.Client("http://a")
		transport := &unreachableTransport{RoundTripper: client.Transport, unreachable: true}
		client.Transport = transport
		w := newWriter(ctx, log, "a", func() []string { return []string{"a", "b"} }, client)
		log.SetFault("a", jobtest.Fault{Refuse: true})
		rejected := func(within time.Duration) {
			t.Helper()
			began := time.Now()
			if err := w.Write(ctx, submission(t, one, "")); !topic.NotApplied(err) {
				t.Errorf("got %v, want a rejection", err)
			}
			if took := time.Since(began); took > within {
				t.Errorf("the rejection took %v, want at most %v", took, within)
			}
		}
		time.Sleep(50 * time.Millisecond)
		rejected(500 * time.Millisecond)
		for range 20 {
			time.Sleep(900 * time.Millisecond)
			rejected(20 * time.Millisecond)
		}
		transport.setUnreachable(false)
		back := time.Now()
		for w.Write(ctx, submission(t, one, "")) != nil {
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(back); took > 1200*time.Millisecond {
			t.Errorf("an entry that is back was used after %v, want at most 1.2s", took)
		}
	})
}

// startFleet starts entries that store records for each other, and returns the writer of the first.
// The log rejects the given number of entries, starting with the first. asked counts the records
// that entries were asked to store.
func startFleet(ctx context.Context, log *jobtest.Log, entries, rejected int, asked *atomic.Int64) *jobstore.Writer {
	network := memnet.New()
	names := make([]string, entries)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%02d", i)
	}
	var first *jobstore.Writer
	for i, name := range names {
		entry := newWriter(ctx, log, name, func() []string { return names }, network.Client("http://"+name))
		network.Attach("http://"+name, newRouter(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			entry.ServeWrite(w, r)
		}))
		if i == 0 {
			first = entry
		}
		if i < rejected {
			log.SetFault(name, jobtest.Fault{Refuse: true})
		}
	}
	return first
}

// TestFewAreAsked checks that in a large fleet a rejection doesn't wait for each entry, even if the
// log rejects the first of them, and that a route is found if the log rejects only part of the
// entries.
func TestFewAreAsked(t *testing.T) {
	const entries = 55
	tests := []struct {
		name string
		// rejected is how many of the entries the log rejects, starting with the first.
		rejected int
		stored   bool
	}{
		{"all are rejected", entries, false},
		{"the first third is rejected", entries / 3, true},
		{"two thirds are rejected", 2 * entries / 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runBubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
				var asked atomic.Int64
				w := startFleet(ctx, log, entries, test.rejected, &asked)
				time.Sleep(100 * time.Millisecond)
				for range entries {
					asked.Store(0)
					began := time.Now()
					err := w.Write(ctx, submission(t, one, ""))
					if (err == nil) != test.stored || err != nil && !topic.NotApplied(err) {
						t.Errorf("got %v, want stored %v", err, test.stored)
					}
					if took := time.Since(began); took > 100*time.Millisecond || asked.Load() > 5 {
						t.Errorf("%d entries were asked in %v", asked.Load(), took)
					}
				}
			})
		})
	}
}
