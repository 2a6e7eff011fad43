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

// noPeers is the PeerStates of a process without peers.
type noPeers struct{}

func (noPeers) NewerState(context.Context, int64) (State, bool) { return State{}, false }

// follow returns a replica that is kept up to date until ctx ends.
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

// TestProposerUnderFaults proposes through a log that loses responses, is slow, or is down. A
// record that is reported as accepted must be in the state after the log recovers. If the log is
// too slow or down, Propose must return an error; whether that record takes effect is not checked.
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
				v, err := p.Propose(bounded, create("s", "guest", shape(1, placement.SameRegion)))
				stop()
				if v.Status != tt.want || (err != nil) != tt.err {
					t.Errorf("got %+v, %v", v, err)
				}
				log.SetFaults(standin.Faults{})
				time.Sleep(time.Minute)
				if _, found := replica.State().Session("s"); found != (tt.want == Accepted) && !tt.err {
					t.Errorf("session exists: %v", found)
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestRaces has 8 proposers change one configuration entry at the same revision. Exactly one
// must be reported as accepted, and the entry must hold its value.
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
			t.Errorf("winners %v, but the entry was set by %s at revision %d", winners, e.Author, e.Revision)
		}
		cancel()
		wg.Wait()
	})
}

// TestSlowReader lets records expire while one reader is disconnected. The reader must load the
// snapshot, skip no record, and reach the state of a reader that was connected throughout.
// Revisions must only increase.
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
		blockedLog := &interruptibleLog{Log: log, down: true}
		slow := follow(ctx, &wg, blockedLog, noPeers{})
		for i := range 40 {
			propose(create(fmt.Sprintf("s%d", i), "guest", shape(1, placement.SameRegion)))
		}
		if err := WriteSnapshot(ctx, log, "writer", fast.State()); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(standin.Faults{Retention: 10})
		propose(create("last", "guest", shape(1, placement.SameRegion)))
		blockedLog.setDown(false)
		time.Sleep(time.Minute)
		if !equalStates(fast.State(), slow.State()) {
			t.Errorf("the slow reader is at revision %d, the other at %d", slow.State().Revision(), fast.State().Revision())
		}
		// An incomplete snapshot must not hide the complete one before it.
		if _, err := log.Append(
			ctx,
			hosting.SnapshotStream,
			[]byte(`{"writer":"x","revision":999,"index":0,"total":2,"data":""}`),
		); err != nil {
			t.Fatal(err)
		}
		if s, err := ReadSnapshot(ctx, log); err != nil || s.Revision() != 41 {
			t.Errorf("snapshot at revision %d, %v; want 41", s.Revision(), err)
		}
		if old := NewState(); slow.Replace(old) {
			t.Error("the replica regressed")
		}
		cancel()
		wg.Wait()
	})
}

// TestSilentLog disconnects a reader from the log so that its reads neither succeed nor fail, as on
// a link that drops packets. The reader must adopt a peer's state within the 7 s in which a
// configuration change has to take effect, and must resume reading when the link recovers.
func TestSilentLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		log := standin.New()
		fast := follow(ctx, &wg, log, noPeers{})
		cutLog := &interruptibleLog{Log: log}
		cut := follow(ctx, &wg, cutLog, onePeer{fast})
		p := NewProposer(log, fast)
		for i := range 4 {
			time.Sleep(time.Second)
			cutLog.setUnresponsive(true)
			if v, err := p.Propose(ctx, team(fmt.Sprintf("team-%d", i))); err != nil || v.Status != Accepted {
				t.Fatalf("%+v, %v", v, err)
			}
			time.Sleep(6 * time.Second)
			if got, want := cut.State().ConfigRevision(), fast.State().ConfigRevision(); got != want {
				t.Errorf("6 s after a change the disconnected reader is at configuration revision %d, want %d", got, want)
			}
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			cutLog.setUnresponsive(false)
			time.Sleep(3 * time.Second)
			if v, err := p.Propose(ctx, team(fmt.Sprintf("other-%d", i))); err != nil || v.Status != Accepted {
				t.Fatalf("%+v, %v", v, err)
			}
			time.Sleep(100 * time.Millisecond)
			if got, want := cut.State().Revision(), fast.State().Revision(); got != want {
				t.Errorf("the reader is at revision %d after the link has recovered, want %d", got, want)
			}
		}
		cancel()
		wg.Wait()
	})
}

// onePeer is the PeerStates of a process with one peer.
type onePeer struct{ replica *Replica }

func (p onePeer) NewerState(_ context.Context, revision int64) (State, bool) {
	s := p.replica.State()
	return s, s.Revision() > revision
}

// interruptibleLog is a log whose connection to one process can fail.
type interruptibleLog struct {
	hosting.Log
	mu           sync.Mutex
	down         bool
	unresponsive bool
}

// setUnresponsive makes reads block until their contexts end.
func (l *interruptibleLog) setUnresponsive(unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = unresponsive
}

func (l *interruptibleLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *interruptibleLog) Read(
	ctx context.Context,
	stream string,
	offset int64,
	limit int,
	wait time.Duration,
) (hosting.Batch, error) {
	l.mu.Lock()
	down, unresponsive := l.down, l.unresponsive
	l.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return hosting.Batch{}, ctx.Err()
	}
	if down {
		return hosting.Batch{}, standin.ErrDown
	}
	return l.Log.Read(ctx, stream, offset, limit, wait)
}
