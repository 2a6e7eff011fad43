package jobtest

import (
	"slices"
	"time"
)

// How tasks on a stand-in worker disturb one another.
const (
	// baseLatency is the tail of a serving task's answers when nothing disturbs it, as a share of its target, fillTail what a
	// task adds that fills at full pace, and serveTail what another serving task adds.
	baseLatency       = 0.4
	bestEffortLatency = 0.5
	servingLatency    = 0.1
	// harmLimit is how long a task may be over its target by what fills beside it.
	harmLimit = 4 * time.Second
)

// latencyShare is the tail of a serving task's answers as a share of its target, with what fills beside it or without. The lock must
// be held.
func (w *Worker) latencyShare(r *run, filled bool) float64 {
	sum := baseLatency
	for _, other := range w.runs {
		step := w.all.stepOf(other.id.Task)
		switch {
		case other == r:
		case step.LatencyTarget > 0:
			sum += servingLatency
		case step.BestEffort && filled:
			sum += bestEffortLatency * float64(other.speed) / 100
		}
	}
	return sum
}

// latencyMillis is the worker's figure for a run: the tail of a serving task in milliseconds. The lock must be held.
func (w *Worker) latencyMillis(r *run) int {
	target := w.all.stepOf(r.id.Task).LatencyTarget
	return int(w.latencyShare(r, true) * float64(target.Milliseconds()))
}

// BestEffortSpeeds returns the paces of the tasks that fill, in percent and ascending.
func (w *Worker) BestEffortSpeeds() []int {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	var paces []int
	for _, r := range w.runs {
		if w.all.stepOf(r.id.Task).BestEffort {
			paces = append(paces, r.speed)
		}
	}
	slices.Sort(paces)
	return paces
}

// checkHarm notes a serving task that is over its target for too long because of what fills beside it. The lock must be held.
func (w *Worker) checkHarm(r *run, now time.Time) {
	if w.all.stepOf(r.id.Task).LatencyTarget == 0 {
		return
	}
	if w.latencyShare(r, true) <= 1 || w.latencyShare(r, false) > 1 {
		r.harmed = time.Time{}
		return
	}
	if r.harmed.IsZero() {
		r.harmed = now
	}
	if now.Sub(r.harmed) > harmLimit {
		w.all.violate("HARM: %v on %s is over its target for %v", r.id.Task, w.name, now.Sub(r.harmed))
		r.harmed = now
	}
}
