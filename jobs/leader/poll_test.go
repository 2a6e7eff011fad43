package leader

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

func TestLeasesStarts(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
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

// TestLeasesOvertaken: a poll that arrives after a newer one is not taken, and its sender is not
// told that it was.
func TestLeasesOvertaken(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
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
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		unknown := assignment.Poll{Worker: "w", Agent: "a", Sequence: 2, Term: 3, Delta: &assignment.Delta{BaseSequence: 99}}
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
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
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

// TestLatePollOfFormerAgent: a poll of an agent's killed process that arrives after its successor's
// changes nothing, and the successor is heard on.
//
// The successor's polls were rejected for the rest of the term, so its worker got neither leases
// nor runs, and accepted jobs stayed queued.
func TestLatePollOfFormerAgent(t *testing.T) {
	former := assignment.WorkerState{ID: incarnation.ID{Instance: "life-0", StartMillis: 1}, Service: "roster"}
	late := assignment.Poll{Worker: "w", Agent: "a", Sequence: 40, Term: 2, Fence: 2<<fenceBits + 7, State: &former, Complete: true}
	t.Run("the process tells its fence", func(t *testing.T) {
		withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
			p := poll(1)
			p.Agent, p.Complete = "b", false
			p.Fence = ask(t, fl, p).Fence
			for range 2 {
				fl.serve(t.Context(), late)
			}
			p.Sequence, p.Complete = 2, true
			if a := ask(t, fl, p); a.Fence != p.Fence || a.LeaseMillis == 0 {
				t.Errorf("after the late poll its successor gets fence %d and a lease of %d ms, want %d and a lease",
					a.Fence, a.LeaseMillis, p.Fence)
			}
			if taken := fl.take()["w"].poll; taken.Agent != "b" {
				t.Errorf("the poll of %q was taken", taken.Agent)
			}
		})
	})
	t.Run("the process is of an earlier version", func(t *testing.T) {
		withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
			p := poll(1)
			p.Agent = "b"
			ask(t, fl, p)
			old := late
			old.Fence = 0
			fl.serve(t.Context(), old)
			time.Sleep(fl.timing.AgentTimeout)
			p.Sequence = 2
			if a := ask(t, fl, p); a.LeaseMillis == 0 {
				t.Errorf("the successor gets %+v, want a lease", a)
			}
		})
	})
}

// TestSessionNeedsItsFence: an agent that knows a fence is heard once it has shown that of its
// session: by the next poll, while another one is heard as before.
func TestSessionNeedsItsFence(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		p := poll(1)
		p.Fence = 2<<fenceBits + 1
		offer := ask(t, fl, p)
		if offer.LeaseMillis != 0 || offer.Fence <= p.Fence {
			t.Errorf("an agent of an earlier term gets %+v, want a higher fence and no lease", offer)
		}
		if again := ask(t, fl, p); again.Fence != offer.Fence {
			t.Errorf("it is offered the fences %d and %d", offer.Fence, again.Fence)
		}
		p.Sequence, p.Fence = 2, offer.Fence
		if a := ask(t, fl, p); a.LeaseMillis == 0 || a.Fence != offer.Fence {
			t.Errorf("with the fence it gets %+v, want a lease", a)
		}
		if taken := fl.take()["w"].poll; taken.Sequence != 2 {
			t.Errorf("the poll %d was taken, want 2", taken.Sequence)
		}
	})
}

// TestLeasesHolds: a poll with nothing to answer is held, and answered as soon as there is
// something.
func TestLeasesHolds(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
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

// TestPollsBuildOnOthers: a delta is answered like the full poll, and one to a poll that this
// leader does not have starts and stops nothing: the answer says on which poll the agent may
// build.
func TestPollsBuildOnOthers(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fl *fleet, _ *counter) {
		brief := agentPoll(0, 2, 0)
		brief.Wait, brief.State, brief.Runs, brief.Complete = false, nil, nil, false
		brief.Delta = &assignment.Delta{BaseSequence: 1, Percents: []int{30}}
		if a := ask(t, fl, brief); a.LeaseMillis == 0 || len(a.Start)+len(a.Stop) != 0 || a.BasePoll != 1 {
			t.Errorf("it is answered with %+v", a)
		}
		if got := fl.take()["w-0"].poll; len(got.Runs) != 1 || got.Runs[0].Percent != 30 || got.Sequence != 2 {
			t.Errorf("the decision gets %+v", got)
		}
		brief.Sequence, brief.Delta = 3, &assignment.Delta{BaseSequence: 2, Percents: []int{40}}
		a := ask(t, fl, brief)
		if a.LeaseMillis != 0 || len(a.Start)+len(a.Stop) != 0 || a.BasePoll != 1 || !a.Incarnation.IsZero() {
			t.Errorf("on a poll that is not known here it is answered with %+v", a)
		}
		if got := len(fl.take()); got != 0 {
			t.Errorf("%d polls are taken over", got)
		}
	})
}

// TestSentStarts: each start that an answer has carried is known as sent, and no other: one that was
// not sent is no crash of a worker, and one that was may be.
func TestSentStarts(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		if sent := fl.takeSent(); len(sent) != 0 {
			t.Errorf("before an answer has carried it: %v", sent)
		}
		ask(t, fl, poll(2))
		if sent := fl.takeSent(); !sent[desiredRun] {
			t.Errorf("after an answer has carried it: %v", sent)
		}
		if sent := fl.takeSent(); len(sent) != 0 {
			t.Errorf("it is taken twice: %v", sent)
		}
		time.Sleep(fl.timing.leaseEnd() + time.Millisecond)
		fl.prove(fl.clock.Now())
		fl.expire(map[string]bool{"w": true}, time.Now(), time.Time{})
		ask(t, fl, poll(3))
		if sent := fl.takeSent(); len(sent) != 0 {
			t.Errorf("after the worker's lease has expired: %v", sent)
		}
	})
}
