package runner_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// otherFence is above all fences of the agent in these tests.
const otherFence = int64(1) << 40

// obeyOther lets the worker see a fence of another process, which extends its lease for some time.
func obeyOther(t *testing.T, a *restarting, length time.Duration) {
	t.Helper()
	order := runner.Order{Incarnation: a.beat(t).ID, Fence: otherFence}
	const forever = int64(1) << 40
	go func() {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second) {
			if _, _, err := a.worker.Sync(t.Context(), order, forever, 0, 0); err != nil {
				t.Errorf("the other process is refused: %v", err)
			}
		}
	}()
}

// TestFencedOffIsNotSilent: a worker that refuses an agent's fence obeys another process, which may
// extend its lease. So nothing on it is given up, though nothing more is placed there.
//
// The refusals were taken for silence: the agent said that the lease was over, and the tasks started
// elsewhere while they ran on.
func TestFencedOffIsNotSilent(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		a.workers.SetWork(time.Minute)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(time.Second)
		a.want()
		obeyOther(t, a, 3*lease)
		time.Sleep(3 * lease)
		for _, p := range a.leader.all() {
			for _, refused := range p.Refused {
				t.Fatalf("run %v is given up: %s", refused.RunID, refused.Reason)
			}
		}
		if last := a.leader.last(); !last.Unresponsive {
			t.Error("the worker refuses each order, and the leader may place runs there")
		}
	})
}

// TestRefusedFenceIsTold: the leader is told which fence the worker refuses, and a higher one that it
// sends is used.
func TestRefusedFenceIsTold(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		obeyOther(t, a, time.Second)
		time.Sleep(2 * time.Second)
		if last := a.leader.last(); last.RefusedFence != 1 {
			t.Fatalf("the leader is told of refused fence %d, want 1", last.RefusedFence)
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Fence = otherFence })
		time.Sleep(2 * time.Second)
		if last := a.leader.last(); last.RefusedFence != 0 || !last.Complete || last.Unresponsive {
			t.Errorf("with a higher fence the agent polls %+v, want a complete list and no refusal", last)
		}
	})
}

// TestOfferedFenceIsNotUsed: an agent shows the leader a fence that it is offered, and its orders
// carry it only once an answer has said that the agent is heard.
//
// An agent that was never heard used it, and the worker refused the one that was.
func TestOfferedFenceIsNotUsed(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		before := a.recorder.calls(time.Time{})
		used := before[len(before)-1].order.Fence
		a.leader.set(func(answer *assignment.Answer) { answer.Term, answer.Fence, answer.Offer = 2, 7, true })
		offered := time.Now()
		time.Sleep(3 * time.Second)
		for _, c := range a.recorder.calls(offered) {
			if c.order.Fence != used {
				t.Fatalf("an order carries fence %d before the agent is heard, want %d", c.order.Fence, used)
			}
		}
		if last := a.leader.last(); last.Fence != 7 || last.Complete {
			t.Errorf("beside the offer the agent polls %+v, want fence 7 and no list", last)
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Offer = false })
		time.Sleep(time.Second)
		if last := a.leader.last(); last.Fence != 7 || !last.Complete {
			t.Errorf("once it is heard the agent polls %+v, want fence 7 and a list", last)
		}
		calls := a.recorder.calls(offered)
		if fence := calls[len(calls)-1].order.Fence; fence <= used {
			t.Errorf("orders carry fence %d, want one above %d", fence, used)
		}
	})
}
