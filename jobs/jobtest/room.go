package jobtest

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// ShrinkBound is how long after a worker has said that its room has shrunk a start may still count on the room from before.
const ShrinkBound = 4 * time.Second

// formerRoom is room that a worker had until a moment.
type formerRoom struct {
	room  job.Resources
	until time.Time
}

// SetRoom changes the room of a worker while it runs; what runs there goes on. The next heartbeat says so.
func (w *Worker) SetRoom(room job.Resources) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.formerRooms = append(w.formerRooms, formerRoom{room: w.life.Capacity, until: time.Now()})
	w.life.Capacity = room
}

// Unguard lets a worker start whatever it is told to, also beyond its room.
func (w *Worker) Unguard() {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.unguarded = true
}

// checkRoom looks at a start on a worker that does not guard its room. What is being stopped still counts. The lock must be held.
func (ws *Workers) checkRoom(w *Worker, s assignment.Start, need job.Resources) {
	if need.FitsIn(w.free()) || w.late || !time.Now().After(w.heldUp) {
		return
	}
	for _, former := range w.formerRooms {
		if time.Since(former.until) <= ShrinkBound && need.FitsIn(w.freeOf(former.room)) {
			return
		}
	}
	ws.breaks("LIMIT: %v run %d starts on %s, which has %+v free of %+v", s.Task, s.Run, w.name, w.free(), w.life.Capacity)
}
