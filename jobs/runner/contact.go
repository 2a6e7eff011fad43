package runner

import (
	"cmp"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

const (
	// unresponsiveAfter is the time without an answer after which a worker's leases are no longer
	// extended.
	unresponsiveAfter = 1500 * time.Millisecond
	// expiryMargin is added to the end of an unresponsive worker's lease, to allow for the
	// difference between two clock readings.
	expiryMargin = 300 * time.Millisecond
)

// contact records when a worker answered.
type contact struct {
	lastAnswer time.Time
	// failingSince is the time of the first sync of the present series without an answer; zero
	// while syncs are answered.
	failingSince time.Time
	// fencedSince is the time of the worker's first refusal of the present fence; zero if the
	// worker accepts it.
	fencedSince time.Time
}

// unresponsive reports whether the worker has not answered for so long that its leases are no
// longer extended.
func (c contact) unresponsive(now time.Time) bool { return now.Sub(c.lastAnswer) > unresponsiveAfter }

// fencedOff reports whether the worker has refused the present fence for so long that its leases
// are no longer extended. Another process may still extend them, so the runs must not be given up.
func (c contact) fencedOff(now time.Time) bool {
	return !c.fencedSince.IsZero() && now.Sub(c.fencedSince) > unresponsiveAfter
}

// lastConfirmed returns the last time at which the worker is known to have been running. While
// syncs fail this is the first failure: a sync that is held by the worker fails as soon as the
// worker stops.
func (c contact) lastConfirmed() time.Time {
	if c.failingSince.IsZero() {
		return c.lastAnswer
	}
	return c.failingSince
}

// failingMillis returns the time since syncs began to fail, in milliseconds and at least one. It is
// zero while syncs are answered.
func (c contact) failingMillis() int64 {
	if c.failingSince.IsZero() {
		return 0
	}
	return max(time.Since(c.failingSince).Milliseconds(), 1)
}

// workerClock relates the worker's clock to the clock of this process.
type workerClock struct {
	// reading is the worker's clock at readAt, in milliseconds.
	reading int64
	// readAt is zero before the first reading.
	readAt time.Time
}

// at returns the worker's clock at time t, in milliseconds.
func (c workerClock) at(t time.Time) int64 { return c.reading + t.Sub(c.readAt).Milliseconds() }

// recordAnswer records the answer to an order: the clock, and a refusal of the fence. An answer
// from another incarnation does not count as contact with the present one. Otherwise a worker that
// crashed before the end of its drain period would be taken for one that has drained. The lock must
// be held.
func (r *Runner) recordAnswer(order Order, clock int64, err error) {
	switch {
	case errors.Is(err, ErrOtherIncarnation):
	case errors.Is(err, ErrFenced):
		r.recordFenced(order, clock)
	default:
		r.recordClock(clock)
	}
}

// recordFenced records that the worker has refused an order because it has seen a higher fence. The
// worker is running and obeys another process, which may extend its lease, so its runs are not
// given up. The refusal is reported to the leader, unless the order was merely overtaken by one
// with a newer fence. The lock must be held.
func (r *Runner) recordFenced(order Order, clock int64) {
	since := r.present.contact.fencedSince
	r.recordClock(clock)
	r.present.contact.lastAnswer = time.Now()
	if r.worker == nil || order.Fence != r.orderFence() {
		return
	}
	r.present.contact.fencedSince = cmp.Or(since, time.Now())
	if r.leader.refusedFence == r.leader.fence {
		return
	}
	r.leader.refusedFence = r.leader.fence
	signal(r.report)
	r.dependencies.Logger.Warn().Str("step", "runner.fenced").Stringer("life", r.worker.ID).
		Int64("fence", r.leader.fence).Msg("worker has seen a higher fence; reporting it to the leader")
}

// recordClock records a reading of the worker's clock, in milliseconds. The lock must be held.
func (r *Runner) recordClock(clock int64) {
	if clock <= 0 {
		return
	}
	now := time.Now()
	r.present.clock = workerClock{reading: clock, readAt: now}
	r.present.contact = contact{lastAnswer: now}
}

// recordFailure records a sync without an answer, and logs the first of a series. The lock must be
// held.
func (r *Runner) recordFailure(err error) {
	if r.worker == nil || !r.present.contact.failingSince.IsZero() {
		return
	}
	r.present.contact.failingSince = time.Now()
	// Once the failure is reported, the leader places no suspect task on this worker.
	signal(r.report)
	r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("life", r.worker.ID).
		Int("runs", len(r.present.runs.known)).Err(err).Msg("worker does not answer")
}

// abandonRuns gives up the runs of an unresponsive worker once every lease that it may have
// received has expired, even by the slowest clock that it may have. From then on none of the runs
// is running and none can start. Runs that ended earlier are listed when the worker answers again.
// The lock must be held.
func (r *Runner) abandonRuns(now time.Time) {
	runs := &r.present.runs
	if r.worker == nil || len(runs.known) == 0 || !r.present.contact.unresponsive(now) || !now.After(r.leaseExpiry()) {
		return
	}
	r.dependencies.Logger.Warn().Str("step", "runner.judgeSilence").Stringer("life", r.worker.ID).
		Int("runs", len(runs.known)).Msg("worker is unresponsive and its lease has expired; abandoning its runs")
	for id, k := range runs.known {
		if k.maybeRunning() && !k.awaitsEnd {
			runs.abandoned[id] = k.running
		}
		r.refuse(assignment.Refusal{
			RunID:     id,
			Reason:    reasonUnresponsive,
			Uncertain: k.maybeRunning(),
			Started:   k.running,
		})
	}
}

// leaseExpiry returns the time by which every lease that the worker may have received has expired.
// The lock must be held.
func (r *Runner) leaseExpiry() time.Time {
	lastAnswer := r.present.contact.lastAnswer
	left := max(r.present.leaseSent.Sub(lastAnswer), 0)
	return lastAnswer.Add(time.Duration(float64(left) * (1 + r.settings.Drift))).Add(expiryMargin)
}
