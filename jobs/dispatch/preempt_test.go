package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestUrgentOrder: units that can be on time come before late ones, small jobs before large ones,
// and guaranteed jobs before all others.
func TestUrgentOrder(t *testing.T) {
	small := job.Resources{CPU: 4000, Memory: 1000, Accelerators: 2}
	tests := []struct {
		name          string
		first, second func(b *fixture) *trackedJob
	}{
		{
			"small before large",
			func(b *fixture) *trackedJob { return b.job(0, "other", job.Step{Tasks: 1}) },
			func(b *fixture) *trackedJob { return b.job(0, "other", job.Step{Tasks: 1, Resources: small}) },
		},
		{
			"in time before late",
			func(b *fixture) *trackedJob {
				late := b.job(0, "other", job.Step{Tasks: 1, Resources: small})
				late.job.Accepted = b.now.Add(-12 * time.Second)
				return late
			},
			func(b *fixture) *trackedJob { return b.job(0, "other", job.Step{Tasks: 1}) },
		},
		{
			"guaranteed before small",
			func(b *fixture) *trackedJob { return b.job(0, "other", job.Step{Tasks: 1, Resources: small}) },
			func(b *fixture) *trackedJob { return b.job(0, "sure", job.Step{Tasks: 1}) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 1)
			first, second := test.first(b), test.second(b)
			b.plan(0)
			if len(b.workersOf(second)) != 1 || len(b.workersOf(first)) != 0 {
				t.Errorf("the first job is placed on %v, the second on %v; want only the second placed",
					b.workersOf(first), b.workersOf(second))
			}
		})
	}
}

