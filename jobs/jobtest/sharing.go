package jobtest

import (
	"slices"
	"time"
)

// How tasks on a stand-in worker disturb one another.
const (
	// calmTail is the tail of a serving task's answers when nothing disturbs it, as a share of its target, fillTail what a
	// task adds that fills at full pace, and serveTail what another serving task adds.
	calmTail  = 0.4
	fillTail  = 0.5
	serveTail = 0.1
	// harmTime is how long a task may be over its target by what fills beside it.
	harmTime = 4 * time.Second
)

// tail is the tail of a serving task's answers as a share of its target, with what fills beside it or without. The lock must
// be held.
func (w *Worker) tail(r *run, filled bool) float64 {
	sum := calmTail
	for _, other := range w.runs {
		step := w.all.stepOf(other.id.Task)
		switch {
		case other == r:
		case step.LatencyTarget > 0:
			sum += serveTail
		case step.BestEffort && filled:
			sum += fillTail * float64(other.pace) / 100
		}
	}
	return sum
}

// gauge is the worker's figure for a run: the tail of a serving task in milliseconds. The lock must be held.
func (w *Worker) gauge(r *run) int {
	target := w.all.stepOf(r.id.Task).LatencyTarget
	return int(w.tail(r, true) * float64(target.Milliseconds()))
}

// Paces returns the paces of the tasks that fill, in percent and ascending.
func (w *Worker) Paces() []int {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	var paces []int
	for _, r := range w.runs {
		if w.all.stepOf(r.id.Task).BestEffort {
			paces = append(paces, r.pace)
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
	if w.tail(r, true) <= 1 || w.tail(r, false) > 1 {
		r.harmed = time.Time{}
		return
	}
	if r.harmed.IsZero() {
		r.harmed = now
	}
	if now.Sub(r.harmed) > harmTime {
		w.all.breaks("HARM: %v on %s is over its target for %v", r.id.Task, w.name, now.Sub(r.harmed))
		r.harmed = now
	}
}
