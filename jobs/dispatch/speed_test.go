package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// speedAfter returns the speed of a worker after the given number of runs with the same deviation.
func speedAfter(samples int, deviation float64) estimate.Speed {
	var s estimate.Speed
	for range samples {
		s.Record(deviation)
	}
	return s
}

// speedClasses are the durations of the same work on the workers of a drawn fleet.
var speedClasses = []float64{0.8, 1.0, 1.25}

// TestSpeedsAreLearnt: after a few runs each, nearly all workers are in the right class, though the
// duration of each task varies by 0.14 and steps are of any length. A subtest replays the draw of
// its seed.
func TestSpeedsAreLearnt(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const workers, steps, width = 60, 40, 15
			random := rand.New(rand.NewPCG(seed, 1))
			b := newFixture(t, 6, 10)
			var all []*worker
			for r := range 6 {
				for i := range 10 {
					all = append(all, b.controller.workers[fmt.Sprintf("w%d-%d", r, i)])
				}
			}
			for range steps {
				j := b.job(2, "other", job.Step{Tasks: width})
				length := math.Exp(3 * random.Float64())
				for i, at := range random.Perm(workers)[:width] {
					millis := 1000 * length * speedClasses[at%3] * math.Exp(0.14*random.NormFloat64())
					id := assignment.RunID{Task: job.TaskName{Job: j.job.ID, Index: i}, Run: 1}
					b.controller.recordSpeed(all[at], id, 50, int64(millis/2))
				}
			}
			wrong, opposite := 0, 0
			for i, w := range all {
				want := i%3 - 1
				if got := int(w.speed.Class()); got != want {
					wrong++
					if got*want < 0 {
						opposite++
					}
				}
			}
			if wrong > workers/4 || opposite > 0 {
				t.Errorf("%d of %d workers are in the wrong class, %d of them in the opposite one", wrong, workers, opposite)
			}
		})
	}
}

// TestSpeedOfUnknownStep: an end of a step that the job doesn't have is ignored.
func TestSpeedOfUnknownStep(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	w := b.controller.workers["w0-0"]
	id := assignment.RunID{Task: job.TaskName{Job: j.job.ID, Step: 1}, Run: 1}
	b.controller.sampleEndedSpeed(w, assignment.End{RunID: id, Reason: job.EndDone, TookMillis: 1000}, observedRun{})
	if w.speed != (estimate.Speed{}) {
		t.Errorf("the end counts as a sample: %+v", w.speed)
	}
}

// TestSpeedsDecide: an urgent job gets the fast worker, work that can wait the slow one, and an
// urgent gang the rack without slow workers.
func TestSpeedsDecide(t *testing.T) {
	fast, slow := speedAfter(8, -0.25), speedAfter(8, 0.25)
	t.Run("urgent", func(t *testing.T) {
		b := newFixture(t, 1, 3)
		b.controller.workers["w0-0"].speed, b.controller.workers["w0-2"].speed = slow, fast
		urgent := b.job(0, "other", job.Step{Tasks: 1, Estimate: time.Second})
		waits := b.job(2, "other", job.Step{Tasks: 1})
		b.plan(0)
		if got := b.workersOf(urgent); got[0] != "w0-2" {
			t.Errorf("the urgent job is on %v, want the fast worker", got)
		}
		if got := b.workersOf(waits); got[0] != "w0-0" {
			t.Errorf("the other job is on %v, want the slow worker", got)
		}
	})
	t.Run("urgent gang of a rack", func(t *testing.T) {
		b := newFixture(t, 3, 2)
		b.controller.workers["w0-1"].speed, b.controller.workers["w2-0"].speed = slow, slow
		gang := b.job(0, "other", job.Step{Tasks: 2, Gang: true, SameRack: true, Estimate: time.Second})
		b.plan(0)
		if got := racksOf(b.workersOf(gang)); got["w1"] != 2 {
			t.Errorf("the gang is on %v, want the rack without slow workers", b.workersOf(gang))
		}
	})
}
