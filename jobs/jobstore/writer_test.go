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

// writers starts two entries that keep records for each other.
func writers(t *testing.T, ctx context.Context, log *jobtest.Log) *jobstore.Writer {
	network := memnet.New()
	var first *jobstore.Writer
	peers := func() []string { return []string{"a", "b"} }
	for _, name := range peers() {
		r := jobstore.NewReplica(log.Client(name), alone, zerolog.Nop())
		go r.Run(ctx)
		k := jobstore.NewWriter(log.Client(name), hedge.NewLatency(), r, peers, name, network.Client("http://"+name), zerolog.Nop())
		router := httprouter.New()
		router.HandlerFunc(http.MethodPost, jobstore.RecordsPath, k.ServeWrite)
		network.Attach("http://"+name, router)
		if first == nil {
			first = k
		}
	}
	time.Sleep(50 * time.Millisecond)
	return first
}

func TestWriter(t *testing.T) {
	silent, refuse, reset := jobtest.Fault{Silent: true}, jobtest.Fault{Refuse: true}, jobtest.Fault{Reset: true}
	tests := []struct {
		name string
		a, b jobtest.Fault
		// settle is how long the faults last before the call.
		settle time.Duration
		kept   bool
		doubt  bool
		within time.Duration
	}{
		{"all is well", jobtest.Fault{}, jobtest.Fault{}, 0, true, false, 20 * time.Millisecond},
		{"its own way resets", reset, jobtest.Fault{}, 0, true, false, 100 * time.Millisecond},
		{"its own way refuses", refuse, jobtest.Fault{}, 0, true, false, 100 * time.Millisecond},
		{"its own way is silent", silent, jobtest.Fault{}, 0, true, false, 500 * time.Millisecond},
		{"its own way has been silent", silent, jobtest.Fault{}, 3 * time.Second, true, false, 100 * time.Millisecond},
		{"both refuse", refuse, refuse, 0, false, false, 100 * time.Millisecond},
		{"both reset", reset, reset, 0, false, true, 2300 * time.Millisecond},
		{"both have reset for a while: nothing is sent", reset, reset, 500 * time.Millisecond, false, false, 100 * time.Millisecond},
		{"both have been silent: nothing is sent", silent, silent, 3 * time.Second, false, false, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
				k := writers(t, ctx, log)
				log.SetFault("a", test.a)
				log.SetFault("b", test.b)
				time.Sleep(test.settle)
				call, cancel := context.WithTimeout(ctx, 2200*time.Millisecond)
				defer cancel()
				began := time.Now()
				err := k.Write(call, submission(t, one, ""))
				if took := time.Since(began); took > test.within {
					t.Errorf("it took %v, want at most %v", took, test.within)
				}
				if (err == nil) != test.kept {
					t.Errorf("got %v, want kept %v", err, test.kept)
				}
				if err != nil && topic.NotApplied(err) == test.doubt {
					t.Errorf("got %v, want doubt %v", err, test.doubt)
				}
			})
		})
	}
}

// slowDial lets connections to a host fail as those to a box without power: after a while.
type slowDial struct {
	http.RoundTripper
	mu   sync.Mutex
	gone bool
}

func (s *slowDial) setGone(gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = gone
}

func (s *slowDial) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	gone := s.gone
	s.mu.Unlock()
	if !gone {
		return s.RoundTripper.RoundTrip(r)
	}
	time.Sleep(400 * time.Millisecond)
	return nil, &net.OpError{Op: "dial", Err: errors.New("i/o timeout")}
}

// TestGonePeer: an entry whose box is gone holds up one refusal, and no later one; once it is back its way is used again.
func TestGonePeer(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
		network := memnet.New()
		peer := jobstore.NewWriter(log.Client("b"), hedge.NewLatency(), followed(ctx, log, "b"), func() []string { return nil }, "b", http.DefaultClient, zerolog.Nop())
		router := httprouter.New()
		router.HandlerFunc(http.MethodPost, jobstore.RecordsPath, peer.ServeWrite)
		network.Attach("http://b", router)
		client := network.Client("http://a")
		dial := &slowDial{RoundTripper: client.Transport, gone: true}
		client.Transport = dial
		w := jobstore.NewWriter(log.Client("a"), hedge.NewLatency(), followed(ctx, log, "a"), func() []string { return []string{"a", "b"} }, "a", client, zerolog.Nop())
		log.SetFault("a", jobtest.Fault{Refuse: true})
		refused := func(within time.Duration) {
			t.Helper()
			began := time.Now()
			if err := w.Write(ctx, submission(t, one, "")); !topic.NotApplied(err) {
				t.Errorf("got %v, want a refusal", err)
			}
			if took := time.Since(began); took > within {
				t.Errorf("the refusal took %v, want at most %v", took, within)
			}
		}
		time.Sleep(50 * time.Millisecond)
		refused(500 * time.Millisecond)
		for range 20 {
			time.Sleep(900 * time.Millisecond)
			refused(20 * time.Millisecond)
		}
		dial.setGone(false)
		back := time.Now()
		for w.Write(ctx, submission(t, one, "")) != nil {
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(back); took > 1200*time.Millisecond {
			t.Errorf("the way of an entry that is back was used after %v", took)
		}
	})
}

// TestFewAreAsked: in a fleet of entries a refusal does not wait for each of them, also when the first of them are gone, and where only part of
// the entries are turned away the others are found.
func TestFewAreAsked(t *testing.T) {
	const entries = 55
	tests := []struct {
		name string
		// refused is how many of the entries, from the first on, the log turns away.
		refused int
		kept    bool
	}{
		{"all are turned away", entries, false},
		{"the first third is turned away", entries / 3, true},
		{"two thirds are turned away", 2 * entries / 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, log *jobtest.Log) {
				network := memnet.New()
				var names []string
				for i := range entries {
					names = append(names, fmt.Sprintf("entry-%02d", i))
				}
				var asked atomic.Int64
				var w *jobstore.Writer
				for i, name := range names {
					k := jobstore.NewWriter(log.Client(name), hedge.NewLatency(), followed(ctx, log, name), func() []string { return names }, name, network.Client("http://"+name), zerolog.Nop())
					router := httprouter.New()
					router.HandlerFunc(http.MethodPost, jobstore.RecordsPath, func(w http.ResponseWriter, r *http.Request) {
						asked.Add(1)
						k.ServeWrite(w, r)
					})
					network.Attach("http://"+name, router)
					if i == 0 {
						w = k
					}
					if i < test.refused {
						log.SetFault(name, jobtest.Fault{Refuse: true})
					}
				}
				time.Sleep(100 * time.Millisecond)
				for range entries {
					asked.Store(0)
					began := time.Now()
					err := w.Write(ctx, submission(t, one, ""))
					if (err == nil) != test.kept || err != nil && !topic.NotApplied(err) {
						t.Errorf("got %v, want kept %v", err, test.kept)
					}
					if took := time.Since(began); took > 100*time.Millisecond || asked.Load() > 5 {
						t.Errorf("%d entries were asked in %v", asked.Load(), took)
					}
				}
			})
		})
	}
}
