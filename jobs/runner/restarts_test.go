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

// syncRecord is one call of a recorder's Sync: its arguments and its result.
type syncRecord struct {
	at     time.Time
	order  runner.Order
	forget int64
	err    error
}

// recorder is a worker that records its calls.
type recorder struct {
	*jobtest.Worker
	// blocked, if set, receives the calls instead.
	blocked *blockingWorker
	// rowLosing, if set, receives the syncs instead.
	rowLosing *rowLosingWorker
	// busy is set if the worker answers that it is unavailable.
	busy   bool
	mu     sync.Mutex
	syncs  []syncRecord
	starts []time.Time
}

func (w *recorder) Sync(
	ctx context.Context, o runner.Order, until, forget int64, wait time.Duration,
) (runner.Listing, int64, error) {
	at := time.Now()
	w.mu.Lock()
	sync := w.Worker.Sync
	if w.rowLosing != nil {
		sync = w.rowLosing.Sync
	}
	if w.blocked != nil {
		sync = w.blocked.Sync
	}
	busy := w.busy
	w.mu.Unlock()
	if busy {
		return runner.Listing{}, 0, runner.ErrUnavailable
	}
	listing, clock, err := sync(ctx, o, until, forget, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.syncs = append(w.syncs, syncRecord{at: at, order: o, forget: forget, err: err})
	return listing, clock, err
}

func (w *recorder) Start(ctx context.Context, o runner.Order, s assignment.Start, until int64) (int64, error) {
	w.mu.Lock()
	w.starts = append(w.starts, time.Now())
	start := w.Worker.Start
	if w.blocked != nil {
		start = w.blocked.Start
	}
	w.mu.Unlock()
	return start(ctx, o, s, until)
}

// routeThrough routes all further calls through m.
func (w *recorder) routeThrough(m *blockingWorker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked = m
}

// calls returns the syncs sent since a given time.
func (w *recorder) calls(since time.Time) []syncRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var calls []syncRecord
	for _, c := range w.syncs {
		if !c.at.Before(since) {
			calls = append(calls, c)
		}
	}
	return calls
}

// restartingAgent is an agent with a recorder whose incarnations share one instance.
type restartingAgent struct {
	*agent
	recorder *recorder
}

// withSharedInstance runs a test with an agent that has been running for a second. The incarnations
// of its worker share one instance.
func withSharedInstance(t *testing.T, f func(t *testing.T, a *restartingAgent)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		workers := jobtest.NewWorkers(1)
		workers.SameIDShare = 1
		step := job.Step{Tasks: 9, Resources: job.Resources{Accelerators: 1}}
		workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{step}})
		a := &restartingAgent{agent: &agent{workers: workers, leader: &leader{
			answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: true}, acks: true,
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

// beat sends a heartbeat of the worker, and returns its content.
func (a *restartingAgent) beat(t *testing.T) assignment.WorkerState {
	t.Helper()
	reported, _ := a.worker.Heartbeat()
	a.runner.Heartbeat(t.Context(), reported)
	return reported
}

// want sets the starts that the leader orders.
func (a *restartingAgent) want(runs ...assignment.Start) {
	a.leader.set(func(answer *assignment.Answer) { answer.Start = runs })
}

// TestNumbersOfAFormerStart checks that an incarnation is never made to forget ends of a former
// one, and that the first call that it receives carries a higher fence than all earlier calls.
func TestNumbersOfAFormerStart(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		a.workers.SetWork(200 * time.Millisecond)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(time.Second)
		a.want()
		// The leader has stored the end, but the worker crashes before it receives the
		// acknowledgment.
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
				t.Errorf("the new incarnation was made to forget the ends up to %d", c.forget)
			}
			answered = answered || c.err == nil && c.order.Fence > highest
		}
		if !answered {
			t.Errorf("0.7 s after its start, without a heartbeat, the worker has not received a fence above %d", highest)
		}
	})
}

