package runner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// heldCall is one call of a recorder's Hold: what it said, and what came of it.
type heldCall struct {
	at    time.Time
	order runner.Order
	seen  int64
	err   error
}

// recorder is a worker that keeps what it was told.
type recorder struct {
	*jobtest.Worker
	// garbles stands between the worker and the agent, if it is set.
	garbles *garbling
	// busy says that it answers each call that it does nothing.
	busy   bool
	mu     sync.Mutex
	holds  []heldCall
	starts []time.Time
}

func (w *recorder) Sync(ctx context.Context, o runner.Order, until, seen int64, wait time.Duration) (runner.Listing, int64, error) {
	at := time.Now()
	w.mu.Lock()
	hold := w.Worker.Sync
	if w.garbles != nil {
		hold = w.garbles.Sync
	}
	busy := w.busy
	w.mu.Unlock()
	if busy {
		return runner.Listing{}, 0, runner.ErrUnavailable
	}
	listing, clock, err := hold(ctx, o, until, seen, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds = append(w.holds, heldCall{at: at, order: o, seen: seen, err: err})
	return listing, clock, err
}

func (w *recorder) Start(ctx context.Context, o runner.Order, s assignment.Start, until int64) (int64, error) {
	w.mu.Lock()
	w.starts = append(w.starts, time.Now())
	w.mu.Unlock()
	return w.Worker.Start(ctx, o, s, until)
}

// calls returns the calls of Hold since a moment, in the order in which they were sent.
func (w *recorder) calls(since time.Time) []heldCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var calls []heldCall
	for _, c := range w.holds {
		if !c.at.Before(since) {
			calls = append(calls, c)
		}
	}
	return calls
}

// restarting is an agent beside a recorder whose starts share one id.
type restarting struct {
	*agent
	recorder *recorder
}

// withRestarts runs a test with an agent that has been there for a second.
func withRestarts(t *testing.T, f func(t *testing.T, a *restarting)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		workers := jobtest.NewWorkers(1)
		workers.SameIDShare = 1
		workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{{Tasks: 9, Resources: job.Resources{Accelerators: 1}}}})
		a := &restarting{agent: &agent{workers: workers, leader: &leader{
			answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: true}, heard: true,
		}}}
		a.worker = workers.Add("w", "s", "z", "r", job.Resources{Accelerators: 2})
		a.recorder = &recorder{Worker: a.worker}
		a.runner = runner.New(runner.Settings{Name: "w", Agent: "1", Lease: lease, Drift: 0.03, CordonWithin: jobtest.CordonBound},
			runner.Dependencies{Worker: a.recorder, Leader: a.leader, Logger: zerolog.Nop(), Metrics: tally.NoopScope})
		go workers.Run(ctx)
		go a.runner.Run(ctx)
		a.beat(t)
		time.Sleep(time.Second)
		f(t, a)
		cancel()
		time.Sleep(20 * time.Second)
	})
}

// beat lets the worker report, and returns what it says.
func (a *restarting) beat(t *testing.T) assignment.WorkerState {
	t.Helper()
	said, _ := a.worker.Beat()
	a.runner.Heartbeat(t.Context(), said)
	return said
}

// want sets what the leader wants to start.
func (a *restarting) want(runs ...assignment.Start) {
	a.leader.set(func(answer *assignment.Answer) { answer.Start = runs })
}

// TestNumbersOfAFormerStart: what was read of a former start is never told to the next one, and the first call that the next one hears brings a
// higher fence than all before.
func TestNumbersOfAFormerStart(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		a.workers.SetWork(200 * time.Millisecond)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(time.Second)
		a.want()
		// The leader has kept the end, but the worker is gone before it can be told to forget it.
		a.worker.CrashProcess(500 * time.Millisecond)
		a.leader.set(func(answer *assignment.Answer) { answer.AckedEnd = 1 })
		crashed := time.Now()
		time.Sleep(1200 * time.Millisecond)
		highest := int64(0)
		for _, c := range a.recorder.calls(time.Time{}) {
			if c.at.Before(crashed) {
				highest = max(highest, c.order.Fence)
			}
		}
		answered := false
		for _, c := range a.recorder.calls(crashed.Add(500 * time.Millisecond)) {
			if c.seen != 0 {
				t.Errorf("the new start was told to forget the ends up to %d", c.seen)
			}
			answered = answered || c.err == nil && c.order.Fence > highest
		}
		if !answered {
			t.Errorf("0.7 s after its start, without a report, the worker has not heard a fence above %d", highest)
		}
	})
}

