package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// noPeers is a process that runs alone.
type noPeers struct{}

func (noPeers) NewerState(context.Context, int64) (State, bool) { return State{}, false }

// follow keeps a replica up to date until ctx ends.
func follow(ctx context.Context, wg *sync.WaitGroup, log hosting.Log, peers PeerStates) *Replica {
	r := NewReplica()
	updates := make(chan Update)
	wg.Go(func() { NewFollower(log, peers).Run(ctx, updates) })
	wg.Go(func() {
		for {
			select {
			case u := <-updates:
				if u.State != nil {
					r.Replace(*u.State)
				} else {
					r.Apply(u.Records)
				}
			case <-ctx.Done():
				return
			}
		}
	})
	return r
}

// TestProposerUnderFaults proposes through a log that loses answers, is slow, and is down. What
// is answered as accepted is there exactly once; what is given up has no effect, also when the
// log comes back.
func TestProposerUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		want   Status
		err    bool
	}{
		{"healthy", standin.Faults{}, Accepted, false},
		{"one answer lost", standin.Faults{LoseAnswers: 1}, Accepted, false},
		{"five answers lost", standin.Faults{LoseAnswers: 5}, Accepted, false},
		{"slower than the proposer's patience", standin.Faults{Delay: 3 * time.Second}, "", true},
		{"down", standin.Faults{Down: true}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var wg sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				log := standin.New()
				replica := follow(ctx, &wg, log, noPeers{})
				p := NewProposer(log, replica)
				for _, r := range []Record{team("guest")} {
					if v, err := p.Propose(ctx, r); err != nil || v.Status != Accepted {
						t.Fatalf("%+v, %v", v, err)
					}
				}
				log.SetFaults(tt.faults)
				bounded, stop := context.WithTimeout(ctx, 4*time.Second)
				v, err := p.Propose(bounded, create("s", "guest", shape(1, placement.AnyPlace)))
				stop()
				if v.Status != tt.want || (err != nil) != tt.err {
					t.Errorf("got %+v, %v", v, err)
				}
				log.SetFaults(standin.Faults{})
				time.Sleep(time.Minute)
				if _, found := replica.State().Session("s"); found != (tt.want == Accepted) && !tt.err {
					t.Errorf("the session is there: %v", found)
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestRaces lets 8 proposers change one entry of the configuration from the same revision.
// Exactly one wins, and all are told the truth.
func TestRaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		log := standin.New()
		log.SetFaults(standin.Faults{LoseAnswers: 5})
		var mu sync.Mutex
		winners := map[string]int64{}
		var racing sync.WaitGroup
		replica := follow(ctx, &wg, log, noPeers{})
		for i := range 8 {
			p := NewProposer(log, follow(ctx, &wg, log, noPeers{}))
			racing.Go(func() {
				name := fmt.Sprintf("operator-%d", i)
				v, err := p.Propose(ctx, Record{Config: &PutConfig{
					Key:    LimitsKey,
					Value:  []byte(`{"queue_length":1}`),
					Author: name,
				}})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && v.Status == Accepted {
					winners[name] = v.Offset
				}
			})
		}
		racing.Wait()
		time.Sleep(time.Second)
		e, _ := replica.State().ConfigEntry(LimitsKey)
		if len(winners) != 1 || winners[e.Author] != e.Revision {
			t.Errorf("winners %v, the entry is %s's at %d", winners, e.Author, e.Revision)
		}
		cancel()
		wg.Wait()
	})
}

