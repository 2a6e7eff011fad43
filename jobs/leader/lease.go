package leader

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// prove notes when an acknowledged append was sent: this entry led then.
func (f *fleet) prove(sent suspend.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lapsed := f.lease() == 0
	f.proof = f.clock.Later(sent, f.proof)
	if lapsed {
		// Polls with starts were held for lack of a lease.
		f.wakeAll()
	}
}

// lease is the length of a lease granted now: zero if the proof of leadership is too old,
// suspensions included, since a successor counts on that. f.mu must be held.
func (f *fleet) lease() time.Duration {
	if f.clock.Since(f.proof) > f.timing.MaxProofAge {
		return 0
	}
	return f.timing.Lease
}

// leaseFor is the lease for a poll. An agent that does not reach its worker gets none: what an
// earlier agent left there must end. f.mu must be held.
func (f *fleet) leaseFor(w *worker, poll assignment.Poll) time.Duration {
	if poll.State == nil || poll.Unresponsive || w.expired {
		return 0
	}
	return f.lease()
}

// expire returns the workers whose last lease has ended for sure. They get neither lease nor
// orders until the decision on that is published. Leases are granted under the same lock, so an
// agent that comes back meanwhile was granted one before, or gets none. A former leader granted
// its last one at formerLeases at the latest.
func (f *fleet) expire(workers map[string]bool, now, formerLeases time.Time) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	expired := map[string]bool{}
	if f.term == 0 {
		return expired
	}
	for name := range workers {
		w := f.workerOf(name)
		granted := formerLeases
		if w.granted.After(granted) {
			granted = w.granted
		}
		if now.After(granted.Add(f.timing.leaseEnd())) {
			w.expired = true
			f.deciding[w] = true
			expired[name] = true
		}
	}
	return expired
}

// zoneOpen reports whether a zone is not cordoned, and the age of the proof, rounded up. It looks
// when the answer is made: a leader that is held up in a decision must not make the proof look
// younger. f.mu must be held.
func (f *fleet) zoneOpen(zone string, now time.Time) (open bool, ageMillis int64) {
	cordons, proof := f.cordons()
	if proof.IsZero() || cordons.Has(zone) {
		return false, 0
	}
	return true, now.Sub(proof).Milliseconds() + 1
}