func TestPreemption(t *testing.T) {
	t.Run("no more work is lost than the urgent job is worth", func(t *testing.T) {
		tests := []struct {
			name     string
			team     string
			worked   time.Duration
			accepted time.Duration
			stops    int
		}{
			{"a little work", "other", time.Second, 0, 1},
			{"much work", "other", 12 * time.Second, 0, 0},
			{"much work, but a guarantee", "sure", 12 * time.Second, 0, 1},
			{"late, and some work", "other", time.Second, -5 * time.Second, 0},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				b := newFixture(t, 1, 1)
				victim := b.job(1, "other", job.Step{Tasks: 1, Estimate: 20 * time.Second})
				b.plan(0)
				b.now = b.now.Add(test.worked)
				b.observe(victim, b.now.Add(-test.worked), 5)
				urgent := b.job(0, test.team, job.Step{Tasks: 1, Estimate: time.Second})
				urgent.job.Accepted = b.now.Add(test.accepted)
				b.plan(0)
				if len(victim.stops) != test.stops {
					t.Errorf("%d runs were requested to stop, want %d", len(victim.stops), test.stops)
				}
			})
		}
	})
	t.Run("the cheapest yields", func(t *testing.T) {
		b := newFixture(t, 1, 3)
		old := b.job(2, "other", job.Step{Tasks: 1})
		checkpointed := b.job(1, "other", job.Step{Tasks: 1, Checkpoint: true})
		young := b.job(2, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.now = b.now.Add(3 * time.Second)
		b.observe(old, b.now.Add(-3*time.Second), 60)
		b.observe(checkpointed, b.now.Add(-3*time.Second), 60)
		b.observe(young, b.now.Add(-time.Second), 20)
		b.job(0, "sure", job.Step{Tasks: 1, Estimate: 500 * time.Millisecond})
		b.plan(0)
		if len(checkpointed.stops) != 1 || len(old.stops)+len(young.stops) != 0 {
			t.Errorf(
				"requested to stop: old %d, checkpointed %d, young %d; want only the one with checkpoints",
				len(old.stops), len(checkpointed.stops), len(young.stops),
			)
		}
	})
	t.Run("what was stopped before yields later", func(t *testing.T) {
		b := newFixture(t, 1, 2)
		before := b.job(1, "other", job.Step{Tasks: 1, Checkpoint: true})
		b.plan(0)
		b.finish(before, job.EndStopped)
		other := b.job(1, "other", job.Step{Tasks: 1, Checkpoint: true})
		b.plan(0)
		b.observe(before, b.now, 10)
		b.observe(other, b.now, 10)
		b.job(0, "sure", job.Step{Tasks: 1})
		b.plan(guaranteedMaxWait + 50*time.Millisecond)
		if len(before.stops) != 0 || len(other.stops) != 1 {
			t.Errorf("requested to stop: the one stopped before %d, the other %d; want only the other",
				len(before.stops), len(other.stops))
		}
	})
	t.Run("freed room is kept for the one it was freed for", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		victim := b.job(2, "other", job.Step{Tasks: 1})
		b.plan(0)
		urgent := b.job(0, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.job(1, "other", job.Step{Tasks: 1})
		b.finish(victim, job.EndStopped)
		b.plan(100 * time.Millisecond)
		if got := b.workersOf(urgent); len(got) != 1 {
			t.Errorf("the urgent task is placed on %v, want the freed worker", got)
		}
	})
	t.Run("freed room is not for a smaller urgent job that came later", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		victim := b.job(2, "other", job.Step{Tasks: 1, Estimate: 20 * time.Second})
		b.plan(0)
		large := b.job(0, "other", job.Step{Tasks: 1})
		b.plan(0)
		small := b.job(0, "other", job.Step{Tasks: 1, Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}})
		b.finish(victim, job.EndStopped)
		b.plan(300 * time.Millisecond)
		if len(b.workersOf(large)) != 1 || len(b.workersOf(small)) != 0 {
			t.Errorf("the large job is placed on %v, the small one on %v; want only the large one placed",
				b.workersOf(large), b.workersOf(small))
		}
	})
	t.Run("a whole gang yields, and nothing else", func(t *testing.T) {
		b := newFixture(t, 1, 3)
		gang := b.job(1, "other", job.Step{Tasks: 2, Gang: true})
		alone := b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.now = b.now.Add(2 * time.Second)
		b.observe(gang, b.now.Add(-2*time.Second), 40)
		b.observe(alone, b.now.Add(-2*time.Second), 40)
		b.job(0, "sure", job.Step{Tasks: 2, Gang: true})
		b.plan(0)
		if len(gang.stops) != 2 || len(alone.stops) != 0 {
			t.Errorf("requested to stop: %d of the gang, %d alone; want the 2 of the gang", len(gang.stops), len(alone.stops))
		}
	})
	t.Run("a guarantee takes back what others of priority 0 have borrowed", func(t *testing.T) {
		b := newFixture(t, 1, 2)
		borrower := b.job(0, "other", job.Step{Tasks: 2})
		b.plan(0)
		b.observe(borrower, b.now, 10)
		b.job(0, "sure", job.Step{Tasks: 1})
		b.plan(guaranteedMaxWait + 50*time.Millisecond)
		if len(borrower.stops) != 1 {
			t.Errorf("%d of the borrower's tasks were requested to stop, want 1", len(borrower.stops))
		}
	})
	t.Run("a guarantee takes the room of an urgent job last", func(t *testing.T) {
		b := newFixture(t, 1, 2)
		urgent := b.job(0, "other", job.Step{Tasks: 1, Estimate: 5 * time.Second})
		other := b.job(2, "other", job.Step{Tasks: 1, Estimate: 20 * time.Second})
		b.plan(0)
		began := b.now
		b.now = b.now.Add(4 * time.Second)
		b.observe(other, began, 20)
		b.plan(0)
		b.observe(urgent, b.now.Add(-500*time.Millisecond), 10)
		b.job(0, "sure", job.Step{Tasks: 1})
		b.plan(guaranteedMaxWait + 50*time.Millisecond)
		if len(urgent.stops) != 0 || len(other.stops) != 1 {
			t.Errorf("requested to stop: the urgent run %d, the one that can wait %d; want only the latter",
				len(urgent.stops), len(other.stops))
		}
	})
	t.Run("without a guarantee priority 0 does not yield to priority 0", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		first := b.job(0, "other", job.Step{Tasks: 1})
		b.plan(0)
		b.job(0, "other", job.Step{Tasks: 1})
		b.plan(time.Second)
		if len(first.stops) != 0 {
			t.Error("the run was requested to stop")
		}
	})
	t.Run("nothing is stopped for what comes in time by itself", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		ending := b.job(1, "other", job.Step{Tasks: 1, Estimate: 2 * time.Second})
		b.plan(0)
		b.now = b.now.Add(1900 * time.Millisecond)
		b.observe(ending, b.now.Add(-1900*time.Millisecond), 95)
		urgent := b.job(0, "other", job.Step{Tasks: 1, Estimate: time.Second})
		urgent.job.Accepted = b.now
		b.plan(0)
		if len(ending.stops) != 0 {
			t.Error("a run that ends in 0.1 s was requested to stop")
		}
	})
	t.Run("two urgent jobs do not wait for the same room", func(t *testing.T) {
		b := newFixture(t, 1, 2)
		ending := b.job(1, "other", job.Step{Tasks: 1, Estimate: 2 * time.Second})
		long := b.job(2, "other", job.Step{Tasks: 1, Estimate: 20 * time.Second, Checkpoint: true})
		b.plan(0)
		first := b.job(0, "other", job.Step{Tasks: 1, Estimate: time.Second})
		second := b.job(0, "other", job.Step{Tasks: 1, Estimate: time.Second})
		b.plan(0)
		if len(ending.stops) != 0 || len(long.stops) != 1 {
			t.Errorf(
				"requested to stop: the run that ends soon %d, the long one %d; want only the latter",
				len(ending.stops), len(long.stops),
			)
		}
		b.finish(ending, job.EndDone)
		b.finish(long, job.EndStopped)
		b.plan(time.Second)
		if len(b.workersOf(first))+len(b.workersOf(second)) != 2 {
			t.Errorf("placed on %v and %v, want both", b.workersOf(first), b.workersOf(second))
		}
	})
	t.Run("what waits for room as long as it can be in time stops nothing before", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		// The work it would lose is within the urgent job's budget.
		half := job.Resources{CPU: 4000, Memory: 8000, Accelerators: 4}
		ending := b.job(1, "other", job.Step{Tasks: 1, Resources: half, Estimate: 2 * time.Second})
		b.plan(0)
		urgent := b.job(0, "other", job.Step{Tasks: 1, Estimate: time.Second})
		b.plan(0)
		began := b.now
		b.now = b.now.Add(1500 * time.Millisecond)
		b.observe(ending, began, 75)
		b.plan(0)
		if len(ending.stops) != 0 {
			t.Fatal("work was requested to stop although the urgent job can wait for it")
		}
		b.observe(ending, began, 40)
		b.plan(300 * time.Millisecond)
		if len(ending.stops) != 1 {
			t.Errorf(
				"%v now needs 2.2 s more, after which %v is late, but was not requested to stop",
				ending.job.ID, urgent.job.ID,
			)
		}
	})
	t.Run("what saves its work stands apart, and yields", func(t *testing.T) {
		b := newFixture(t, 4, 2)
		small := job.Resources{CPU: 1000, Memory: 1000, Accelerators: 4}
		var uncheckpointed, checkpointed []*trackedJob
		for range 8 {
			uncheckpointed = append(
				uncheckpointed,
				b.job(1, "other", job.Step{Tasks: 1, Resources: small, Estimate: 20 * time.Second}),
			)
			checkpointed = append(
				checkpointed,
				b.job(2, "other", job.Step{Tasks: 1, Resources: small, Estimate: 20 * time.Second, Checkpoint: true}),
			)
			b.plan(0)
		}
		b.job(0, "sure", job.Step{Tasks: 2, Gang: true, SameRack: true, Estimate: time.Second})
		began := b.now
		b.now = b.now.Add(time.Second)
		for i := range uncheckpointed {
			b.observe(uncheckpointed[i], began, 5)
			b.observe(checkpointed[i], began, 5)
		}
		b.plan(guaranteedMaxWait + 50*time.Millisecond)
		stopped := 0
		for i := range uncheckpointed {
			stopped += len(checkpointed[i].stops)
			if len(uncheckpointed[i].stops) != 0 {
				t.Errorf("a run without checkpoints was requested to stop on %v", b.workersOf(uncheckpointed[i]))
			}
		}
		if stopped != 4 {
			t.Errorf("%d runs with checkpoints were requested to stop, want the 4 of a rack", stopped)
		}
	})
	t.Run("what lasts does not yield", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		longRunning := b.job(2, "other", job.Step{Tasks: 1, LongRunning: true, HasMaxUnavailable: true})
		b.plan(0)
		b.job(0, "sure", job.Step{Tasks: 1})
		b.plan(time.Second)
		if len(longRunning.stops) != 0 {
			t.Error("the run was requested to stop")
		}
	})
	t.Run("a member of a gang that has done its work waits for the others", func(t *testing.T) {
		b := newFixture(t, 1, 3)
		gang := b.job(1, "other", job.Step{Tasks: 2, Gang: true, Estimate: 4 * time.Second})
		b.plan(0)
		began := b.now
		b.plan(4 * time.Second)
		b.observe(gang, began, 99)
		b.plan(5 * time.Second)
		if len(gang.stops) != 0 {
			t.Errorf("%d members were requested to stop, want none", len(gang.stops))
		}
	})
	t.Run("a run that stands still is moved", func(t *testing.T) {
		b := newFixture(t, 1, 2)
		j := b.job(1, "other", job.Step{Tasks: 1, Estimate: 4 * time.Second})
		b.plan(0)
		b.observe(j, b.now, 10)
		b.plan(2 * time.Second)
		if len(j.stops) != 0 {
			t.Error("the run was requested to stop after 2 s")
		}
		b.plan(time.Second)
		if len(j.stops) != 1 {
			t.Error("the run was not requested to stop after 3 s")
		}
	})
}

