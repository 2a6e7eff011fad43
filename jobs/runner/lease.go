package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// leadership is what leaders have granted.
type leadership struct {
	term  int64
	fence int64
	// offered is the newest fence that a leader has offered without hearing this process yet.
	offered int64
	// refused is the fence that the worker has refused, since it has seen a higher one.
	refused int64
	// superseded is set while the leader hears a newer process of the agent.
	superseded bool
	// leaseUntil is the end of the lease that the leader granted.
	leaseUntil suspend.Instant
}

// fenceIncarnationBits are the low bits of a fence, which count the worker's incarnations; the
// leader's fence stands above them. So fences stay below 2^53, the largest whole number that
// each JSON reader knows, for half a million terms.
const fenceIncarnationBits = 14

// orderFence is the fence of orders for the present incarnation. An order can't name an
// incarnation among those that share an instance, and a new one has seen no fence; the first
// call that brings this fence voids what was sent to former ones. The lock must be held.
func (r *Runner) orderFence() int64 {
	return r.leader.fence<<fenceIncarnationBits | int64(min(r.generation, 1<<fenceIncarnationBits-1))
}

// order returns what comes with a call, or false while there is no worker or no fence. The lock
// must be held.
func (r *Runner) order() (Order, bool) {
	if r.worker == nil || r.leader.fence == 0 {
		return Order{}, false
	}
	return Order{Incarnation: r.worker.ID, Fence: r.orderFence()}, true
}

// leaseDeadline is the end of the lease by the worker's clock, in milliseconds, and false if
// there is none: the leader has granted none, or the worker is unresponsive. In that case the
// lease that it may have received must not grow, or it would never be over. The lock must be
// held.
func (r *Runner) leaseDeadline(now time.Time) (int64, bool) {
	until := r.monotonic(r.leader.leaseUntil)
	clock := r.present.clock
	if clock.readAt.IsZero() || !now.Before(until) || r.present.contact.unresponsive(now) {
		return 0, false
	}
	if longest := now.Add(r.settings.Lease); until.After(longest) {
		until = longest
	}
	if until.After(r.present.leaseSent) {
		r.present.leaseSent = until
	}
	return clock.at(until), true
}

// monotonic is an instant on the monotonic clock of this process, moved back by what the
// machine has been suspended since: the leader's clock went on.
func (r *Runner) monotonic(i suspend.Instant) time.Time {
	return r.dependencies.Suspension.Monotonic(i)
}
