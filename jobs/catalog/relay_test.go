package catalog_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// relays are followers of which some read the log and the others ask these.
type relays struct {
	ctx     context.Context
	log     *jobtest.Log
	network *memnet.Network
	reads   *jobtest.CountedLog
	relayed []*catalog.Follower
	readers []*catalog.Follower
	sources []string
}

// withRelays runs a test with two followers that read the log and n that ask these.
func withRelays(t *testing.T, n int, f func(t *testing.T, r *relays)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &relays{
			ctx:     ctx,
			log:     jobtest.NewLog(1),
			network: memnet.New(),
			sources: []string{"source-0", "source-1"},
		}
		defer func() { r.network.Heal(); cancel(); time.Sleep(30 * time.Second) }()
		r.put(t, 1)
		r.reads = &jobtest.CountedLog{Log: r.log.Client("relayed")}
		format := catalog.Format{ConfigKey: "config", Config: decode}
		follow := func(log topic.Log) *catalog.Follower {
			fo := catalog.NewFollower(log, format, zerolog.Nop()).
				WithReaders(func() int { return n }, func() bool { return false })
			go fo.Run(ctx)
			return fo
		}
		for _, name := range r.sources {
			mux := http.NewServeMux()
			reader := follow(r.log.Client(name))
			r.readers = append(r.readers, reader)
			mux.Handle(catalog.RelayPath, reader.RelayServer())
			r.network.Attach("http://"+name, mux)
		}
		for i := range n {
			client := r.network.Client(fmt.Sprintf("http://relayed-%d", i))
			sources := func() []string { return r.sources }
			r.relayed = append(r.relayed, follow(topic.NewRelayClient(r.reads, catalog.RelayPath, client, sources, zerolog.Nop())))
		}
		time.Sleep(3 * time.Second)
		f(t, r)
	})
}

func (r *relays) put(t *testing.T, version int) {
	t.Helper()
	record := topic.Record{Key: "config", Value: fmt.Append(nil, version)}
	if _, err := r.log.Client("operator").Append(r.ctx, []topic.Record{record}, topic.Condition{}); err != nil {
		t.Fatal(err)
	}
}

// oldest is the age of the oldest proof of those that ask.
func (r *relays) oldest() time.Duration {
	oldest := time.Duration(0)
	for _, f := range r.relayed {
		_, proof := f.Current()
		oldest = max(oldest, time.Since(proof))
	}
	return oldest
}

// TestNewsAreHandedOn: each of 183 entries read each configuration from the log, and asked twice
// a second whether there was one, 366 calls a second. A few read it; the others get it from them
// as soon, and their proof stays as young as that of a reader.
func TestNewsAreHandedOn(t *testing.T) {
	for _, n := range []int{20, 40} {
		withRelays(t, n, func(t *testing.T, r *relays) {
			before := r.reads.Reads()
			for version := 2; version < 7; version++ {
				r.put(t, version)
				time.Sleep(10 * time.Millisecond)
				for i, f := range r.relayed {
					if c, _ := f.Current(); c.Version != int64(version) {
						t.Errorf("10 ms after version %d was stored, %d of %d has %d", version, i, n, c.Version)
					}
				}
				for range 200 {
					time.Sleep(10 * time.Millisecond)
					if age := r.oldest(); age > 1500*time.Millisecond {
						t.Fatalf("a proof is %v old, want at most 1.5 s", age)
					}
				}
			}
			if got := r.reads.Reads() - before; got != 0 {
				t.Errorf("%d reads of the log by %d that ask others, want none", got, n)
			}
		})
	}
}

// TestRelayedProofIsNotYounger: keys that were removed must not be accepted on a proof that
// claims to be younger than it is. A follower that asks others never has a proof from after the
// newest of theirs, nor from after the moment at which all were cut off from the log.
func TestRelayedProofIsNotYounger(t *testing.T) {
	withRelays(t, 4, func(t *testing.T, r *relays) {
		for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(7 * time.Millisecond) {
			var newest time.Time
			for _, f := range r.readers {
				if _, proof := f.Current(); proof.After(newest) {
					newest = proof
				}
			}
			for i, f := range r.relayed {
				if _, proof := f.Current(); proof.After(newest) {
					t.Fatalf("%d has a proof %v younger than any that could be handed on", i, proof.Sub(newest))
				}
			}
		}
		for _, name := range append([]string{"relayed"}, r.sources...) {
			r.log.SetFault(name, jobtest.Fault{Silent: true})
		}
		for cut := time.Now(); time.Since(cut) < 6*time.Second; time.Sleep(7 * time.Millisecond) {
			for i, f := range r.relayed {
				if _, proof := f.Current(); proof.After(cut) {
					t.Fatalf("%v after the cut, %d has a proof from %v after it", time.Since(cut), i, proof.Sub(cut))
				}
			}
		}
	})
}

// TestRelayFailures: what was relayed stays good while a process is cut off from the log; and
// where no source answers, it reads the log.
func TestRelayFailures(t *testing.T) {
	tests := []struct {
		name string
		fail func(r *relays)
		most time.Duration
	}{
		{"relayed ones are rejected by the log", func(r *relays) {
			r.log.SetFault("relayed", jobtest.Fault{Refuse: true})
		}, 1500 * time.Millisecond},
		{"sources are rejected by the log", func(r *relays) {
			for _, name := range r.sources {
				r.log.SetFault(name, jobtest.Fault{Refuse: true})
			}
		}, 2500 * time.Millisecond},
		{"one source is gone", func(r *relays) { r.network.Kill("http://source-0") }, 2500 * time.Millisecond},
		{"sources are silent", func(r *relays) {
			for _, name := range r.sources {
				r.network.Freeze("http://" + name)
			}
		}, 2500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRelays(t, 4, func(t *testing.T, r *relays) {
				test.fail(r)
				for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
					if age := r.oldest(); age > test.most {
						t.Fatalf("%v later a proof is %v old, want at most %v", time.Since(began), age, test.most)
					}
				}
				r.put(t, 2)
				time.Sleep(time.Second)
				for i, f := range r.relayed {
					if c, _ := f.Current(); c.Version != 2 {
						t.Errorf("a second after version 2 was stored, %d has %d", i, c.Version)
					}
				}
			})
		})
	}
}
