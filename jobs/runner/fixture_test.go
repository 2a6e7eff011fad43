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

// leader is a fake leader whose orders are set by the test.
type leader struct {
	mu     sync.Mutex
	answer assignment.Answer
	acks   bool
	polls  []assignment.Poll
	down   bool
	// rejection, if set, is the error for every poll.
	rejection error
	// keepsPolls is set if the leader keeps full polls, so that deltas may build on them.
	keepsPolls bool
	base       int64
	// onPoll, if set, is called during each poll.
	onPoll func()
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
	if o.onPoll != nil {
		o.onPoll()
	}
	if o.down {
		return assignment.Answer{}, context.DeadlineExceeded
	}
	if o.rejection != nil {
		return assignment.Answer{}, o.rejection
	}
	a := o.answer
	if o.keepsPolls && p.Delta == nil {
		o.base = max(o.base, p.Sequence)
	}
	a.BasePoll = o.base
	if p.Wait {
		a.HeldMillis = 300
	}
	if p.State != nil {
		a.Incarnation = p.State.ID
	}
	if o.acks {
		a.AckedPoll = p.Sequence
	}
	return a, nil
}

func (o *leader) set(f func(a *assignment.Answer)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.answer)
}

// reject makes polls fail with an error, or succeed again if it is nil.
func (o *leader) reject(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejection = err
}

// last returns the newest poll.
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

// all returns the polls in order of arrival.
func (o *leader) all() []assignment.Poll {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.polls)
}

// agent is a runner together with a worker of jobtest.
type agent struct {
	leader  *leader
	workers *jobtest.Workers
	worker  *jobtest.Worker
	runner  *runner.Runner
}

var task = job.TaskName{Job: "0000000000000001"}

func id(run int) assignment.RunID { return assignment.RunID{Task: task, Run: run} }

// suspended is the time for which the agent's machine has been suspended, in nanoseconds.
var suspended atomic.Int64

// agentSettings returns the settings of an agent's process for worker w.
func agentSettings(process string) runner.Settings {
	return runner.Settings{Name: "w", Agent: process, Lease: lease, Drift: 0.03, MaxCordonDelay: jobtest.CordonBound}
}

// newGrantingLeader returns a leader that grants leases in a zone that is not cordoned.
func newGrantingLeader() *leader {
	return &leader{answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: true}}
}

// startAgent starts a runner with a worker that has two accelerators.
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
	first, _ := a.worker.Heartbeat()
	a.runner.Heartbeat(t.Context(), first)
	return a
}

func withAgent(t *testing.T, f func(t *testing.T, a *agent)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := startAgent(ctx, t, newGrantingLeader())
		time.Sleep(time.Second)
		f(t, a)
		for _, b := range a.workers.Report() {
			t.Error(b)
		}
		cancel()
		time.Sleep(20 * time.Second)
	})
}
