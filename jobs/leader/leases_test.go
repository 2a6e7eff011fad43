package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// cordons are what operators have cordoned, as the leader knows, and cordonsProof is when that was proved.
var (
	cordons      catalog.Cordons
	cordonsProof time.Time
)

// suspended is for how long the leader's machine was suspended.
var suspended time.Duration

// withLeases runs a test with open leases, in a bubble.
func withLeases(t *testing.T, f func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(DefaultTiming(6*time.Second), func() time.Duration { return suspended }, func() (catalog.Cordons, time.Time) { return cordons, cordonsProof }, tally.NoopScope.Counter("looks"))
		cordons, cordonsProof = nil, time.Now()
		fl.open(3)
		fl.prove(fl.clock.Now())
		f(t, fl)
	})
}

var present = assignment.WorkerState{ID: incarnation.ID{Instance: "life-1", StartMillis: 1}, Service: "roster"}

func poll(sequence int64) assignment.Poll {
	return assignment.Poll{Worker: "w", Agent: "a", Sequence: sequence, Term: 3, State: &present, Complete: true}
}

var wantedRun = assignment.RunID{Task: job.TaskName{Job: "0000000000000001"}, Run: 1}

// publishOne publishes that one run is wanted.
func publishOne(fl *fleet) {
	fl.publish(map[string]dispatch.DesiredState{"w": {
		Incarnation: present.ID, Runs: map[job.TaskName]dispatch.DesiredRun{wantedRun.Task: {Start: assignment.Start{RunID: wantedRun}}},
	}})
}

func ask(t *testing.T, fl *fleet, p assignment.Poll) assignment.Answer {
	t.Helper()
	a, ok := fl.serve(t.Context(), p)
	if !ok {
		t.Fatalf("the poll %d was not taken", p.Sequence)
	}
	return a
}

func TestLeasesStarts(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		if a := ask(t, fl, poll(1)); a.LeaseMillis == 0 || len(a.Start) != 0 {
			t.Errorf("before anything is published: %+v", a)
		}
		publishOne(fl)
		if a := ask(t, fl, poll(2)); len(a.Start) != 1 {
			t.Errorf("starts: %+v", a.Start)
		}
		p := poll(3)
		p.Runs = []assignment.Run{{RunID: wantedRun}, {RunID: assignment.RunID{Task: job.TaskName{Job: "0000000000000002"}, Run: 4}}}
		if a := ask(t, fl, p); len(a.Start) != 0 || len(a.Stop) != 1 || a.Stop[0].Run != 4 {
			t.Errorf("want only a stop of what is not wanted, got %+v", a)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID, Held: map[job.ID]bool{"0000000000000002": true}}})
		p.Sequence = 4
		if a := ask(t, fl, p); len(a.Stop) != 1 || a.Stop[0] != wantedRun {
			t.Errorf("want only a stop of what is not wanted and not held, got %+v", a.Stop)
		}
		other := assignment.WorkerState{ID: incarnation.ID{Instance: "life-1", StartMillis: 2}}
		p = poll(5)
		p.State = &other
		if a := ask(t, fl, p); len(a.Start)+len(a.Stop) != 0 {
			t.Errorf("another life gets %+v", a)
		}
	})
}

// TestLeasesProof: with an old proof of leadership nothing is leased and nothing started.
func TestLeasesProof(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		publishOne(fl)
		time.Sleep(fl.timing.MaxProofAge + time.Millisecond)
		if a := ask(t, fl, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("with an old proof: %+v", a)
		}
		fl.prove(fl.clock.Now())
		if a := ask(t, fl, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 1 {
			t.Errorf("with a new proof: %+v", a)
		}
	})
}

