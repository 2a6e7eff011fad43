package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// capacityMaxAge is the maximum age of the worker's latest capacity report when a start is sent. A
// worker need not refuse a run that no longer fits, so a start has to be carried out within its
// contact time plus one heartbeat after the capacity shrinks. This value leaves time for the call
// and for the agent's process to be scheduled.
const capacityMaxAge = 3 * time.Second

// capacityReports tracks the worker's capacity reports, and which of them have reached the leader.
type capacityReports struct {
	reportedAt time.Time
	// shrunkPoll is the number of the first poll that reported the latest decrease in capacity.
	// ackedPoll is the number of the newest poll whose content the leader has stored.
	shrunkPoll, ackedPoll int64
}

// recordCapacity records a capacity report. The lock must be held.
func (r *Runner) recordCapacity(capacity job.Resources) {
	r.present.capacity.reportedAt = time.Now()
	if r.worker == nil || r.worker.Capacity == capacity {
		return
	}
	r.dependencies.Logger.Info().Str("step", "runner.heartbeat").Stringer("life", r.worker.ID).
		Int("cpu", capacity.CPU).Int("memory_mb", capacity.Memory).Int("accelerators", capacity.Accelerators).
		Msg("worker's capacity changed")
	if !r.worker.Capacity.FitsIn(capacity) {
		r.present.capacity.shrunkPoll = r.polls.sequence + 1
	}
}

// capacityCurrent reports whether the leader's orders are based on the worker's present capacity. A
// pending order may have been decided for a larger one. The lock must be held.
func (r *Runner) capacityCurrent(now time.Time) bool {
	c := r.present.capacity
	return now.Sub(c.reportedAt) <= capacityMaxAge && c.ackedPoll >= c.shrunkPoll
}
