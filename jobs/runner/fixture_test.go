package runner_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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

const lease = 6 * time.Second

// leader is a leader that wants what a test tells it to want.
type leader struct {
	mu     sync.Mutex
	answer assignment.Answer
	heard  bool
	polls  []assignment.Poll
	down   bool
	// rejection, if set, is the error of each poll.
	rejection error
	// keeps says that it keeps full polls, so that deltas may build on them.
	keeps bool
	base  int64
	// during, if set, is called while each poll is under way.
	during func()
}

// Poll implements runner.Leader.
func (o *leader) Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error) {
	o.mu.Lock()
	o.polls = append(o.polls, p)
	o.mu.Unlock()
	if p.Wait {
		time.Sleep(300 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.during != nil {
		o.during()
	}
	if o.down {
		return assignment.Answer{}, context.DeadlineExceeded
	}
	if o.rejection != nil {
		return assignment.Answer{}, o.rejection
	}
	a := o.answer
	if o.keeps && p.Delta == nil {
		o.base = max(o.base, p.Sequence)
	}
	a.BasePoll = o.base
	if p.Wait {
		a.HeldMillis = 300
	}
	if p.State != nil {
		a.Incarnation = p.State.ID
	}
	if o.heard {
		a.AckedPoll = p.Sequence
	}
	return a, nil
}

func (o *leader) set(f func(a *assignment.Answer)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.answer)
}

// reject answers polls with an error from now on, or takes them again if it is nil.
func (o *leader) reject(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejection = err
}

// last is the newest poll.
func (o *leader) last() assignment.Poll {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := o.polls[0]
	for _, p := range o.polls {
		if p.Sequence > newest.Sequence {
			newest = p
		}
	}
	return newest
}

// all returns the polls in the order in which they came.
func (o *leader) all() []assignment.Poll {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.polls)
}

// agent is a runner beside a worker of jobtest.
type agent struct {
	leader  *leader
	workers *jobtest.Workers
	worker  *jobtest.Worker
	runner  *runner.Runner
}

var task = job.TaskName{Job: "0000000000000001"}

func id(run int) assignment.RunID { return assignment.RunID{Task: task, Run: run} }

// suspended is for how long the agent's machine was suspended, in nanoseconds.
var suspended atomic.Int64

// agentSettings are those of an agent's process beside worker w.
func agentSettings(process string) runner.Settings {
	return runner.Settings{Name: "w", Agent: process, Lease: lease, Drift: 0.03, CordonWithin: jobtest.CordonBound}
}

// granting is a leader that grants leases in an open zone.
func granting() *leader {
	return &leader{answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: true}}
}

// startAgent starts a runner beside a worker of two accelerators.
func startAgent(ctx context.Context, t *testing.T, o *leader) *agent {
	a := &agent{workers: jobtest.NewWorkers(1), leader: o}
	step := job.Step{Tasks: 1, Resources: job.Resources{Accelerators: 1}}
	a.workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{step}})
	a.worker = a.workers.Add("w", "s", "z", "r", job.Resources{Accelerators: 2})
	a.runner = runner.New(agentSettings("1"), runner.Dependencies{
		Worker:     a.worker,
		Leader:     a.leader,
		Logger:     zerolog.Nop(),
		Metrics:    tally.NoopScope,
		Suspension: func() time.Duration { return time.Duration(suspended.Load()) },
	})
	go a.workers.Run(ctx)
	go a.runner.Run(ctx)
	first, _ := a.worker.Beat()
	a.runner.Heartbeat(t.Context(), first)
	return a
}

func within(t *testing.T, f func(t *testing.T, a *agent)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := startAgent(ctx, t, granting())
		time.Sleep(time.Second)
		f(t, a)
		for _, b := range a.workers.Report() {
			t.Error(b)
		}
		cancel()
		time.Sleep(20 * time.Second)
	})
}
