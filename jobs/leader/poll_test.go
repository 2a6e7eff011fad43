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
			t.Errorf("before the first publication: got %+v, want a lease and no start", a)
		}
		publishOne(fl)
		if a := ask(t, fl, poll(2)); len(a.Start) != 1 {
			t.Errorf("starts are %+v, want one", a.Start)
		}
		p := poll(3)
		other := assignment.RunID{Task: job.TaskName{Job: "0000000000000002"}, Run: 4}
		p.Runs = []assignment.Run{{RunID: desiredRun}, {RunID: other}}
		if a := ask(t, fl, p); len(a.Start) != 0 || len(a.Stop) != 1 || a.Stop[0].Run != 4 {
			t.Errorf("got %+v, want only a stop of the undesired run", a)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {
			Incarnation:    workerState.ID,
			UnreadableJobs: map[job.ID]bool{other.Task.Job: true},
		}})
		p.Sequence = 4
		if a := ask(t, fl, p); len(a.Stop) != 1 || a.Stop[0] != desiredRun {
			t.Errorf("stops are %+v, want only the run that is neither desired nor held", a.Stop)
		}
		next := assignment.WorkerState{ID: incarnation.ID{Instance: "life-1", StartMillis: 2}}
		p = poll(5)
		p.State = &next
		if a := ask(t, fl, p); len(a.Start)+len(a.Stop) != 0 {
			t.Errorf("another incarnation gets %+v, want no starts or stops", a)
		}
	})
}

// TestLeasesOvertaken checks that a poll that arrives after a newer one is neither taken nor
// acknowledged.
func TestLeasesOvertaken(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		ask(t, fl, poll(3))
		older := poll(2)
		older.Refused = []assignment.Refusal{{RunID: desiredRun}}
		ask(t, fl, older)
		taken := fl.take()["w"].poll
		if taken.Sequence != 3 {
			t.Errorf("poll %d was taken, want 3", taken.Sequence)
		}
		if a := ask(t, fl, poll(4)); a.AckedPoll != 0 {
			t.Errorf("poll %d was acknowledged before a decision was stored", a.AckedPoll)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: workerState.ID}})
		if a := ask(t, fl, poll(5)); a.AckedPoll != 3 {
			t.Errorf("poll %d was acknowledged, want 3", a.AckedPoll)
		}
	})
}

// TestLeasesOvertakenOnUnknownBase checks that a delta to an unknown poll is not acknowledged.
//
// An agent drops a refusal once the poll that contained it is acknowledged. The leader takes
// nothing from a delta to an unknown poll, so if it were acknowledged, its refusals would be lost.
func TestLeasesOvertakenOnUnknownBase(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		unknown := assignment.Poll{Worker: "w", Agent: "a", Sequence: 2, Term: 3, Delta: &assignment.Delta{BaseSequence: 99}}
		unknown.Refused = []assignment.Refusal{{RunID: desiredRun}}
		if a := ask(t, fl, unknown); a.AckedPoll != 0 || a.BasePoll != 1 {
			t.Errorf("before a decision was stored: acknowledged poll %d on base %d, want 0 on 1", a.AckedPoll, a.BasePoll)
		}
		if taken := fl.take()["w"].poll; taken.Sequence != 1 || len(taken.Refused) != 0 {
			t.Errorf("poll %d was taken with refusals %v, want poll 1 and none", taken.Sequence, taken.Refused)
		}
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: workerState.ID}})
		unknown.Sequence = 3
		if a := ask(t, fl, unknown); a.AckedPoll != 1 || a.BasePoll != 1 {
			t.Errorf("acknowledged poll %d on base %d, want 1 on 1", a.AckedPoll, a.BasePoll)
		}
	})
}

// TestLeasesAgents checks that a new incarnation of an agent gets a higher fence, and that polls of
// the former incarnation are rejected from then on.
func TestLeasesAgents(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		first := ask(t, fl, poll(1))
		p := poll(1)
		p.Agent = "b"
		second := ask(t, fl, p)
		if second.Fence <= first.Fence {
			t.Errorf("the second incarnation gets fence %[2]d, want one above %[1]d", first.Fence, second.Fence)
		}
		if _, ok := fl.serve(t.Context(), poll(2)); ok {
			t.Error("a poll of the former incarnation was accepted")
		}
		newer := poll(9)
		newer.Agent, newer.Term = "b", 4
		if _, ok := fl.serve(t.Context(), newer); ok {
			t.Error("a poll of an agent that knows a later term was accepted")
		}
		fl.close()
		if _, ok := fl.serve(t.Context(), p); ok {
			t.Error("an entry that no longer leads accepted a poll")
		}
	})
}

