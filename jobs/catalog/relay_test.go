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

// relayFixture holds followers that read the log and followers that get records relayed by them.
type relayFixture struct {
	ctx     context.Context
	log     *jobtest.Log
	network *memnet.Network
	reads   *jobtest.CountedLog
	relayed []*catalog.Follower
	readers []*catalog.Follower
	sources []string
}

// withRelays runs a test with two followers that read the log and n that get records relayed by
// them.
func withRelays(t *testing.T, n int, f func(t *testing.T, r *relayFixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &relayFixture{
			ctx:     ctx,
			log:     jobtest.NewLog(1),
			network: memnet.New(),
			sources: []string{"source-0", "source-1"},
		}
		defer func() { r.network.Heal(); cancel(); time.Sleep(30 * time.Second) }()
		r.put(t, 1)
		r.reads = &jobtest.CountedLog{Log: r.log.Client("relayed")}
		format := catalog.Format{ConfigKey: "config", DecodeConfig: decode}
		follow := func(log topic.Log) *catalog.Follower {
			follower := catalog.NewFollower(log, format, zerolog.Nop()).
				WithReaders(func() int { return n }, func() bool { return false })
			go follower.Run(ctx)
			return follower
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
			r.relayed = append(r.relayed,
				follow(topic.NewRelayClient(r.reads, catalog.RelayPath, client, sources, zerolog.Nop())))
		}
		time.Sleep(3 * time.Second)
		f(t, r)
	})
}

func (r *relayFixture) put(t *testing.T, version int) {
	t.Helper()
	record := topic.Record{Key: "config", Value: fmt.Append(nil, version)}
	if _, err := r.log.Client("operator").Append(r.ctx, []topic.Record{record}, topic.Condition{}); err != nil {
		t.Fatal(err)
	}
}

// oldestAge returns the longest time since a relayed follower was last confirmed to be current.
func (r *relayFixture) oldestAge() time.Duration {
	oldest := time.Duration(0)
	for _, f := range r.relayed {
		_, syncedAt := f.Current()
		oldest = max(oldest, time.Since(syncedAt))
	}
	return oldest
}

// TestNewsAreHandedOn checks that relaying relieves the log. Without it, each of 183 entries reads
// each configuration from the log and polls for new ones twice per second, 366 calls per second.
// With it, a few entries read the log; the others get new records from them as soon, and are
// confirmed to be current as recently as a reader.
func TestNewsAreHandedOn(t *testing.T) {
	for _, n := range []int{20, 40} {
		withRelays(t, n, func(t *testing.T, r *relayFixture) {
			before := r.reads.Reads()
			for version := 2; version < 7; version++ {
				r.put(t, version)
				time.Sleep(10 * time.Millisecond)
				for i, f := range r.relayed {
					if c, _ := f.Current(); c.Version != int64(version) {
						t.Errorf("10 ms after version %d was stored, follower %d of %d has %d", version, i, n, c.Version)
					}
				}
				for range 200 {
					time.Sleep(10 * time.Millisecond)
					if age := r.oldestAge(); age > 1500*time.Millisecond {
						t.Fatalf("a follower was last confirmed %v ago, want at most 1.5 s", age)
					}
				}
			}
			if got := r.reads.Reads() - before; got != 0 {
				t.Errorf("%d reads of the log by %d relayed followers, want none", got, n)
			}
		})
	}
}

// TestRelayedProofIsNotYounger checks that relaying never makes a confirmation look more recent
// than it is, since removed keys would then be accepted for too long. A relayed follower must not
// have a later confirmation than the newest of its sources, nor one from after the time when all
// of them were cut off from the log.
func TestRelayedProofIsNotYounger(t *testing.T) {
	withRelays(t, 4, func(t *testing.T, r *relayFixture) {
		for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(7 * time.Millisecond) {
			var newest time.Time
			for _, f := range r.readers {
				if _, syncedAt := f.Current(); syncedAt.After(newest) {
					newest = syncedAt
				}
			}
			for i, f := range r.relayed {
				if _, syncedAt := f.Current(); syncedAt.After(newest) {
					t.Fatalf("follower %d has a confirmation %v later than any of its sources", i, syncedAt.Sub(newest))
				}
			}
		}
		for _, name := range append([]string{"relayed"}, r.sources...) {
			r.log.SetFault(name, jobtest.Fault{Silent: true})
		}
		for cut := time.Now(); time.Since(cut) < 6*time.Second; time.Sleep(7 * time.Millisecond) {
			for i, f := range r.relayed {
				if _, syncedAt := f.Current(); syncedAt.After(cut) {
					t.Fatalf("%v after the cut, follower %d was confirmed %v after it", time.Since(cut), i, syncedAt.Sub(cut))
				}
			}
		}
	})
}

// TestRelayFailures checks that relayed records stay current while a process is cut off from the
// log, and that a process reads the log itself if no source answers.
func TestRelayFailures(t *testing.T) {
	tests := []struct {
		name   string
		fail   func(r *relayFixture)
		maxAge time.Duration
	}{
		{"relayed ones are rejected by the log", func(r *relayFixture) {
			r.log.SetFault("relayed", jobtest.Fault{Refuse: true})
		}, 1500 * time.Millisecond},
		{"sources are rejected by the log", func(r *relayFixture) {
			for _, name := range r.sources {
				r.log.SetFault(name, jobtest.Fault{Refuse: true})
			}
		}, 2500 * time.Millisecond},
		{"one source is gone", func(r *relayFixture) { r.network.Kill("http://source-0") }, 2500 * time.Millisecond},
		{"sources are silent", func(r *relayFixture) {
			for _, name := range r.sources {
				r.network.Freeze("http://" + name)
			}
		}, 2500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRelays(t, 4, func(t *testing.T, r *relayFixture) {
				test.fail(r)
				for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
					if age := r.oldestAge(); age > test.maxAge {
						t.Fatalf("%v later a follower was last confirmed %v ago, want at most %v", time.Since(start), age, test.maxAge)
					}
				}
				r.put(t, 2)
				time.Sleep(time.Second)
				for i, f := range r.relayed {
					if c, _ := f.Current(); c.Version != 2 {
						t.Errorf("1 s after version 2 was stored, follower %d has version %d", i, c.Version)
					}
				}
			})
		})
	}
}
