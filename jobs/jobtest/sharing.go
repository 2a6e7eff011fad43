package jobtest

import (
	"slices"
	"time"
)

// How tasks on a worker slow one another down.
const (
	// baseLatency is the tail latency of a serving task by itself, as a share of its target.
	// bestEffortLatency is what each best-effort task at full speed adds, and servingLatency what
	// each other serving task adds.
	baseLatency       = 0.4
	bestEffortLatency = 0.5
	servingLatency    = 0.1
	// harmLimit is how long a task may miss its target because of best-effort tasks.
	harmLimit = 4 * time.Second
)

// latencyShare returns the tail latency of a serving task as a share of its target, with or without
// the best-effort tasks beside it. The lock must be held.
func (w *Worker) latencyShare(r *run, bestEffort bool) float64 {
	sum := baseLatency
	for _, other := range w.runs {
		step := w.all.stepOf(other.id.Task)
		switch {
		case other == r:
		case step.LatencyTarget > 0:
			sum += servingLatency
		case step.BestEffort && bestEffort:
			sum += bestEffortLatency * float64(other.speed) / 100
		}
	}
	return sum
}

// latencyMillis returns the tail latency that the worker measures for a run. The lock must be held.
func (w *Worker) latencyMillis(r *run) int {
	target := w.all.stepOf(r.id.Task).LatencyTarget
	return int(w.latencyShare(r, true) * float64(target.Milliseconds()))
}

// BestEffortSpeeds returns the speeds of the best-effort tasks in percent, ascending.
func (w *Worker) BestEffortSpeeds() []int {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	var speeds []int
	for _, r := range w.runs {
		if w.all.stepOf(r.id.Task).BestEffort {
			speeds = append(speeds, r.speed)
		}
	}
	slices.Sort(speeds)
	return speeds
}

// checkHarm records a violation if a serving task has missed its target for too long because of
// best-effort tasks. The lock must be held.
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
