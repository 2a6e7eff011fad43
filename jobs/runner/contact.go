package runner

import (
	"cmp"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

const (
	// unresponsiveAfter is how long a worker may give no answer until nothing is extended
	// on it any more.
	unresponsiveAfter = 1500 * time.Millisecond
	// expiryMargin is added to the end of an unresponsive worker's lease, for the difference of
	// two clock readings.
	expiryMargin = 300 * time.Millisecond
)

// contact records when a worker answered.
type contact struct {
	lastAnswer time.Time
	// failingSince is since when syncs get no answer; zero while they do.
	failingSince time.Time
	// fencedSince is since when the worker refuses the present fence; zero while it doesn't.
	fencedSince time.Time
}

// unresponsive reports whether the worker has given no answer for too long to extend anything
// on it.
func (c contact) unresponsive(now time.Time) bool { return now.Sub(c.lastAnswer) > unresponsiveAfter }

// fencedOff reports whether the worker has refused the present fence for too long to extend anything
// on it. What another process may extend there is not over, so nothing is given up for it.
func (c contact) fencedOff(now time.Time) bool {
	return !c.fencedSince.IsZero() && now.Sub(c.fencedSince) > unresponsiveAfter
}

// last is until when the worker surely was there: a sync that it holds fails as it goes.
func (c contact) last() time.Time {
	if c.failingSince.IsZero() {
		return c.lastAnswer
	}
	return c.failingSince
}

// failingMillis is how long syncs have got no answer, in milliseconds and at least one; zero while
// they do.
func (c contact) failingMillis() int64 {
	if c.failingSince.IsZero() {
		return 0
	}
	return max(time.Since(c.failingSince).Milliseconds(), 1)
}

// workerClock relates the worker's clock to this process's.
type workerClock struct {
	// reading is the worker's clock at readAt, in milliseconds.
	reading int64
	// readAt is zero before the first reading.
	readAt time.Time
}

// at is the worker's clock at a time, in milliseconds.
func (c workerClock) at(t time.Time) int64 { return c.reading + t.Sub(c.readAt).Milliseconds() }

// noteAnswer takes over the answer to an order: the clock, and a refusal for the fence. An answer of
// another incarnation doesn't count as contact with the present one: a worker that crashed before
// its drain was over would seem to have drained. The lock must be held.
func (r *Runner) noteAnswer(order Order, clock int64, err error) {
	switch {
	case errors.Is(err, ErrOtherIncarnation):
	case errors.Is(err, ErrFenced):
		r.noteFenced(order, clock)
	default:
		r.noteClock(clock)
	}
}

// noteFenced notes that the worker has refused an order, since it has seen a higher fence. It is
// there, and obeys another process: its lease may be extended, and nothing on it is over. The leader
// is told unless the order was only overtaken by one with a newer fence. The lock must be held.
func (r *Runner) noteFenced(order Order, clock int64) {
	since := r.present.contact.fencedSince
	r.noteClock(clock)
	r.present.contact.lastAnswer = time.Now()
	if r.worker == nil || order.Fence != r.orderFence() {
		return
	}
	r.present.contact.fencedSince = cmp.Or(since, time.Now())
	if r.leader.refused == r.leader.fence {
		return
	}
	r.leader.refused = r.leader.fence
	signal(r.report)
	r.dependencies.Logger.Warn().Str("step", "runner.fenced").Stringer("life", r.worker.ID).
		Int64("fence", r.leader.fence).Msg("worker has seen a higher fence; the leader is told")
}

// noteClock takes over a reading of the worker's clock, in milliseconds. The lock must be held.
func (r *Runner) noteClock(clock int64) {
	if clock <= 0 {
		return
	}
	now := time.Now()
	r.present.clock = workerClock{reading: clock, readAt: now}
	r.present.contact = contact{lastAnswer: now}
}

// noteFailing notes a sync that got no answer, and logs the first of a row. The lock must be
// held.
func (r *Runner) noteFailing(err error) {
	if r.worker == nil || !r.present.contact.failingSince.IsZero() {
		return
	}
	r.present.contact.failingSince = time.Now()
	// The leader places no suspected task here any more.
	signal(r.report)
	r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("life", r.worker.ID).
		Int("runs", len(r.present.runs.known)).Err(err).Msg("worker gives no answer")
}

// abandonRuns gives up the runs of an unresponsive worker once each lease that it may have
// received is over, even by the slowest clock that it may have. Then none of them runs any
// more, and none can start. Ends from before are listed when the worker answers again. The lock
// must be held.
func (r *Runner) abandonRuns(now time.Time) {
	runs := &r.present.runs
	if r.worker == nil || len(runs.known) == 0 || !r.present.contact.unresponsive(now) || !now.After(r.leaseExpiry()) {
		return
	}
	r.dependencies.Logger.Warn().Str("step", "runner.judgeSilence").Stringer("life", r.worker.ID).
		Int("runs", len(runs.known)).Msg("worker is unresponsive and its lease is over")
	for id, k := range runs.known {
		if k.maybeRunning() {
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

// leaseExpiry is when each lease that the worker may have received is surely over. The lock
// must be held.
func (r *Runner) leaseExpiry() time.Time {
	lastAnswer := r.present.contact.lastAnswer
	left := max(r.present.leaseSent.Sub(lastAnswer), 0)
	return lastAnswer.Add(time.Duration(float64(left) * (1 + r.settings.Drift))).Add(expiryMargin)
}
