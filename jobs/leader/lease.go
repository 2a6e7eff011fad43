package leader

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// prove notes that this entry led when an append was sent that has been acknowledged since.
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

// lease is how long a lease is that is granted now: zero if the proof of leadership is too old,
// because a successor may count on there being none. Time for which this machine was suspended
// counts. f.mu must be held.
func (f *fleet) lease() time.Duration {
	if f.clock.Since(f.proof) > f.timing.MaxProofAge {
		return 0
	}
	return f.timing.Lease
}

// leaseFor is how long a lease a poll gets now. An agent that does not reach its worker gets
// none, so that what an earlier agent may have left there ends. f.mu must be held.
func (f *fleet) leaseFor(w *worker, poll assignment.Poll) time.Duration {
	if poll.State == nil || poll.Unresponsive || w.expired {
		return 0
	}
	return f.lease()
}

// expire returns those of the workers whose last lease has ended for sure, and marks them: they
// get neither lease nor orders until the decision on it is published. Leases of a former leader
// were granted until formerLeases at the latest. It holds the lock under which leases are
// granted, so an agent that comes back at this moment either has got a lease before, or gets
// none.
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

// zoneOpen reports whether a zone is not cordoned, and the age of the proof of that in
// milliseconds, rounded up. It looks when the answer is made and not when the leader decides, so
// that a leader that is held up in a decision tells no age that is too young. f.mu must be held.
func (f *fleet) zoneOpen(zone string, now time.Time) (open bool, ageMillis int64) {
	cordons, proof := f.cordons()
	if proof.IsZero() || cordons.Has(zone) {
		return false, 0
	}
	return true, now.Sub(proof).Milliseconds() + 1
}