// TestLeasesSuspended: a leader whose machine was suspended leases nothing and starts nothing on a proof from before, which is younger by its steady
// clock than it is: a successor may lead by now, and have given up what this one would keep alive.
func TestLeasesSuspended(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		publishOne(fl)
		suspended += fl.timing.MaxProofAge
		if a := ask(t, fl, poll(2)); a.LeaseMillis == 0 {
			t.Errorf("with a proof that is just good enough: %+v", a)
		}
		written := fl.clock.Now()
		suspended += time.Second
		if a := ask(t, fl, poll(3)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("after a suspension: %+v", a)
		}
		suspended += fl.timing.MaxProofAge
		fl.prove(written)
		if a := ask(t, fl, poll(4)); a.LeaseMillis != 0 {
			t.Errorf("with a write that was under way while the machine was suspended: %+v", a)
		}
		fl.prove(fl.clock.Now())
		if a := ask(t, fl, poll(5)); a.LeaseMillis == 0 || len(a.Start) != 1 {
			t.Errorf("with a new proof: %+v", a)
		}
	})
}

// TestLeasesExpire: between the decision that a worker's lease is over and its dispatch.Want the worker's agent may come back.
// It must get neither a lease nor an order then.
func TestLeasesExpire(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		publishOne(fl)
		time.Sleep(fl.timing.leaseEnd() + time.Millisecond)
		fl.prove(fl.clock.Now())
		workers := map[string]bool{"w": true}
		if over := fl.expire(workers, time.Now(), time.Time{}); !over["w"] {
			t.Fatal("the lease is not over")
		}
		if a := ask(t, fl, poll(2)); a.LeaseMillis != 0 || len(a.Start) != 0 {
			t.Errorf("an expired worker gets %+v", a)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID}})
		if a := ask(t, fl, poll(3)); a.LeaseMillis == 0 || len(a.Start) != 0 {
			t.Errorf("after the publication it gets %+v", a)
		}
		if over := fl.expire(workers, time.Now(), time.Time{}); over["w"] {
			t.Error("it is expired although it was just given a lease")
		}
	})
}

// TestLeasesUnreached: an agent that does not reach its worker gets no lease, so the worker counts as silent.
func TestLeasesUnreached(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		publishOne(fl)
		silent, none := poll(1), poll(2)
		silent.Unresponsive, none.State = true, nil
		for _, p := range []assignment.Poll{silent, none} {
			if a := ask(t, fl, p); a.LeaseMillis != 0 {
				t.Errorf("%+v gets a lease", p)
			}
		}
	})
}

// TestLeasesOvertaken: an older poll that comes after a newer one is not taken over, and its sender is not told that it was.
func TestLeasesOvertaken(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		ask(t, fl, poll(3))
		older := poll(2)
		older.Refused = []assignment.Refusal{{RunID: wantedRun}}
		ask(t, fl, older)
		taken := fl.take()["w"].poll
		if taken.Sequence != 3 {
			t.Errorf("the poll %d was taken over", taken.Sequence)
		}
		if a := ask(t, fl, poll(4)); a.AckedPoll != 0 {
			t.Errorf("%d was heard before anything was kept", a.AckedPoll)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID}})
		if a := ask(t, fl, poll(5)); a.AckedPoll != 3 {
			t.Errorf("%d was heard, want 3", a.AckedPoll)
		}
	})
}

// TestLeasesOvertakenOnUnknownBase: an agent drops a refusal once it is told that the poll which carried it was heard. Were a poll called heard that
// builds on one which the leader does not have, and from which it takes nothing, the refusal would be lost. Neither before anything is kept nor after
// is such a poll heard.
func TestLeasesOvertakenOnUnknownBase(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		unknown := assignment.Poll{Worker: "w", Agent: "a", Sequence: 2, Term: 3, Delta: &assignment.Delta{Sequence: 99}}
		unknown.Refused = []assignment.Refusal{{RunID: wantedRun}}
		if a := ask(t, fl, unknown); a.AckedPoll != 0 || a.BasePoll != 1 {
			t.Errorf("%d was heard before anything was kept, on base %d, want 0 on 1", a.AckedPoll, a.BasePoll)
		}
		if taken := fl.take()["w"].poll; taken.Sequence != 1 || len(taken.Refused) != 0 {
			t.Errorf("the poll %d was taken over with %v", taken.Sequence, taken.Refused)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID}})
		unknown.Sequence = 3
		if a := ask(t, fl, unknown); a.AckedPoll != 1 || a.BasePoll != 1 {
			t.Errorf("%d was heard on base %d, want 1 on 1", a.AckedPoll, a.BasePoll)
		}
	})
}

