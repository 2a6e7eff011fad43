package runner_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// otherFence is higher than every fence of the agent in these tests.
const otherFence = int64(1) << 40

// runOtherProcess simulates another process, which sends the worker a higher fence and extends its
// lease for the given time.
func runOtherProcess(t *testing.T, a *restartingAgent, length time.Duration) {
	t.Helper()
	order := runner.Order{Incarnation: a.beat(t).ID, Fence: otherFence}
	const forever = int64(1) << 40
	go func() {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second) {
			if _, _, err := a.worker.Sync(t.Context(), order, forever, 0, 0); err != nil {
				t.Errorf("sync of the other process failed: %v", err)
			}
		}
	}()
}

// TestFencedOffIsNotSilent checks that an agent whose fence the worker refuses gives up no run,
// although nothing more is placed on the worker. The worker obeys another process, which may extend
// its lease.
//
// If refusals counted as silence, the agent would report the lease as expired, and the tasks would
// be started elsewhere while they are still running.
func TestFencedOffIsNotSilent(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		a.workers.SetWork(time.Minute)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(time.Second)
		a.want()
		runOtherProcess(t, a, 3*lease)
		time.Sleep(3 * lease)
		for _, p := range a.leader.all() {
			for _, refused := range p.Refused {
				t.Fatalf("run %v was given up: %s", refused.RunID, refused.Reason)
			}
		}
		if last := a.leader.last(); !last.Unresponsive {
			t.Error("the worker refuses every order, but the poll does not report it as unresponsive")
		}
	})
}

// TestRefusedFenceIsTold checks that the leader receives the fence that the worker refuses, and
// that the agent uses a higher one that the leader sends.
func TestRefusedFenceIsTold(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		runOtherProcess(t, a, time.Second)
		time.Sleep(2 * time.Second)
		if last := a.leader.last(); last.RefusedFence != 1 {
			t.Fatalf("poll reports refused fence %d, want 1", last.RefusedFence)
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Fence = otherFence })
		time.Sleep(2 * time.Second)
		if last := a.leader.last(); last.RefusedFence != 0 || !last.Complete || last.Unresponsive {
			t.Errorf("with a higher fence the agent polls %+v, want a complete list and no refusal", last)
		}
	})
}

// TestOfferedFenceIsNotUsed checks that an agent reports an offered fence to the leader, but puts
// it into orders only after the leader has accepted the agent.
//
// If an agent used the fence before being accepted, the worker would refuse the orders of the
// process that has been accepted.
func TestOfferedFenceIsNotUsed(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		before := a.recorder.calls(time.Time{})
		used := before[len(before)-1].order.Fence
		a.leader.set(func(answer *assignment.Answer) { answer.Term, answer.Fence, answer.FenceOffered = 2, 7, true })
		offered := time.Now()
		time.Sleep(3 * time.Second)
		for _, c := range a.recorder.calls(offered) {
			if c.order.Fence != used {
				t.Fatalf("an order carries fence %d before the agent is accepted, want %d", c.order.Fence, used)
			}
		}
		if last := a.leader.last(); last.Fence != 7 || last.Complete {
			t.Errorf("after the offer the agent polls %+v, want fence 7 and no list", last)
		}
		a.leader.set(func(answer *assignment.Answer) { answer.FenceOffered = false })
		time.Sleep(time.Second)
		if last := a.leader.last(); last.Fence != 7 || !last.Complete {
			t.Errorf("once accepted the agent polls %+v, want fence 7 and a list", last)
		}
		calls := a.recorder.calls(offered)
		if fence := calls[len(calls)-1].order.Fence; fence <= used {
			t.Errorf("orders carry fence %d, want one above %d", fence, used)
		}
	})
}
