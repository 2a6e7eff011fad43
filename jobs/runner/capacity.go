package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// capacityMaxAge is how old the worker's newest report of its capacity may be when a start is
// sent. A worker need not refuse what no longer fits, so a start has to be carried out within
// its contact time and a heartbeat of a shrinking; this leaves the time of a call and of a
// wake-up.
const capacityMaxAge = 3 * time.Second

// capacityReports tracks the worker's reports of its capacity, and which of them the leader has.
type capacityReports struct {
	reportedAt time.Time
	// shrunkPoll is the number of the first poll that reported the newest shrinking, ackedPoll
	// that of the newest poll that the leader has taken over.
	shrunkPoll, ackedPoll int64
}

// noteCapacity takes note of a report of the capacity. The lock must be held.
func (r *Runner) noteCapacity(capacity job.Resources) {
	r.present.capacity.reportedAt = time.Now()
	if r.worker == nil || r.worker.Capacity == capacity {
		return
	}
	r.dependencies.Logger.Info().Str("step", "runner.heartbeat").Stringer("life", r.worker.ID).
		Int("cpu", capacity.CPU).Int("memory_mb", capacity.Memory).Int("accelerators", capacity.Accelerators).
		Msg("worker's capacity has changed")
	if !r.worker.Capacity.FitsIn(capacity) {
		r.present.capacity.shrunkPoll = r.polls.sequence + 1
	}
}

// capacityCurrent reports whether the leader's orders are for the capacity that the worker has
// now: one that waits at its agent may have been decided for more. The lock must be held.
func (r *Runner) capacityCurrent(now time.Time) bool {
	c := r.present.capacity
	return now.Sub(c.reportedAt) <= capacityMaxAge && c.ackedPoll >= c.shrunkPoll
}