// TestEndIsToldBesideTheList: the end of a former start is told only in polls that say what the present one runs.
func TestEndIsToldBesideTheList(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		a.workers.SetWork(time.Minute)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(500 * time.Millisecond)
		a.want()
		a.leader.set(func(answer *assignment.Answer) { answer.AckedPoll = 0 })
		a.leader.mu.Lock()
		a.leader.heard = false
		a.leader.mu.Unlock()
		former := a.beat(t)
		a.worker.CrashProcess(200 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); len(p.EndedIncarnations) != 0 || len(p.ClosingIncarnations) != 1 || p.ClosingIncarnations[0] != former.ID {
			t.Errorf("before the next start reports, the ends %+v are told, and closing %v", p.EndedIncarnations, p.ClosingIncarnations)
		}
		a.beat(t)
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); len(p.EndedIncarnations) != 1 || p.EndedIncarnations[0].ID != former.ID || !p.Complete {
			t.Errorf("after it has listed, the ends %+v are told, listed %v", p.EndedIncarnations, p.Complete)
		}
		// A new leader's fence has to reach the worker first; the worker gives no answer meanwhile.
		a.worker.SetUnreachable(true)
		a.leader.set(func(answer *assignment.Answer) { answer.Term, answer.Fence = 2, 2 })
		time.Sleep(time.Second)
		if p := a.leader.last(); p.Complete || len(p.EndedIncarnations) != 0 {
			t.Errorf("without a list, the ends %+v are told, listed %v", p.EndedIncarnations, p.Complete)
		}
		a.worker.SetUnreachable(false)
		time.Sleep(2 * time.Second)
		if p := a.leader.last(); len(p.EndedIncarnations) != 1 {
			t.Errorf("beside the next list, the ends %+v are told, want one", p.EndedIncarnations)
		}
	})
}

// TestStartInDoubtIsNotSentOn: a run whose start crashes the worker is not started again on the next start under the same id: nobody would count that.
func TestStartInDoubtIsNotSentOn(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		a.workers.CrashOn(task, 0, 300*time.Millisecond)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(3 * time.Second)
		a.want()
		if n := len(a.recorder.starts); n != 1 {
			t.Errorf("the run was started %d times, want once", n)
		}
		a.beat(t)
		time.Sleep(500 * time.Millisecond)
		if n := a.workers.CrashesBy(task); n != 1 {
			t.Errorf("%d workers crashed by it, want one", n)
		}
	})
}

// TestReportsOfNoStart: reports of a former start, without the time of a start or with one that no list confirms, change nothing.
func TestReportsOfNoStart(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		former := a.beat(t)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		present := a.beat(t)
		if present.ID == former.ID || !present.ID.SharesInstance(former.ID) {
			t.Fatalf("the worker is %v after %v", present.ID, former.ID)
		}
		time.Sleep(500 * time.Millisecond)
		unborn, madeUp, back := present, present, present
		unborn.ID.StartMillis, madeUp.ID.StartMillis, back.ID.StartMillis = 0, present.ID.StartMillis+7, former.ID.StartMillis-7
		for _, said := range []assignment.WorkerState{former, unborn, madeUp, back} {
			said.Capacity = job.Resources{Accelerators: 1}
			if a.runner.Heartbeat(t.Context(), said) {
				t.Errorf("a report of %v was taken", said.ID)
			}
		}
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); p.State == nil || p.State.ID != present.ID || p.State.Capacity != present.Capacity || !p.Complete {
			t.Errorf("after them the agent says %+v", p)
		}
	})
}

// TestBusyStart: a refusal does not say which start has given it, so the report of a new start that does nothing yet is not taken for a late one for good.
func TestBusyStart(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		setBusy := func(busy bool) {
			a.recorder.mu.Lock()
			defer a.recorder.mu.Unlock()
			a.recorder.busy = busy
		}
		setBusy(true)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		present := a.beat(t)
		setBusy(false)
		time.Sleep(time.Second)
		if !a.runner.Heartbeat(t.Context(), present) {
			t.Error("the report of the new start is not taken once it answers")
		}
	})
}

// TestFirstReportOfAnother: an agent that has heard nothing before takes a report of a former start for the worker's, until the list says better.
func TestFirstReportOfAnother(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		former := a.beat(t)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		fresh := runner.New(runner.Settings{Name: "w", Agent: "2", Lease: lease, Drift: 0.03, CordonWithin: jobtest.CordonBound},
			runner.Dependencies{Worker: a.recorder, Leader: &leader{answer: assignment.Answer{Term: 1, Fence: 9, LeaseMillis: lease.Milliseconds(), ZoneOpen: true}}, Logger: zerolog.Nop(), Metrics: tally.NoopScope})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go fresh.Run(ctx)
		fresh.Heartbeat(ctx, former)
		time.Sleep(500 * time.Millisecond)
		if fresh.Heartbeat(ctx, former) {
			t.Error("a second report of the former start was taken")
		}
		present, _ := a.worker.Beat()
		if !fresh.Heartbeat(ctx, present) {
			t.Error("the report of the present start was not taken")
		}
	})
}

// TestGoneOfAFormerStart: a word that a worker ends is taken only of one that had said that it leaves: a former start's may come late.
func TestGoneOfAFormerStart(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		present := a.beat(t)
		a.runner.Deregister(present.ID.Instance)
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); p.State == nil || p.State.ID != present.ID || len(p.EndedIncarnations) != 0 {
			t.Errorf("after a word of a former start the agent says life %+v, over %+v", p.State, p.EndedIncarnations)
		}
		a.worker.Leave(time.Minute)
		a.beat(t)
		a.leader.mu.Lock()
		a.leader.heard = false
		a.leader.mu.Unlock()
		a.runner.Deregister(present.ID.Instance)
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); p.State != nil || len(p.EndedIncarnations) != 1 || !p.EndedIncarnations[0].Drained || p.EndedIncarnations[0].ID != present.ID {
			t.Errorf("after it has left the agent says life %+v, over %+v", p.State, p.EndedIncarnations)
		}
	})
}
