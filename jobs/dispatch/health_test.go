package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// failed lets the only run of a job fail after some time, and makes a decision.
func (b *fixture) failed(t *trackedJob, took time.Duration) {
	w, id, poll := b.reported(t)
	poll.Ends = []assignment.End{
		{RunID: id, Number: w.ackedEnd + 1, Reason: job.EndFailed, TookMillis: took.Milliseconds()},
	}
	b.now = time.Now()
	b.control.ApplyPoll(b.now, poll)
	b.plan(0)
}

// TestQuickFailures: a worker that fails what it starts must not use up the attempts of a job,
// even if no other worker has room.
func TestQuickFailures(t *testing.T) {
	t.Run("it gets nothing for a while, and the job waits", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		j := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.failed(j, 50*time.Millisecond)
		if got := b.at(j); len(got) != 0 {
			t.Errorf("it is placed on %v at once", got)
		}
		next := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(time.Second)
		if got := b.at(next); len(got) != 0 {
			t.Errorf("another job is placed on %v a second later", got)
		}
		b.plan(health.FirstQuarantine)
		if len(b.at(j))+len(b.at(next)) != 1 {
			t.Errorf("after its rest %v and %v are placed, want one trial", b.at(j), b.at(next))
		}
	})
	t.Run("another worker takes the job", func(t *testing.T) {
		b := newFixture(t, 1, 2)
		j := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		first := b.at(j)[0]
		b.failed(j, 50*time.Millisecond)
		if got := b.at(j); len(got) != 1 || got[0] == first {
			t.Errorf("it failed on %s and is placed on %v", first, got)
		}
	})
	t.Run("a late failure is the job's own", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		j := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.failed(j, 2*time.Second)
		if got := b.at(j); len(got) != 0 {
			t.Errorf("it is placed on %v, where it failed just now", got)
		}
		next := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		if got := b.at(next); len(got) != 1 {
			t.Error("another job waits for a worker on which one failed")
		}
		b.finish(next, job.EndDone)
		b.plan(avoidFor + 100*time.Millisecond)
		if got := b.at(j); len(got) != 1 {
			t.Error("where no other worker has room it is not tried again")
		}
	})
}