// TestLeasesAgents: another life of an agent gets a higher fence, and the former one is not listened to any more.
func TestLeasesAgents(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		first := ask(t, fl, poll(1))
		p := poll(1)
		p.Agent = "b"
		second := ask(t, fl, p)
		if second.Fence <= first.Fence {
			t.Errorf("fences %d and %d", first.Fence, second.Fence)
		}
		if _, ok := fl.serve(t.Context(), poll(2)); ok {
			t.Error("the former agent was answered")
		}
		newer := poll(9)
		newer.Agent, newer.Term = "b", 4
		if _, ok := fl.serve(t.Context(), newer); ok {
			t.Error("an agent that follows a later term was answered")
		}
		fl.close()
		if _, ok := fl.serve(t.Context(), p); ok {
			t.Error("a closed desk answered")
		}
	})
}

// TestLeasesHolds: a poll with nothing to say is held, and answered as soon as there is something.
func TestLeasesHolds(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID}})
		p := poll(2)
		p.Wait = true
		began := time.Now()
		if a := ask(t, fl, p); time.Since(began) != fl.timing.PollWait || a.Held() != fl.timing.PollWait {
			t.Errorf("held for %v, told %v, want %v", time.Since(began), a.Held(), fl.timing.PollWait)
		}
		began = time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			publishOne(fl)
		}()
		p.Sequence = 3
		if a := ask(t, fl, p); time.Since(began) != 100*time.Millisecond || len(a.Start) != 1 {
			t.Errorf("answered after %v with %+v", time.Since(began), a.Start)
		}
	})
}

// TestLeasesOpen: an answer says that the worker's zone is open only while no cordon of it is known, and how old the proof is at the
// moment of the answer, whatever was decided before.
func TestLeasesOpen(t *testing.T) {
	const zone = "zone-1"
	inZone := present
	inZone.Zone = zone
	tests := []struct {
		name    string
		cordons catalog.Cordons
		age     time.Duration
		open    bool
	}{
		{"nothing cordoned", nil, time.Second, true},
		{"another zone cordoned", catalog.Cordons{}.With(catalog.Cordon{Zone: "zone-2"}), 3 * time.Second, true},
		{"cordoned", catalog.Cordons{}.With(catalog.Cordon{Zone: zone}), time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withLeases(t, func(t *testing.T, fl *fleet) {
				p := poll(1)
				p.State = &inZone
				ask(t, fl, p)
				publishOne(fl)
				cordons = test.cordons
				time.Sleep(test.age)
				p.Sequence = 2
				a := ask(t, fl, p)
				if a.ZoneOpen != test.open || test.open && time.Duration(a.ZoneProofMillis)*time.Millisecond < test.age {
					t.Errorf("open is %v with a proof of %d ms, want %v with at least %v", a.ZoneOpen, a.ZoneProofMillis, test.open, test.age)
				}
				cordonsProof = time.Time{}
				p.Sequence = 3
				if a := ask(t, fl, p); a.ZoneOpen {
					t.Error("the zone is said to be open without a proof")
				}
			})
		})
	}
}

// TestWorkerList: operators see each worker that has reported, what its agent lists, and the cordon of its zone.
func TestWorkerList(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		inZone := present
		inZone.Zone = "zone-1"
		p := poll(1)
		p.State, p.Runs = &inZone, []assignment.Run{{RunID: wantedRun}}
		ask(t, fl, p)
		cordons = catalog.Cordons{}.With(catalog.Cordon{Zone: "zone-1", Revision: 7})
		list, ok := fl.status()
		if !ok || len(list) != 1 || list[0].Worker != "w" || list[0].Runs != 1 || list[0].Cordon == nil || list[0].Cordon.Revision != 7 {
			t.Errorf("got %+v, %v", list, ok)
		}
		next := inZone
		next.ID.StartMillis++
		p.Sequence, p.State = 2, &next
		ask(t, fl, p)
		if list, _ := fl.status(); list[0].Life != next.ID || len(list[0].Former) != 1 || list[0].Former[0] != inZone.ID {
			t.Errorf("after a new start under the same id: %+v", list)
		}
		fl.close()
		if list, ok := fl.status(); ok {
			t.Errorf("an entry that does not lead lists %+v", list)
		}
	})
}
