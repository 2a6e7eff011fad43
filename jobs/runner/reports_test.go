package runner_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// TestOddHeartbeats: a heartbeat of another identity than the worker's is taken only when it
// comes twice in a row: others may send heartbeats too.
func TestOddHeartbeats(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		sound, _ := a.worker.Beat()
		odd := sound
		odd.Service, odd.Draining = "another", true
		other := odd
		other.Service = "a third"
		for i, said := range []struct {
			state assignment.WorkerState
			taken bool
		}{
			{odd, false},
			{sound, true},
			{odd, false},
			{other, false},
			{sound, true},
			{odd, false},
			{odd, true},
			{sound, false},
			{sound, true},
		} {
			if got := a.runner.Heartbeat(t.Context(), said.state); got != said.taken {
				t.Errorf("heartbeat %d of service %s: taken %v, want %v", i, said.state.Service, got, said.taken)
			}
		}
		time.Sleep(time.Second)
		if p := a.leader.last(); p.State == nil || p.State.Service != sound.Service || p.State.Draining {
			t.Errorf("after them the agent says %+v", p.State)
		}
	})
}

// TestFailureIsReportedAtOnce: a poll says that the worker gives no answer as soon as a sync has
// failed, so that the leader sends no suspected task there.
func TestFailureIsReportedAtOnce(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.worker.SetUnreachable(true)
		// The sync under way fails after its wait and a call's timeout.
		time.Sleep(1750 * time.Millisecond)
		failing := time.Duration(0)
		for _, p := range a.leader.all() {
			if p.FailingMillis > 0 {
				failing = time.Duration(p.FailingMillis) * time.Millisecond
				break
			}
		}
		if failing != time.Millisecond {
			t.Errorf("the first poll that tells says that it has failed for %v, want 1ms", failing)
		}
	})
}

// garbling is a worker of whose lists one row can't be read for a while.
type garbling struct {
	*jobtest.Worker
	mu   sync.Mutex
	lost bool
}

func (w *garbling) set(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = lost
}

func (w *garbling) Sync(
	ctx context.Context, o runner.Order, until, forget int64, wait time.Duration,
) (runner.Listing, int64, error) {
	l, clock, err := w.Worker.Sync(ctx, o, until, forget, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost && err == nil && len(l.Runs) > 0 {
		l.Runs, l.Unreadable = l.Runs[1:], []error{errors.New("running[0]: a row that is no list")}
	}
	return l, clock, err
}

// TestUnreadableRow: a run whose row can't be read for a while counts as neither gone nor ended.
func TestUnreadableRow(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		worker := &garbling{Worker: a.worker}
		a.recorder.mu.Lock()
		a.recorder.garbles = worker
		a.recorder.mu.Unlock()
		a.workers.SetWork(4 * time.Second)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(time.Second)
		a.want()
		worker.set(true)
		time.Sleep(1500 * time.Millisecond)
		if p := a.leader.last(); len(p.Runs) != 1 || len(p.Ends)+len(p.Refused) != 0 {
			t.Errorf("while its row can't be read the agent says runs %+v, ends %+v, refused %+v", p.Runs, p.Ends, p.Refused)
		}
		worker.set(false)
		time.Sleep(4 * time.Second)
		ended := false
		for _, p := range a.leader.polls {
			ended = ended || len(p.Ends) == 1
		}
		if !ended {
			t.Error("its end was never told")
		}
	})
}
