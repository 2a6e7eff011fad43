package leader

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// recordProof records when an acknowledged append was sent. It proves that this entry was the
// leader at that time.
func (f *fleet) recordProof(sent suspend.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lapsed := f.lease() == 0
	f.proof = f.clock.Later(sent, f.proof)
	if lapsed {
		// Polls may be held because starts could not be sent without a lease.
		f.wakeAll()
	}
}

// lease returns the length of a lease granted now. It is zero if the proof of leadership is older
// than MaxProofAge, including the time for which the machine was suspended, because a successor
// relies on this limit. f.mu must be held.
func (f *fleet) lease() time.Duration {
	if f.clock.Since(f.proof) > f.timing.MaxProofAge {
		return 0
	}
	return f.timing.Lease
}

// leaseFor returns the length of the lease to grant in answer to a poll. An agent that cannot reach
// its worker gets no lease, because the runs that an earlier agent started there must end. f.mu
// must be held.
func (f *fleet) leaseFor(w *worker, poll assignment.Poll) time.Duration {
	if poll.State == nil || poll.Unresponsive || w.expired {
		return 0
	}
	return f.lease()
}

// expire returns those of the given workers whose last lease has certainly ended. They get neither
// a lease nor orders until the resulting decision is published. Leases are granted under the same
// lock, so an agent that returns in the meantime either got a lease before this call, or gets none.
// lastFormerGrant is the latest time at which a former leader may have granted a lease.
func (f *fleet) expire(workers map[string]bool, now, lastFormerGrant time.Time) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	expired := map[string]bool{}
	if f.term == 0 {
		return expired
	}
	for name := range workers {
		w := f.workerOf(name)
		granted := lastFormerGrant
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

// zoneOpen reports whether a zone is known not to be cordoned, and the age of that knowledge in
// milliseconds, rounded up. The age is computed when the answer is made, so that a leader delayed
// in a decision does not make the proof appear younger than it is. f.mu must be held.
func (f *fleet) zoneOpen(zone string, now time.Time) (open bool, ageMillis int64) {
	cordons, proof := f.cordons()
	if proof.IsZero() || cordons.Has(zone) {
		return false, 0
	}
	return true, now.Sub(proof).Milliseconds() + 1
}
