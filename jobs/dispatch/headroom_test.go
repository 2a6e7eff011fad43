package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestHeadroom: work that can wait leaves capacity free for urgent jobs like those that arrived
// recently, unless it has waited for long or none of its job's tasks are running.
func TestHeadroom(t *testing.T) {
	one := job.Resources{CPU: 8000, Memory: 16_000, Accelerators: 8}
	tests := []struct {
		name   string
		urgent bool
		// after is how long the sweep has waited; runs says that one of its tasks is already
		// running.
		after time.Duration
		runs  bool
		want  int
	}{
		{"no urgent job has come", false, 0, false, 4},
		{"an urgent job came", true, 0, false, 2},
		{"nothing of it runs for long", true, 3 * time.Second, false, 4},
		{"something of it runs", true, 3 * time.Second, true, 2},
		{"its slack is spent", true, 10 * time.Second, true, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 2, 2)
			if test.urgent {
				b.job(0, "", job.Step{Tasks: 2, Resources: one, Estimate: time.Second})
				b.plan(0)
				b.finishAll(job.EndDone)
			}
			sweep := b.job(2, "", job.Step{Tasks: 4, Resources: one})
			if test.runs {
				b.plan(0)
			}
			b.plan(test.after)
			if got := len(b.workersOf(sweep)); got != test.want {
				t.Errorf("%d tasks of the sweep are placed, want %d", got, test.want)
			}
		})
	}
	t.Run("room for several that come at once", func(t *testing.T) {
		b := newFixture(t, 10, 2)
		for range 4 {
			b.job(0, "", job.Step{Tasks: 1, Resources: one, Estimate: time.Second})
		}
		b.plan(0)
		b.finishAll(job.EndDone)
		sweep := b.job(2, "", job.Step{Tasks: 20, Resources: one})
		b.plan(0)
		if got := len(b.workersOf(sweep)); got != 16 {
			t.Errorf("%d of 20 tasks of the sweep are placed, want 16 and headroom for a burst of four", got)
		}
	})
	t.Run("urgent jobs use it", func(t *testing.T) {
		b := newFixture(t, 2, 2)
		b.job(0, "", job.Step{Tasks: 2, Resources: one, Estimate: time.Second})
		b.plan(0)
		b.finishAll(job.EndDone)
		b.job(2, "", job.Step{Tasks: 4, Resources: one})
		b.plan(0)
		next := b.job(0, "", job.Step{Tasks: 2, Resources: one, Gang: true, SameRack: true})
		b.plan(0)
		if got := racksOf(b.workersOf(next)); len(got) != 1 || len(b.workersOf(next)) != 2 {
			t.Errorf("the urgent gang is placed on %v, want both tasks in one rack at once", b.workersOf(next))
		}
	})
}
