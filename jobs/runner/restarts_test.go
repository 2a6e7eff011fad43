package runner_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// heldCall is one call of a recorder's Sync: what it brought, and how it ended.
type heldCall struct {
	at     time.Time
	order  runner.Order
	forget int64
	err    error
}

// recorder is a worker that keeps what it was told.
type recorder struct {
	*jobtest.Worker
	// muted, if set, takes the calls instead.
	muted *mute
	// garbles, if set, stands between the worker and the agent.
	garbles *garbling
	// busy says that it is unavailable.
	busy   bool
	mu     sync.Mutex
	holds  []heldCall
	starts []time.Time
}

func (w *recorder) Sync(
	ctx context.Context, o runner.Order, until, forget int64, wait time.Duration,
) (runner.Listing, int64, error) {
	at := time.Now()
	w.mu.Lock()
	sync := w.Worker.Sync
	if w.garbles != nil {
		sync = w.garbles.Sync
	}
	if w.muted != nil {
		sync = w.muted.Sync
	}
	busy := w.busy
	w.mu.Unlock()
	if busy {
		return runner.Listing{}, 0, runner.ErrUnavailable
	}
	listing, clock, err := sync(ctx, o, until, forget, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds = append(w.holds, heldCall{at: at, order: o, forget: forget, err: err})
	return listing, clock, err
}

func (w *recorder) Start(ctx context.Context, o runner.Order, s assignment.Start, until int64) (int64, error) {
	w.mu.Lock()
	w.starts = append(w.starts, time.Now())
	start := w.Worker.Start
	if w.muted != nil {
		start = w.muted.Start
	}
	w.mu.Unlock()
	return start(ctx, o, s, until)
}

// through lets all further calls go through m.
func (w *recorder) through(m *mute) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.muted = m
}

// calls returns the syncs since a time, in the order in which they were sent.
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

// restarting is an agent beside a recorder whose incarnations share one instance.
type restarting struct {
	*agent
	recorder *recorder
}

// withRestarts runs a test with an agent that has been running for a second.
func withRestarts(t *testing.T, f func(t *testing.T, a *restarting)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		workers := jobtest.NewWorkers(1)
		workers.SameIDShare = 1
		step := job.Step{Tasks: 9, Resources: job.Resources{Accelerators: 1}}
		workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{step}})
		a := &restarting{agent: &agent{workers: workers, leader: &leader{
			answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: true}, heard: true,
		}}}
		a.worker = workers.Add("w", "s", "z", "r", job.Resources{Accelerators: 2})
		a.recorder = &recorder{Worker: a.worker}
		a.runner = runner.New(agentSettings("1"),
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

// beat lets the worker report, and returns the report.
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

// TestNumbersOfAFormerStart: an incarnation is never told to forget the ends of a former one,
// and the first call that it hears brings a higher fence than all before.
func TestNumbersOfAFormerStart(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		a.workers.SetWork(200 * time.Millisecond)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(time.Second)
		a.want()
		// The leader has stored the end, but the worker crashes before it is told to forget it.
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
			if c.forget != 0 {
				t.Errorf("the new start was told to forget the ends up to %d", c.forget)
			}
			answered = answered || c.err == nil && c.order.Fence > highest
		}
		if !answered {
			t.Errorf("0.7 s after its start, without a report, the worker has not heard a fence above %d", highest)
		}
	})
}

// TestEndIsToldBesideTheList: the end of a former incarnation is reported only beside the list
// of the present one.
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
		p := a.leader.last()
		if len(p.EndedIncarnations) != 0 || !slices.Equal(p.ClosingIncarnations, []incarnation.ID{former.ID}) {
			t.Errorf("before the next heartbeat, ended are %+v, closing %v", p.EndedIncarnations, p.ClosingIncarnations)
		}
		a.beat(t)
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); len(p.EndedIncarnations) != 1 || p.EndedIncarnations[0].ID != former.ID || !p.Complete {
			t.Errorf("after it has listed, the ends %+v are told, listed %v", p.EndedIncarnations, p.Complete)
		}
		// A new leader's fence has to reach the worker first, which gives no answer meanwhile.
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

// TestStartInDoubtIsNotSentOn: a run whose start crashes the worker is not started again on the
// incarnation that follows: nobody would count that crash.
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

// TestReportsOfNoStart: heartbeats of a former incarnation, and those without a start or with
// one that no list confirms, change nothing.
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
		withoutStart, later, earlier := present, present, present
		withoutStart.ID.StartMillis = 0
		later.ID.StartMillis = present.ID.StartMillis + 7
		earlier.ID.StartMillis = former.ID.StartMillis - 7
		for _, said := range []assignment.WorkerState{former, withoutStart, later, earlier} {
			said.Capacity = job.Resources{Accelerators: 1}
			if a.runner.Heartbeat(t.Context(), said) {
				t.Errorf("a report of %v was taken", said.ID)
			}
		}
		time.Sleep(500 * time.Millisecond)
		p := a.leader.last()
		if p.State == nil || p.State.ID != present.ID || p.State.Capacity != present.Capacity || !p.Complete {
			t.Errorf("after them the agent says %+v", p)
		}
	})
}

// TestBusyStart: a refusal does not say which incarnation it is from, so the heartbeat of a new
// one that is unavailable at first is not taken for a late one for good.
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

// TestFirstReportOfAnother: an agent that has heard nothing before takes a heartbeat of a
// former incarnation for the worker's, until a list says otherwise.
func TestFirstReportOfAnother(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		former := a.beat(t)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		successor := granting()
		successor.answer.Fence = 9
		fresh := runner.New(agentSettings("2"), runner.Dependencies{
			Worker:  a.recorder,
			Leader:  successor,
			Logger:  zerolog.Nop(),
			Metrics: tally.NoopScope,
		})
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

// TestGoneOfAFormerStart: a deregistration is believed only of a draining worker: that of a
// former incarnation may come late.
func TestGoneOfAFormerStart(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		present := a.beat(t)
		a.runner.Deregister(present.ID.Instance)
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); p.State == nil || p.State.ID != present.ID || len(p.EndedIncarnations) != 0 {
			t.Errorf("after a late deregistration the agent says state %+v, ended %+v", p.State, p.EndedIncarnations)
		}
		a.worker.Leave(time.Minute)
		a.beat(t)
		a.leader.mu.Lock()
		a.leader.heard = false
		a.leader.mu.Unlock()
		a.runner.Deregister(present.ID.Instance)
		time.Sleep(500 * time.Millisecond)
		p := a.leader.last()
		if p.State != nil || len(p.EndedIncarnations) != 1 {
			t.Fatalf("after it has gone the agent says state %+v, ended %+v", p.State, p.EndedIncarnations)
		}
		if end := p.EndedIncarnations[0]; !end.Drained || end.ID != present.ID {
			t.Errorf("after it has gone the agent says that it ended as %+v", end)
		}
	})
}
