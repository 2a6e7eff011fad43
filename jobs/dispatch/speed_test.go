package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// speedClasses are the times that workers of a drawn fleet take for the same work.
var speedClasses = []float64{0.8, 1.0, 1.25}

// TestSpeedsAreLearnt: after a few runs each, nearly all workers are known for what they are, though each task deviates by 0.14 for itself
// and steps are of any length. Replay a draw by its seed.
func TestSpeedsAreLearnt(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const workers, steps, width = 60, 40, 15
			random := rand.New(rand.NewPCG(seed, 1))
			b := newFixture(t, 6, 10)
			var all []*worker
			for r := range 6 {
				for i := range 10 {
					all = append(all, b.control.workers[fmt.Sprintf("w%d-%d", r, i)])
				}
			}
			for range steps {
				j := b.job(2, "other", job.Step{Tasks: width})
				length := math.Exp(3 * random.Float64())
				for i, at := range random.Perm(workers)[:width] {
					millis := 1000 * length * speedClasses[at%3] * math.Exp(0.14*random.NormFloat64())
					id := assignment.RunID{Task: job.TaskName{Job: j.job.ID, Index: i}, Run: 1}
					b.control.recordSpeed(all[at], id, 50, int64(millis/2))
				}
			}
			wrong, opposite := 0, 0
			for i, w := range all {
				want := i%3 - 1
				if got := w.speed.class(); got != want {
					wrong++
					if got*want < 0 {
						opposite++
					}
				}
			}
			if wrong > workers/4 || opposite > 0 {
				t.Errorf("%d of %d workers are taken for what they are not, %d for the opposite", wrong, workers, opposite)
			}
		})
	}
}

// TestSpeedOfUnknownStep: an end of a step that the job does not have is passed over.
func TestSpeedOfUnknownStep(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	w := b.control.workers["w0-0"]
	id := assignment.RunID{Task: job.TaskName{Job: j.job.ID, Step: 1}, Run: 1}
	b.control.sampleEndedSpeed(w, assignment.End{RunID: id, Reason: job.EndDone, TookMillis: 1000}, observedRun{})
	if w.speed != (speed{}) {
		t.Errorf("it counts as a sample: %+v", w.speed)
	}
}

// TestSpeedsDecide: an urgent job gets the fast worker, what can wait the slow one, and an urgent gang of a rack the rack without slow ones.
func TestSpeedsDecide(t *testing.T) {
	fast, slow := speed{sum: -2, samples: 8}, speed{sum: 2, samples: 8}
	t.Run("urgent", func(t *testing.T) {
		b := newFixture(t, 1, 3)
		b.control.workers["w0-0"].speed, b.control.workers["w0-2"].speed = slow, fast
		urgent := b.job(0, "other", job.Step{Tasks: 1, Estimate: time.Second})
		waits := b.job(2, "other", job.Step{Tasks: 1})
		b.plan(0)
		if got := b.at(urgent); got[0] != "w0-2" {
			t.Errorf("the urgent job is on %v", got)
		}
		if got := b.at(waits); got[0] != "w0-0" {
			t.Errorf("the other one is on %v", got)
		}
	})
	t.Run("urgent gang of a rack", func(t *testing.T) {
		b := newFixture(t, 3, 2)
		b.control.workers["w0-1"].speed, b.control.workers["w2-0"].speed = slow, slow
		gang := b.job(0, "other", job.Step{Tasks: 2, Gang: true, SameRack: true, Estimate: time.Second})
		b.plan(0)
		if got := racksOf(b.at(gang)); got["w1"] != 2 {
			t.Errorf("it is on %v", b.at(gang))
		}
	})
	t.Run("a worker that has become slow", func(t *testing.T) {
		var s speed
		for range 20 {
			s.record(-0.2)
		}
		if s.class() != -1 {
			t.Errorf("after 20 fast runs its class is %d", s.class())
		}
		for range 6 {
			s.record(1.9)
		}
		if s.class() != 1 {
			t.Errorf("after 6 runs at a seventh of the speed its class is %d", s.class())
		}
	})
}
