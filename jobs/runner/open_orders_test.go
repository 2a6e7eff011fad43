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
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// blockingWorker wraps a recorder's worker. Until a given time, starts, or syncs that let the
// worker forget ends, get no answer and do not reach the worker.
type blockingWorker struct {
	runner.Worker

	mu              sync.Mutex
	starts, forgets time.Time
	// sentStarts and sentForgets hold the times at which these calls were sent.
	sentStarts, sentForgets []time.Time
}

func (m *blockingWorker) Start(ctx context.Context, o runner.Order, s assignment.Start, until int64) (int64, error) {
	m.mu.Lock()
	m.sentStarts = append(m.sentStarts, time.Now())
	blocked := time.Now().Before(m.starts)
	m.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return m.Worker.Start(ctx, o, s, until)
}

func (m *blockingWorker) Sync(
	ctx context.Context, o runner.Order, until, forget int64, wait time.Duration,
) (runner.Listing, int64, error) {
	m.mu.Lock()
	blocked := forget > 0 && time.Now().Before(m.forgets)
	if forget > 0 {
		m.sentForgets = append(m.sentForgets, time.Now())
	}
	m.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return runner.Listing{}, 0, ctx.Err()
	}
	return m.Worker.Sync(ctx, o, until, forget, wait)
}

// set blocks starts and forgets, each until a given time, and clears the recorded calls.
func (m *blockingWorker) set(starts, forgets time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts, m.forgets, m.sentStarts, m.sentForgets = starts, forgets, nil, nil
}

// sent returns the times at which starts and forgets were sent.
func (m *blockingWorker) sent() (starts, forgets []time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.sentStarts), slices.Clone(m.sentForgets)
}

// TestOpenStartsAndForgets checks that an unanswered start and an unanswered sync that lets the
// worker forget ends are never open at the same time.
//
// The next incarnation could carry out both late: the run would start and end, its end would be
// forgotten unread, and the task would be executed once more.
func TestOpenStartsAndForgets(t *testing.T) {
	for _, test := range []struct {
		name       string
		startFirst bool
	}{
		{"a start without an answer", true},
		{"a forget without an answer", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
				m := &blockingWorker{Worker: a.recorder.Worker}
				a.recorder.routeThrough(m)
				a.workers.SetWork(200 * time.Millisecond)
				a.want(assignment.Start{RunID: id(1)})
				time.Sleep(time.Second)
				a.want()
				orders := []func(){
					func() { a.want(assignment.Start{RunID: id(2)}) },
					func() { a.leader.set(func(answer *assignment.Answer) { answer.AckedEnd = 1 }) },
				}
				until := time.Now().Add(500 * time.Millisecond)
				if m.set(until, time.Time{}); !test.startFirst {
					m.set(time.Time{}, until)
					slices.Reverse(orders)
				}
				orders[0]()
				time.Sleep(350 * time.Millisecond)
				orders[1]()
				for began := time.Now(); time.Since(began) < assignment.MaxOrderDelay+3*time.Second; time.Sleep(time.Second) {
					a.beat(t)
				}
				starts, forgets := m.sent()
				if len(starts) == 0 || len(forgets) == 0 {
					t.Errorf("starts were sent at %v, forgets at %v; want both", starts, forgets)
					return
				}
				if apart := starts[0].Sub(forgets[0]).Abs(); apart < assignment.MaxOrderDelay {
					t.Errorf("the second call was sent %v after the first, which was still open", apart)
				}
			})
		})
	}
}

// leaveUnanswered orders a start that gets no answer and is then stopped. The leader acknowledges no
// polls from then on.
func (a *restartingAgent) leaveUnanswered(run assignment.RunID) *blockingWorker {
	m := &blockingWorker{Worker: a.recorder.Worker}
	m.set(time.Now().Add(500*time.Millisecond), time.Time{})
	a.recorder.routeThrough(m)
	a.want(assignment.Start{RunID: run})
	time.Sleep(400 * time.Millisecond)
	a.leader.set(func(answer *assignment.Answer) {
		answer.Start, answer.StopUnlisted = nil, []assignment.RunID{run}
		a.leader.acks = false
	})
	time.Sleep(time.Second)
	return m
}

// TestOpenStartIsReported checks that a start without an answer is reported as open until it can no
// longer be carried out, even if its run has been stopped and the worker has restarted.
func TestOpenStartIsReported(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		m := a.leaveUnanswered(id(1))
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(time.Second)
		a.beat(t)
		starts, _ := m.sent()
		if len(starts) != 1 {
			t.Errorf("%d starts were sent, want 1", len(starts))
			return
		}
		for ; time.Since(starts[0]) < assignment.MaxOrderDelay; time.Sleep(time.Second) {
			open := a.leader.last().OpenStarts
			if len(open) != 1 || open[0].RunID != id(1) || open[0].OpenMillis <= lease.Milliseconds() {
				t.Errorf("%v after the start the open starts are %+v", time.Since(starts[0]), open)
			}
		}
		time.Sleep(4 * time.Second)
		if open := a.leader.last().OpenStarts; len(open) != 0 {
			t.Errorf("the open starts are %+v, want none", open)
		}
	})
}

// TestNoOpenOrdersWithoutStartTimes checks that an unanswered sync that lets the worker forget ends
// does not delay starts if each incarnation has its own instance.
func TestNoOpenOrdersWithoutStartTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		workers := jobtest.NewWorkers(1)
		workers.NoStartTimes, workers.Work = true, 200*time.Millisecond
		step := job.Step{Tasks: 1, Resources: job.Resources{Accelerators: 1}}
		workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{step}})
		m := &blockingWorker{Worker: workers.Add("w", "s", "z", "r", job.Resources{Accelerators: 2})}
		o := newGrantingLeader()
		o.answer.Start = []assignment.Start{{RunID: id(1)}}
		r := runner.New(agentSettings("1"),
			runner.Dependencies{Worker: m, Leader: o, Logger: zerolog.Nop(), Metrics: tally.NoopScope})
		go workers.Run(ctx)
		go r.Run(ctx)
		beat := func() {
			reported, _ := m.Worker.(*jobtest.Worker).Heartbeat()
			r.Heartbeat(t.Context(), reported)
		}
		beat()
		time.Sleep(2 * time.Second)
		beat()
		m.set(time.Time{}, time.Now().Add(500*time.Millisecond))
		o.set(func(a *assignment.Answer) { a.Start, a.AckedEnd = nil, 1 })
		time.Sleep(1500 * time.Millisecond)
		beat()
		o.set(func(a *assignment.Answer) { a.Start = []assignment.Start{{RunID: id(2)}} })
		time.Sleep(time.Second)
		if starts, forgets := m.sent(); len(starts) != 1 || len(forgets) == 0 {
			t.Errorf("starts were sent at %v, forgets at %v; want one start", starts, forgets)
		}
		if p := o.last(); p.NoStartsMillis != 0 || len(p.OpenStarts) != 0 {
			t.Errorf("the agent reports %d ms without starts, and open starts %+v", p.NoStartsMillis, p.OpenStarts)
		}
		cancel()
		time.Sleep(20 * time.Second)
	})
}
