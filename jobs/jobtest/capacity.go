package jobtest

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// ShrinkBound is how long after a worker has reported a smaller capacity a start may still rely on
// the former one.
const ShrinkBound = 4 * time.Second

// formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	capacity job.Resources
	until    time.Time
}

// SetCapacity changes the capacity of a worker; its runs go on. The next heartbeat reports it.
func (w *Worker) SetCapacity(capacity job.Resources) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{capacity: w.state.Capacity, until: time.Now()})
	w.state.Capacity = capacity
}

// AllowOvercommit lets a worker start whatever it is told to, even beyond its capacity.
func (w *Worker) AllowOvercommit() {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.overcommits = true
}

// checkCapacity checks a start on a worker that overcommits. Runs that are being stopped still
// count. The lock must be held.
func (ws *Workers) checkCapacity(w *Worker, s assignment.Start, resources job.Resources) {
	if resources.FitsIn(w.free()) || w.late || !time.Now().After(w.delaysUntil) {
		return
	}
	for _, former := range w.formerCapacities {
		if time.Since(former.until) <= ShrinkBound && resources.FitsIn(w.freeOf(former.capacity)) {
			return
		}
	}
	ws.violate("LIMIT: %v run %d starts on %s, which has %+v free of %+v",
		s.Task, s.Run, w.name, w.free(), w.state.Capacity)
}