// TestEndIsToldBesideTheList checks that the end of a former incarnation is reported only together
// with the list of the present one.
func TestEndIsToldBesideTheList(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		a.workers.SetWork(time.Minute)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(500 * time.Millisecond)
		a.want()
		a.leader.set(func(answer *assignment.Answer) { answer.AckedPoll = 0 })
		a.leader.mu.Lock()
		a.leader.acks = false
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
			t.Errorf("with the list, ended incarnations are %+v, complete %v", p.EndedIncarnations, p.Complete)
		}
		// The fence of a new leader has to reach the worker first, which does not answer for a
		// while.
		a.worker.SetUnreachable(true)
		a.leader.set(func(answer *assignment.Answer) { answer.Term, answer.Fence = 2, 2 })
		time.Sleep(time.Second)
		if p := a.leader.last(); p.Complete || len(p.EndedIncarnations) != 0 {
			t.Errorf("without a list, ended incarnations are %+v, complete %v", p.EndedIncarnations, p.Complete)
		}
		a.worker.SetUnreachable(false)
		time.Sleep(2 * time.Second)
		if p := a.leader.last(); len(p.EndedIncarnations) != 1 {
			t.Errorf("with the next list, ended incarnations are %+v, want one", p.EndedIncarnations)
		}
	})
}

// TestStartInDoubtIsNotSentOn checks that a run whose start crashes the worker is not started again
// on the following incarnation, because that crash would not be counted.
func TestStartInDoubtIsNotSentOn(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
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
			t.Errorf("the task crashed %d workers, want one", n)
		}
	})
}

// TestReportsOfNoStart checks that heartbeats of a former incarnation, heartbeats without a start
// time, and heartbeats with a start time that no list confirms have no effect.
func TestReportsOfNoStart(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		former := a.beat(t)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		present := a.beat(t)
		if present.ID == former.ID || !present.ID.SharesInstance(former.ID) {
			t.Fatalf("after the crash the worker is %v, before it was %v", present.ID, former.ID)
		}
		time.Sleep(500 * time.Millisecond)
		withoutStart, later, earlier := present, present, present
		withoutStart.ID.StartMillis = 0
		later.ID.StartMillis = present.ID.StartMillis + 7
		earlier.ID.StartMillis = former.ID.StartMillis - 7
		for _, reported := range []assignment.WorkerState{former, withoutStart, later, earlier} {
			reported.Capacity = job.Resources{Accelerators: 1}
			if a.runner.Heartbeat(t.Context(), reported) {
				t.Errorf("the heartbeat of %v was accepted", reported.ID)
			}
		}
		time.Sleep(500 * time.Millisecond)
		p := a.leader.last()
		if p.State == nil || p.State.ID != present.ID || p.State.Capacity != present.Capacity || !p.Complete {
			t.Errorf("after the heartbeats the agent polls %+v", p)
		}
	})
}

// TestBusyStart checks that the heartbeat of a new incarnation that is unavailable at first is not
// rejected permanently as a late one. A refusal does not show which incarnation it comes from.
func TestBusyStart(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
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
			t.Error("the heartbeat of the new incarnation is rejected although the worker answers again")
		}
	})
}

// TestFirstReportOfAnother checks that a newly started agent accepts a heartbeat of a former
// incarnation only until a list shows that the worker has restarted.
func TestFirstReportOfAnother(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		former := a.beat(t)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		successor := newGrantingLeader()
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
			t.Error("a second heartbeat of the former incarnation was accepted")
		}
		present, _ := a.worker.Heartbeat()
		if !fresh.Heartbeat(ctx, present) {
			t.Error("the heartbeat of the present incarnation was rejected")
		}
	})
}

// TestGoneOfAFormerStart checks that a deregistration is accepted only for a draining worker,
// because a deregistration of a former incarnation may arrive late.
func TestGoneOfAFormerStart(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		present := a.beat(t)
		a.runner.Deregister(present.ID.Instance)
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); p.State == nil || p.State.ID != present.ID || len(p.EndedIncarnations) != 0 {
			t.Errorf("after a late deregistration the agent polls state %+v, ended %+v", p.State, p.EndedIncarnations)
		}
		a.worker.Drain(time.Minute)
		a.beat(t)
		a.leader.mu.Lock()
		a.leader.acks = false
		a.leader.mu.Unlock()
		a.runner.Deregister(present.ID.Instance)
		time.Sleep(500 * time.Millisecond)
		p := a.leader.last()
		if p.State != nil || len(p.EndedIncarnations) != 1 {
			t.Fatalf("after a timely deregistration the agent polls state %+v, ended %+v", p.State, p.EndedIncarnations)
		}
		if end := p.EndedIncarnations[0]; !end.Drained || end.ID != present.ID {
			t.Errorf("after a timely deregistration the agent reports the end as %+v", end)
		}
	})
}
