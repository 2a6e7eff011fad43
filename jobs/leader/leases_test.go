package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// cordons are those in force, and cordonsSyncedAt is when it was known that there are no others.
var (
	cordons         catalog.Cordons
	cordonsSyncedAt time.Time
)

// suspended is how long the leader's machine was suspended.
var suspended time.Duration

// withLeases runs a test with the workers of a leader, in a bubble.
func withLeases(t *testing.T, f func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		clock := suspend.Clock(func() time.Duration { return suspended })
		inForce := func() (catalog.Cordons, time.Time) { return cordons, cordonsSyncedAt }
		fl := newFleet(DefaultTiming(6*time.Second), clock, inForce, tally.NoopScope.Counter("answers"))
		cordons, cordonsSyncedAt = nil, time.Now()
		fl.open(3)
		fl.prove(fl.clock.Now())
		f(t, fl)
	})
}

var present = assignment.WorkerState{ID: incarnation.ID{Instance: "life-1", StartMillis: 1}, Service: "roster"}

func poll(sequence int64) assignment.Poll {
	return assignment.Poll{Worker: "w", Agent: "a", Sequence: sequence, Term: 3, State: &present, Complete: true}
}

var desiredRun = assignment.RunID{Task: job.TaskName{Job: "0000000000000001"}, Run: 1}

// publishOne publishes that one run is desired.
func publishOne(fl *fleet) {
	fl.publish(map[string]dispatch.DesiredState{"w": {
		Incarnation: present.ID,
		Runs: map[job.TaskName]dispatch.DesiredRun{
			desiredRun.Task: {Start: assignment.Start{RunID: desiredRun}},
		},
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
		other := assignment.RunID{Task: job.TaskName{Job: "0000000000000002"}, Run: 4}
		p.Runs = []assignment.Run{{RunID: desiredRun}, {RunID: other}}
		if a := ask(t, fl, p); len(a.Start) != 0 || len(a.Stop) != 1 || a.Stop[0].Run != 4 {
			t.Errorf("want only a stop of what is not desired, got %+v", a)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {
			Incarnation: present.ID,
			Held:        map[job.ID]bool{other.Task.Job: true},
		}})
		p.Sequence = 4
		if a := ask(t, fl, p); len(a.Stop) != 1 || a.Stop[0] != desiredRun {
			t.Errorf("want only a stop of what is neither desired nor held, got %+v", a.Stop)
		}
		next := assignment.WorkerState{ID: incarnation.ID{Instance: "life-1", StartMillis: 2}}
		p = poll(5)
		p.State = &next
		if a := ask(t, fl, p); len(a.Start)+len(a.Stop) != 0 {
			t.Errorf("another incarnation gets %+v", a)
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

// TestLeasesSuspended: after a suspension of its machine a leader must grant nothing on a proof
// from before it, however young that seems by the monotonic clock: a successor may lead by now,
// and count on no lease being left.
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

// TestLeasesExpire: an agent that comes back between the decision that its worker's lease has
// ended and the publication of what follows must get neither a lease nor an order.
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

// TestLeasesUnreached: an agent that does not reach its worker gets no lease, so that the
// worker's lease ends.
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

// TestLeasesOvertaken: a poll that arrives after a newer one is not taken, and its sender is not
// told that it was.
func TestLeasesOvertaken(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		ask(t, fl, poll(3))
		older := poll(2)
		older.Refused = []assignment.Refusal{{RunID: desiredRun}}
		ask(t, fl, older)
		taken := fl.take()["w"].poll
		if taken.Sequence != 3 {
			t.Errorf("the poll %d was taken over", taken.Sequence)
		}
		if a := ask(t, fl, poll(4)); a.AckedPoll != 0 {
			t.Errorf("%d was acknowledged before anything was stored", a.AckedPoll)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID}})
		if a := ask(t, fl, poll(5)); a.AckedPoll != 3 {
			t.Errorf("%d was acknowledged, want 3", a.AckedPoll)
		}
	})
}

// TestLeasesOvertakenOnUnknownBase: an agent drops a refusal once the poll that carried it is
// acknowledged. Were a delta to an unknown poll acknowledged, from which the leader takes
// nothing, the refusal would be lost.
func TestLeasesOvertakenOnUnknownBase(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		ask(t, fl, poll(1))
		unknown := assignment.Poll{Worker: "w", Agent: "a", Sequence: 2, Term: 3, Delta: &assignment.Delta{Sequence: 99}}
		unknown.Refused = []assignment.Refusal{{RunID: desiredRun}}
		if a := ask(t, fl, unknown); a.AckedPoll != 0 || a.BasePoll != 1 {
			t.Errorf("%d was acknowledged before anything was stored, on base %d, want 0 on 1", a.AckedPoll, a.BasePoll)
		}
		if taken := fl.take()["w"].poll; taken.Sequence != 1 || len(taken.Refused) != 0 {
			t.Errorf("the poll %d was taken over with %v", taken.Sequence, taken.Refused)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: present.ID}})
		unknown.Sequence = 3
		if a := ask(t, fl, unknown); a.AckedPoll != 1 || a.BasePoll != 1 {
			t.Errorf("%d was acknowledged on base %d, want 1 on 1", a.AckedPoll, a.BasePoll)
		}
	})
}

// TestLeasesAgents: another incarnation of an agent gets a higher fence, and the former one is
// not listened to any more.
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
			t.Error("an entry that no longer leads answered")
		}
	})
}

// TestLeasesHolds: a poll with nothing to answer is held, and answered as soon as there is
// something.
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

// TestLeasesOpen: an answer says that the worker's zone is open only while no cordon of it is
// known, with the age of the proof at the moment of the answer, whatever was decided before.
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
					t.Errorf("open is %v with a proof of %d ms, want %v with at least %v",
						a.ZoneOpen, a.ZoneProofMillis, test.open, test.age)
				}
				cordonsSyncedAt = time.Time{}
				p.Sequence = 3
				if a := ask(t, fl, p); a.ZoneOpen {
					t.Error("the zone is said to be open without a proof")
				}
			})
		})
	}
}

// TestWorkerList: operators see each worker that has reported, what its agent lists, and the
// cordon of its zone.
func TestWorkerList(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet) {
		inZone := present
		inZone.Zone = "zone-1"
		p := poll(1)
		p.State, p.Runs = &inZone, []assignment.Run{{RunID: desiredRun}}
		ask(t, fl, p)
		cordons = catalog.Cordons{}.With(catalog.Cordon{Zone: "zone-1", Revision: 7})
		list, ok := fl.status()
		if !ok || len(list) != 1 {
			t.Fatalf("got %+v, %v", list, ok)
		}
		if w := list[0]; w.Worker != "w" || w.Runs != 1 || w.Cordon == nil || w.Cordon.Revision != 7 {
			t.Errorf("got %+v", w)
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
