package jobtest

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// ShrinkBound is the time after a worker reports a smaller capacity within which starts may still
// rely on the former capacity.
const ShrinkBound = 4 * time.Second

// formerCapacity is a capacity that a worker had until the given time.
type formerCapacity struct {
	capacity job.Resources
	until    time.Time
}

// SetCapacity changes the capacity of a worker; its runs continue. The next heartbeat reports the
// change.
func (w *Worker) SetCapacity(capacity job.Resources) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{capacity: w.state.Capacity, until: time.Now()})
	w.state.Capacity = capacity
}

// AllowOvercommit makes the worker accept starts beyond its capacity.
func (w *Worker) AllowOvercommit() {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.overcommits = true
}

// checkCapacity checks that a start on a worker that overcommits fits its capacity. Runs that are
// being stopped still count. The caller must hold the lock.
func (ws *Workers) checkCapacity(w *Worker, s assignment.Start, resources job.Resources) {
	if resources.FitsIn(w.free()) || w.executingLate || !time.Now().After(w.delaysUntil) {
		return
	}
	for _, former := range w.formerCapacities {
		if time.Since(former.until) <= ShrinkBound && resources.FitsIn(w.freeOf(former.capacity)) {
			return
		}
	}
	ws.addViolation("LIMIT: %v run %d starts on %s, which has %+v free of %+v",
		s.Task, s.Run, w.name, w.free(), w.state.Capacity)
}
