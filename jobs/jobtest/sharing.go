package jobtest

import (
	"slices"
	"time"
)

// Parameters of the interference between tasks on the same worker.
const (
	// baseLatency is the tail latency of a serving task without interference, as a share of its
	// target. Each best-effort task at full speed adds bestEffortLatency, and each other serving
	// task adds servingLatency.
	baseLatency       = 0.4
	bestEffortLatency = 0.5
	servingLatency    = 0.1
	// harmLimit is the longest time that a task may miss its target because of best-effort tasks.
	harmLimit = 4 * time.Second
)

// latencyShare returns the tail latency of a serving task as a share of its target, with or without
// the effect of the best-effort tasks on the worker. The caller must hold the lock.
func (w *Worker) latencyShare(r *run, bestEffort bool) float64 {
	sum := baseLatency
	for _, other := range w.runs {
		step := w.workers.stepOf(other.id.Task)
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

// latencyMillis returns the tail latency that the worker measures for a run. The caller must hold
// the lock.
func (w *Worker) latencyMillis(r *run) int {
	target := w.workers.stepOf(r.id.Task).LatencyTarget
	return int(w.latencyShare(r, true) * float64(target.Milliseconds()))
}

// BestEffortSpeeds returns the speeds of the best-effort tasks in percent, ascending.
func (w *Worker) BestEffortSpeeds() []int {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	var speeds []int
	for _, r := range w.runs {
		if w.workers.stepOf(r.id.Task).BestEffort {
			speeds = append(speeds, r.speed)
		}
	}
	slices.Sort(speeds)
	return speeds
}

// checkHarm records a violation if a serving task has missed its target for longer than harmLimit
// because of best-effort tasks. The caller must hold the lock.
func (w *Worker) checkHarm(r *run, now time.Time) {
	if w.workers.stepOf(r.id.Task).LatencyTarget == 0 {
		return
	}
	if w.latencyShare(r, true) <= 1 || w.latencyShare(r, false) > 1 {
		r.overTargetSince = time.Time{}
		return
	}
	if r.overTargetSince.IsZero() {
		r.overTargetSince = now
	}
	if now.Sub(r.overTargetSince) > harmLimit {
		w.workers.addViolation("HARM: %v on %s has exceeded its latency target for %v",
			r.id.Task, w.name, now.Sub(r.overTargetSince))
		r.overTargetSince = now
	}
}