// TestSlowReader lets records expire under a reader that could not read. It loads the snapshot,
// never skips a record, and ends at the state of the one that read all along. Revisions only
// grow.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		log := standin.New()
		fast := follow(ctx, &wg, log, noPeers{})
		p := NewProposer(log, fast)
		propose := func(r Record) {
			if v, err := p.Propose(ctx, r); err != nil || v.Status != Accepted {
				t.Fatalf("%+v, %v", v, err)
			}
		}
		propose(team("guest"))
		slowLog := &switchedLog{Log: log, off: true}
		slow := follow(ctx, &wg, slowLog, noPeers{})
		for i := range 40 {
			propose(create(fmt.Sprintf("s%d", i), "guest", shape(1, placement.AnyPlace)))
		}
		if err := WriteSnapshot(ctx, log, "writer", fast.State()); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(standin.Faults{Retention: 10})
		propose(create("last", "guest", shape(1, placement.AnyPlace)))
		slowLog.set(false)
		time.Sleep(time.Minute)
		if !same(fast.State(), slow.State()) {
			t.Errorf("the slow reader is at %d, the other at %d", slow.State().Revision(), fast.State().Revision())
		}
		// A torn snapshot must not hide the whole one before it.
		if _, err := log.Append(
			ctx,
			hosting.SnapshotStream,
			[]byte(`{"writer":"x","revision":999,"index":0,"total":2,"data":""}`),
		); err != nil {
			t.Fatal(err)
		}
		if s, err := ReadSnapshot(ctx, log); err != nil || s.Revision() != 41 {
			t.Errorf("snapshot at %d, %v; want 41", s.Revision(), err)
		}
		if old := NewState(); slow.Replace(old) {
			t.Error("the replica went back")
		}
		cancel()
		wg.Wait()
	})
}

// TestSilentLog cuts a reader off the log without a word: its reads get no answer at all, as
// over a link that is cut. It has to take a peer's state within the 7 s of a configuration, and
// to read on when the link is whole again.
func TestSilentLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		log := standin.New()
		fast := follow(ctx, &wg, log, noPeers{})
		cutLog := &switchedLog{Log: log}
		cut := follow(ctx, &wg, cutLog, onePeer{fast})
		p := NewProposer(log, fast)
		for i := range 4 {
			time.Sleep(time.Second)
			cutLog.silence(true)
			if v, err := p.Propose(ctx, team(fmt.Sprintf("team-%d", i))); err != nil || v.Status != Accepted {
				t.Fatalf("%+v, %v", v, err)
			}
			time.Sleep(6 * time.Second)
			if got, want := cut.State().ConfigRevision(), fast.State().ConfigRevision(); got != want {
				t.Errorf("6 s after a change the reader that was cut off has %d, want %d", got, want)
			}
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			cutLog.silence(false)
			time.Sleep(3 * time.Second)
			if v, err := p.Propose(ctx, team(fmt.Sprintf("other-%d", i))); err != nil || v.Status != Accepted {
				t.Fatalf("%+v, %v", v, err)
			}
			time.Sleep(100 * time.Millisecond)
			if got, want := cut.State().Revision(), fast.State().Revision(); got != want {
				t.Errorf("the reader is at %d when the link is whole again, want %d", got, want)
			}
		}
		cancel()
		wg.Wait()
	})
}

// onePeer is a process beside another one.
type onePeer struct{ replica *Replica }

func (p onePeer) NewerState(_ context.Context, revision int64) (State, bool) {
	s := p.replica.State()
	return s, s.Revision() > revision
}

// switchedLog is a log that one process can be cut off from.
type switchedLog struct {
	hosting.Log
	mu     sync.Mutex
	off    bool
	silent bool
}

// silence lets reads wait for an answer that does not come.
func (l *switchedLog) silence(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

func (l *switchedLog) set(off bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.off = off
}

func (l *switchedLog) Read(
	ctx context.Context,
	stream string,
	offset int64,
	limit int,
	wait time.Duration,
) (hosting.Batch, error) {
	l.mu.Lock()
	off, silent := l.off, l.silent
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return hosting.Batch{}, ctx.Err()
	}
	if off {
		return hosting.Batch{}, standin.ErrDown
	}
	return l.Log.Read(ctx, stream, offset, limit, wait)
}
