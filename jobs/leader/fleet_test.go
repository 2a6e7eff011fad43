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

// counter is a tally.Counter that tests read.
type counter struct{ n atomic.Int64 }

func (c *counter) Inc(delta int64) { c.n.Add(delta) }

// sizes are the numbers of workers for which work is counted.
var sizes = []int{100, 200}

// agentPoll is a poll of the i-th of many agents, whose worker runs what is desired.
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

// desiredOf says that the i-th worker runs what is desired, and that ends up to acked are stored.
func desiredOf(i int, acked int64) dispatch.DesiredState {
	p := agentPoll(i, 1, 0)
	run := dispatch.DesiredRun{Start: assignment.Start{RunID: runOf(i)}}
	return dispatch.DesiredState{
		Incarnation: p.State.ID,
		AckedEnd:    acked,
		Runs:        map[job.TaskName]dispatch.DesiredRun{runOf(i).Task: run},
	}
}

// withFleet runs a test with n agents that have polled, and whose workers run what is desired.
func withFleet(t *testing.T, n int, f func(t *testing.T, fl *fleet, answers *counter)) {
	synctest.Test(t, func(t *testing.T) {
		answers := &counter{}
		open := func() (catalog.Cordons, time.Time) { return nil, time.Now() }
		fl := newFleet(DefaultTiming(6*time.Second), suspend.Clock(nil), open, answers, zerolog.Nop())
		fl.open(3)
		fl.prove(fl.clock.Now())
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

// TestPublicationWakesWhomItConcerns: each decision had all held polls answered again, and with
// 800 workers the leader spent most of its time on that. A change for one worker makes one
// answer, however many workers there are.
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
				t.Errorf("%d polls of %d were answered again for one worker, want 1", got, n)
			}
			time.Sleep(fl.timing.PollWait)
			synctest.Wait()
		})
	}
}

// environment is what a leader reads besides polls.
type environment struct {
	// cordons are those in force, and syncedAt is when it was known that there are no others.
	cordons  catalog.Cordons
	syncedAt time.Time
	// suspended is how long the leader's machine was suspended.
	suspended time.Duration
}

// withLeases runs a test with the workers of a leader, in a bubble.
func withLeases(t *testing.T, f func(t *testing.T, fl *fleet, env *environment)) {
	synctest.Test(t, func(t *testing.T) {
		env := &environment{syncedAt: time.Now()}
		clock := suspend.Clock(func() time.Duration { return env.suspended })
		inForce := func() (catalog.Cordons, time.Time) { return env.cordons, env.syncedAt }
		fl := newFleet(DefaultTiming(6*time.Second), clock, inForce, tally.NoopScope.Counter("answers"), zerolog.Nop())
		fl.open(3)
		fl.prove(fl.clock.Now())
		f(t, fl, env)
	})
}

var present = assignment.WorkerState{ID: incarnation.ID{Instance: "life-1", StartMillis: 1}, Service: "roster"}

func poll(sequence int64) assignment.Poll {
	return assignment.Poll{Worker: "w", Agent: "a", Sequence: sequence, Term: 3, State: &present, Complete: true}
}

var desiredRun = assignment.RunID{Task: job.TaskName{Job: "0000000000000001"}, Run: 1}

// publishOne publishes that one run is desired.
func publishOne(fl *fleet) {
	fl.publish(map[string]dispatch.DesiredState{"w": {
		Incarnation: present.ID,
		Runs: map[job.TaskName]dispatch.DesiredRun{
			desiredRun.Task: {Start: assignment.Start{RunID: desiredRun}},
		},
	}})
}

func ask(t *testing.T, fl *fleet, p assignment.Poll) assignment.Answer {
	t.Helper()
	a, ok := fl.serve(t.Context(), p)
	if !ok {
		t.Fatalf("the poll %d was not taken", p.Sequence)
	}
	return a
}
