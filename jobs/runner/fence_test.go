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
