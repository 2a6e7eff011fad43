package leader

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// counter is a tally.Counter whose value tests can read.
type counter struct{ n atomic.Int64 }

func (c *counter) Inc(delta int64) { c.n.Add(delta) }

// sizes are the numbers of workers with which the amount of work is measured.
var sizes = []int{100, 200}

// agentPoll returns a poll of the i-th agent, whose worker runs the desired run.
func agentPoll(i int, sequence int64, percent int) assignment.Poll {
	id := incarnation.ID{Instance: fmt.Sprintf("life-%d", i), StartMillis: 1}
	return assignment.Poll{
		Worker: fmt.Sprintf("w-%d", i), Agent: "a", Sequence: sequence, Term: 3, Complete: true, Wait: true,
		State: &assignment.WorkerState{ID: id, Service: "roster", Labels: []string{"a"}},
		Runs:  []assignment.Run{{RunID: runOf(i), Percent: percent}},
	}
}

func runOf(i int) assignment.RunID {
	return assignment.RunID{Task: job.TaskName{Job: job.ID(fmt.Sprintf("%016x", i))}, Run: 1}
}

// desiredOf returns the desired state of the i-th worker, with run ends stored up to acked.
func desiredOf(i int, acked int64) dispatch.DesiredState {
	p := agentPoll(i, 1, 0)
	run := dispatch.DesiredRun{Start: assignment.Start{RunID: runOf(i)}}
	return dispatch.DesiredState{
		Incarnation: p.State.ID,
		AckedEnd:    acked,
		Runs:        map[job.TaskName]dispatch.DesiredRun{runOf(i).Task: run},
	}
}

// withFleet runs a test with n agents that have polled and whose workers are in the desired state.
func withFleet(t *testing.T, n int, f func(t *testing.T, fl *fleet, answers *counter)) {
	synctest.Test(t, func(t *testing.T) {
		answers := &counter{}
		open := func() (catalog.Cordons, time.Time) { return nil, time.Now() }
		fl := newFleet(DefaultTiming(6*time.Second), suspend.Clock(nil), open, answers, zerolog.Nop())
		fl.open(3)
		fl.recordProof(fl.clock.Now())
		all := map[string]dispatch.DesiredState{}
		for i := range n {
			p := agentPoll(i, 1, 0)
			p.Wait = false
			ask(t, fl, p)
			all[p.Worker] = desiredOf(i, 0)
		}
		fl.take()
		fl.publish(all)
		<-fl.decisionDue
		f(t, fl, answers)
	})
}

// TestPublicationWakesWhomItConcerns checks that a change for one worker causes one answer to be
// computed, however many workers there are.
//
// It guards against answering all held polls again on each decision. With 800 workers, the leader
// spent most of its time on that.
func TestPublicationWakesWhomItConcerns(t *testing.T) {
	for _, n := range sizes {
		withFleet(t, n, func(t *testing.T, fl *fleet, answers *counter) {
			for i := range n {
				go fl.serve(t.Context(), agentPoll(i, 2, 1))
			}
			synctest.Wait()
			before := answers.n.Load()
			fl.take()
			fl.publish(map[string]dispatch.DesiredState{"w-7": desiredOf(7, 1)})
			synctest.Wait()
			if got := answers.n.Load() - before; got != 1 {
				t.Errorf("%d of %d polls were evaluated again after a change for one worker, want 1", got, n)
			}
			time.Sleep(fl.timing.PollWait)
			synctest.Wait()
		})
	}
}

// environment is the leader's input other than polls.
type environment struct {
	// cordons are the active cordons. syncedAt is when the list was known to be complete.
	cordons  catalog.Cordons
	syncedAt time.Time
	// suspended is how long the leader's machine has been suspended.
	suspended time.Duration
}

// withLeases runs a test in a synctest bubble with the fleet of a leader that may grant leases.
func withLeases(t *testing.T, f func(t *testing.T, fl *fleet, env *environment)) {
	synctest.Test(t, func(t *testing.T) {
		env := &environment{syncedAt: time.Now()}
		clock := suspend.Clock(func() time.Duration { return env.suspended })
		inForce := func() (catalog.Cordons, time.Time) { return env.cordons, env.syncedAt }
		fl := newFleet(DefaultTiming(6*time.Second), clock, inForce, tally.NoopScope.Counter("answers"), zerolog.Nop())
		fl.open(3)
		fl.recordProof(fl.clock.Now())
		f(t, fl, env)
	})
}

var workerState = assignment.WorkerState{ID: incarnation.ID{Instance: "life-1", StartMillis: 1}, Service: "roster"}

func poll(sequence int64) assignment.Poll {
	return assignment.Poll{Worker: "w", Agent: "a", Sequence: sequence, Term: 3, State: &workerState, Complete: true}
}

var desiredRun = assignment.RunID{Task: job.TaskName{Job: "0000000000000001"}, Run: 1}

// publishOne publishes a desired state with one run.
func publishOne(fl *fleet) {
	fl.publish(map[string]dispatch.DesiredState{"w": {
		Incarnation: workerState.ID,
		Runs: map[job.TaskName]dispatch.DesiredRun{
			desiredRun.Task: {Start: assignment.Start{RunID: desiredRun}},
		},
	}})
}

// ask sends a poll, and fails the test if it is not answered.
func ask(t *testing.T, fl *fleet, p assignment.Poll) assignment.Answer {
	t.Helper()
	a, ok := fl.serve(t.Context(), p)
	if !ok {
		t.Fatalf("poll %d was rejected", p.Sequence)
	}
	return a
}