// TestEvacuation: runs that can't end before their worker leaves are stopped; those that save
// checkpoints as late as possible.
func TestEvacuation(t *testing.T) {
	b := newFixture(t, 1, 1)
	small := job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}
	ends := b.job(1, "other", job.Step{Tasks: 1, Resources: small, Estimate: 2 * time.Second})
	uncheckpointed := b.job(1, "other", job.Step{Tasks: 1, Resources: small, Estimate: 20 * time.Second})
	checkpointed := b.job(1, "other", job.Step{Tasks: 1, Resources: small, Estimate: 20 * time.Second, Checkpoint: true})
	longRunning := b.job(1, "other", job.Step{Tasks: 1, Resources: small, Estimate: 20 * time.Second, LongRunning: true})
	b.plan(0)
	w := b.controller.workers["w0-0"]
	w.state.Draining, w.leavesAt = true, b.now.Add(4*time.Second)
	b.plan(100 * time.Millisecond)
	stopped := func(j *trackedJob) bool { return len(j.stops) > 0 }
	if stopped(ends) || !stopped(uncheckpointed) || stopped(checkpointed) || stopped(longRunning) {
		t.Errorf(
			"requested to stop at once: %v %v %v %v, want only the second",
			stopped(ends), stopped(uncheckpointed), stopped(checkpointed), stopped(longRunning),
		)
	}
	b.plan(2800 * time.Millisecond)
	if !stopped(checkpointed) || stopped(longRunning) {
		t.Errorf(
			"requested to stop shortly before the worker leaves: checkpointed %v, long-running %v; want only the former",
			stopped(checkpointed), stopped(longRunning),
		)
	}
}
