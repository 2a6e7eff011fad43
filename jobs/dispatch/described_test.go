package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestNoStartWhereNoneCanBeSent: nothing is placed on a worker whose agent can't send a start to
// the incarnation known to the controller.
//
// Runs were placed there one after the other, and each was lost at once because the lease had
// expired.
func TestNoStartWhereNoneCanBeSent(t *testing.T) {
	tests := []struct {
		name string
		// disrupt makes the worker unable to receive starts; poll was its latest.
		disrupt func(c *Controller, now time.Time, poll assignment.Poll)
		placed  bool
	}{
		{"its agent describes it", func(c *Controller, now time.Time, poll assignment.Poll) {
			c.ApplyPoll(now, poll)
		}, true},
		{"its agent has not listed its runs yet", func(c *Controller, now time.Time, poll assignment.Poll) {
			poll.Complete = false
			c.ApplyPoll(now, poll)
		}, true},
		{"its agent knows no incarnation", func(c *Controller, now time.Time, poll assignment.Poll) {
			poll.Agent, poll.State, poll.Complete = "agent/2", nil, false
			c.ApplyPoll(now, poll)
		}, false},
		{"its agent knows a later incarnation", func(c *Controller, now time.Time, poll assignment.Poll) {
			next := *poll.State
			next.ID.StartMillis++
			poll.Agent, poll.State, poll.Complete = "agent/2", &next, false
			c.ApplyPoll(now, poll)
		}, false},
		{"its lease is over", func(c *Controller, now time.Time, poll assignment.Poll) {
			c.ApplyPoll(now, poll)
			c.ExpireLeases(map[string]bool{poll.Worker: true})
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 1)
			poll := assignment.Poll{Worker: "w0-0", State: b.controller.workers["w0-0"].state, Complete: true}
			b.controller.ApplyPoll(b.now, poll)
			test.disrupt(b.controller, b.now, poll)
			j := b.job(1, "other", job.Step{Tasks: 1})
			b.plan(0)
			if placed := len(b.workersOf(j)) == 1; placed != test.placed {
				t.Errorf("placed: %v, want %v", placed, test.placed)
			}
			b.controller.ApplyPoll(b.now, poll)
			b.plan(100 * time.Millisecond)
			if len(b.workersOf(j)) != 1 {
				t.Error("the task is not placed although its agent describes the worker again")
			}
		})
	}
}

// TestStartsOnExpiredLeaseAreNoCrashes: a job is not given up for runs that were placed on a worker
// after its lease had expired.
//
// The agent had restarted and did not know the worker, which was unreachable. Three runs were
// placed there one after the other, and counted as a crash and as the last starts of the task when
// the next incarnation was reported.
func TestStartsOnExpiredLeaseAreNoCrashes(t *testing.T) {
	const crashes = 2
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1, LongRunning: true})
	b.plan(0)
	for range crashes {
		w, id, poll := b.reported(j)
		former := w.state.ID
		runs := []assignment.InterruptedRun{{RunID: id, Started: true}}
		poll.EndedIncarnations = []assignment.IncarnationEnd{{ID: former, Complete: true, Runs: runs}}
		poll.State = restarted(w.state)
		b.controller.ApplyPoll(b.now, poll)
		b.controller.ApplyPoll(b.now, assignment.Poll{Worker: w.name, State: poll.State, Complete: true})
		if crashes := j.progress.Task(id.Task).SuspectedCrashes(); crashes < 2 {
			b.plan(recentCrash)
		}
	}
	w := b.controller.workers["w0-0"]
	for range 5 {
		b.controller.ApplyPoll(b.now, assignment.Poll{Worker: w.name, Agent: "agent/2"})
		b.controller.ExpireLeases(map[string]bool{w.name: true})
		b.plan(trialMaxWait)
	}
	b.controller.ApplyPoll(b.now, assignment.Poll{
		Worker: w.name, Agent: "agent/2", State: restarted(w.state), Complete: true,
	})
	got := j.progress.Task(job.TaskName{Job: j.job.ID}).SuspectedCrashes()
	if got != crashes || j.progress.Phase == job.Failed {
		t.Errorf("the job is %v after %d crashes, want %d and not failed", j.progress.Phase, got, crashes)
	}
}

// restarted returns the state of a worker in its next incarnation under the same instance.
func restarted(s *assignment.WorkerState) *assignment.WorkerState {
	next := *s
	next.ID = incarnation.ID{Instance: s.ID.Instance, StartMillis: s.ID.StartMillis + 1}
	return &next
}

// TestUnsentStartIsNoCrash: a run that was not sent to any agent neither counts as a crash of its
// task nor holds the task for a late start.
//
// Its worker's agent was killed between the decision and the next poll.
func TestUnsentStartIsNoCrash(t *testing.T) {
	tests := []struct {
		name string
		sent bool
		lose func(b *fixture, w *worker, poll assignment.Poll)
	}{
		{"its lease is over", false, loseByLease},
		{"it was sent, its lease is over", true, loseByLease},
		{"its worker restarts with its agent", false, loseByRestart},
		{"it was sent, its worker restarts with its agent", true, loseByRestart},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 2)
			j := b.job(1, "other", job.Step{Tasks: 1})
			b.planUnsent(0)
			w, id, poll := b.reported(j)
			if test.sent {
				b.controller.MarkSent(map[assignment.RunID]bool{id: true})
			}
			poll.Agent = "agent/1"
			b.controller.ApplyPoll(b.now, poll)
			test.lose(b, w, poll)
			b.plan(100 * time.Millisecond)
			task := j.progress.Task(id.Task)
			if counted := task.SuspectedCrashes() > 0; counted != test.sent {
				t.Errorf("the lost run counts as a crash: %v, want %v", counted, test.sent)
			}
			if waits := !task.Placed(); waits != test.sent {
				t.Errorf("the task waits: %v, want %v", waits, test.sent)
			}
		})
	}
}

// loseByLease ends the runs of a worker with its lease, and then reports its next incarnation.
func loseByLease(b *fixture, w *worker, poll assignment.Poll) {
	b.controller.ExpireLeases(map[string]bool{w.name: true})
	loseByRestart(b, w, poll)
}

// loseByRestart reports the next incarnation of a worker to an agent that has restarted too.
func loseByRestart(b *fixture, w *worker, poll assignment.Poll) {
	b.controller.ApplyPoll(b.now, assignment.Poll{
		Worker: w.name, Agent: "agent/2", State: restarted(poll.State), Complete: true,
	})
}