// TestLatePollOfFormerAgent checks that a late poll of a killed agent process, which arrives after
// its successor has polled, has no effect, and that the successor stays active.
//
// It guards against rejecting the successor's polls for the rest of the term. Its worker would get
// neither leases nor runs, and accepted jobs would stay queued.
func TestLatePollOfFormerAgent(t *testing.T) {
	former := assignment.WorkerState{ID: incarnation.ID{Instance: "life-0", StartMillis: 1}, Service: "roster"}
	late := assignment.Poll{Worker: "w", Agent: "a", Sequence: 40, Term: 2, Fence: 2<<fenceBits + 7,
		State: &former, Complete: true}
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
				t.Errorf("after the late poll, the successor gets fence %d and a lease of %d ms, want fence %d and a lease",
					a.Fence, a.LeaseMillis, p.Fence)
			}
			if taken := fl.take()["w"].poll; taken.Agent != "b" {
				t.Errorf("the poll of agent %q was taken, want that of its successor", taken.Agent)
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

// TestSessionNeedsItsFence checks that an agent that already has a fence becomes active only once a
// poll has shown the fence of its new session. Until then, any other process stays active.
func TestSessionNeedsItsFence(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		p := poll(1)
		p.Fence = 2<<fenceBits + 1
		offer := ask(t, fl, p)
		if offer.LeaseMillis != 0 || offer.Fence <= p.Fence {
			t.Errorf("an agent with a fence of an earlier term gets %+v, want a higher fence and no lease", offer)
		}
		if again := ask(t, fl, p); again.Fence != offer.Fence {
			t.Errorf("a repeated poll is offered fence %[2]d, want %[1]d again", offer.Fence, again.Fence)
		}
		p.Sequence, p.Fence = 2, offer.Fence
		if a := ask(t, fl, p); a.LeaseMillis == 0 || a.Fence != offer.Fence {
			t.Errorf("with the offered fence, the agent gets %+v, want a lease and the same fence", a)
		}
		if taken := fl.take()["w"].poll; taken.Sequence != 2 {
			t.Errorf("poll %d was taken, want 2", taken.Sequence)
		}
	})
}

// TestLeasesHolds checks that a poll is held while there is nothing to answer, and answered as soon
// as there is.
func TestLeasesHolds(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		fl.publish(map[string]dispatch.DesiredState{"w": {Incarnation: workerState.ID}})
		p := poll(2)
		p.Wait = true
		began := time.Now()
		if a := ask(t, fl, p); time.Since(began) != fl.timing.PollWait || a.Held() != fl.timing.PollWait {
			t.Errorf("held for %v, reported as %v, want %v", time.Since(began), a.Held(), fl.timing.PollWait)
		}
		began = time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			publishOne(fl)
		}()
		p.Sequence = 3
		if a := ask(t, fl, p); time.Since(began) != 100*time.Millisecond || len(a.Start) != 1 {
			t.Errorf("answered after %v with starts %+v, want one start after 100 ms", time.Since(began), a.Start)
		}
	})
}

// TestPollsBuildOnOthers checks that a delta is answered like a full poll. The answer to a delta to
// an unknown poll must contain no starts and stops, only the poll on which the agent may base its
// next delta.
func TestPollsBuildOnOthers(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fl *fleet, _ *counter) {
		brief := agentPoll(0, 2, 0)
		brief.Wait, brief.State, brief.Runs, brief.Complete = false, nil, nil, false
		brief.Delta = &assignment.Delta{BaseSequence: 1, Percents: []int{30}}
		if a := ask(t, fl, brief); a.LeaseMillis == 0 || len(a.Start)+len(a.Stop) != 0 || a.BasePoll != 1 {
			t.Errorf("the answer to a delta is %+v, want a lease, no orders and base 1", a)
		}
		if got := fl.take()["w-0"].poll; len(got.Runs) != 1 || got.Runs[0].Percent != 30 || got.Sequence != 2 {
			t.Errorf("the poll taken for the decision is %+v, want the expanded poll 2", got)
		}
		brief.Sequence, brief.Delta = 3, &assignment.Delta{BaseSequence: 2, Percents: []int{40}}
		a := ask(t, fl, brief)
		if a.LeaseMillis != 0 || len(a.Start)+len(a.Stop) != 0 || a.BasePoll != 1 || !a.Incarnation.IsZero() {
			t.Errorf("the answer to a delta to an unknown poll is %+v, want no lease, no orders and base 1", a)
		}
		if got := len(fl.take()); got != 0 {
			t.Errorf("%d polls were taken, want none", got)
		}
	})
}

// TestSentStarts checks that exactly the starts included in answers are recorded as sent. Only a
// start that was sent can be counted as a possible crash of its worker.
func TestSentStarts(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		ask(t, fl, poll(1))
		publishOne(fl)
		if sent := fl.takeSent(); len(sent) != 0 {
			t.Errorf("before the start was sent: got %v, want none", sent)
		}
		ask(t, fl, poll(2))
		if sent := fl.takeSent(); !sent[desiredRun] {
			t.Errorf("after the start was sent: got %v, want the start", sent)
		}
		if sent := fl.takeSent(); len(sent) != 0 {
			t.Errorf("the second call returns %v, want none", sent)
		}
		time.Sleep(fl.timing.leaseEnd() + time.Millisecond)
		fl.recordProof(fl.clock.Now())
		fl.expire(map[string]bool{"w": true}, time.Now(), time.Time{})
		ask(t, fl, poll(3))
		if sent := fl.takeSent(); len(sent) != 0 {
			t.Errorf("after the worker's lease has expired: got %v, want none", sent)
		}
	})
}
