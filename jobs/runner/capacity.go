package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A worker need not guard its room, and users forbid a start beyond it from 4.5 s after it has shrunk (their contact time and a heartbeat). An order that
// waits at its agent may have been decided for the room from before. So a start is sent only while the worker's own word on its room is at most roomFresh
// old, which leaves the time of a call and of a wake-up, and once the leader has decided with the newest room.
const roomFresh = 3 * time.Second

// roomNews is what is known of a worker's room in its present life.
type roomNews struct {
	// told is when the worker last said what it has.
	told time.Time
	// shrunk is the number of the first poll that told the leader of the newest shrinking, heard that of the newest poll whose news the leader has kept.
	shrunk, heard int64
}

// noteRoom takes note of what the worker says of its room. The lock must be held.
func (r *Runner) noteRoom(room job.Resources) {
	r.room.told = time.Now()
	if r.life == nil || r.life.Capacity == room {
		return
	}
	r.parts.Logger.Info().Str("step", "runner.heartbeat").Stringer("life", r.life.ID).Int("cpu", room.CPU).Int("memory_mb", room.Memory).
		Int("accelerators", room.Accelerators).Msg("worker's room has changed")
	if !r.life.Capacity.FitsIn(room) {
		r.room.shrunk = r.sequence + 1
	}
}

// roomKnown reports whether the leader has decided for the room that the worker has now. The lock must be held.
func (r *Runner) roomKnown(now time.Time) bool {
	return now.Sub(r.room.told) <= roomFresh && r.room.heard >= r.room.shrunk
}
