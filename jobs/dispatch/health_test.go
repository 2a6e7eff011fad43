package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// failRun fails the only run of a job after the given duration, and makes a decision.
func (b *fixture) failRun(t *trackedJob, took time.Duration) {
	w, id, poll := b.reported(t)
	poll.Ends = []assignment.End{
		{RunID: id, Number: w.ackedEnd + 1, Reason: job.EndFailed, TookMillis: took.Milliseconds()},
	}
	b.now = time.Now()
	b.controller.ApplyPoll(b.now, poll)
	b.plan(0)
}

// TestQuickFailures: a worker that fails what it starts must not use up the attempts of a job, even
// if no other worker has free capacity.
func TestQuickFailures(t *testing.T) {
	t.Run("it gets nothing for a while, and the job waits", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		j := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.failRun(j, 50*time.Millisecond)
		if got := b.workersOf(j); len(got) != 0 {
			t.Errorf("the job is placed on %v at once", got)
		}
		next := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(time.Second)
		if got := b.workersOf(next); len(got) != 0 {
			t.Errorf("another job is placed on %v a second later", got)
		}
		b.plan(health.FirstQuarantine)
		if len(b.workersOf(j))+len(b.workersOf(next)) != 1 {
			t.Errorf("after the quarantine the jobs are placed on %v and %v, want a single run on probation",
				b.workersOf(j), b.workersOf(next))
		}
	})
	t.Run("another worker takes the job", func(t *testing.T) {
		b := newFixture(t, 1, 2)
		j := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		first := b.workersOf(j)[0]
		b.failRun(j, 50*time.Millisecond)
		if got := b.workersOf(j); len(got) != 1 || got[0] == first {
			t.Errorf("the job failed on %s and is placed on %v, want the other worker", first, got)
		}
	})
	t.Run("a late failure is the job's own", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		j := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.failRun(j, 2*time.Second)
		if got := b.workersOf(j); len(got) != 0 {
			t.Errorf("the job is placed on %v, where it failed just now", got)
		}
		next := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		if got := b.workersOf(next); len(got) != 1 {
			t.Error("another job is not placed on a worker where a job failed")
		}
		b.finish(next, job.EndDone)
		b.plan(avoidFailedFor + 100*time.Millisecond)
		if got := b.workersOf(j); len(got) != 1 {
			t.Error("the job is not retried although no other worker has free capacity")
		}
	})
}
