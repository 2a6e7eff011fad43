package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// leadership holds what the agent has received from leaders.
type leadership struct {
	term  int64
	fence int64
	// offeredFence is the newest fence that a leader has offered before accepting this process.
	offeredFence int64
	// refusedFence is the fence that the worker has refused because it has seen a higher one.
	refusedFence int64
	// superseded is set while the leader accepts polls from a newer process of the agent.
	superseded bool
	// leaseUntil is the end of the lease that the leader granted.
	leaseUntil suspend.Instant
}

// fenceIncarnationBits is the number of low bits of a fence that count the worker's incarnations.
// The leader's fence occupies the bits above. Fences thus stay below 2^53, the largest integer that
// every JSON reader represents exactly, for half a million terms.
const fenceIncarnationBits = 14

// orderFence returns the fence of orders for the present incarnation. An order cannot distinguish
// incarnations that share an instance, and a new incarnation has seen no fence. The first call with
// this fence voids the orders that were sent to former incarnations. The lock must be held.
func (r *Runner) orderFence() int64 {
	return r.leader.fence<<fenceIncarnationBits | int64(min(r.generation, 1<<fenceIncarnationBits-1))
}

// order returns the incarnation and the fence for a call. It returns false while there is no worker
// or no fence. The lock must be held.
func (r *Runner) order() (Order, bool) {
	if r.worker == nil || r.leader.fence == 0 {
		return Order{}, false
	}
	return Order{Incarnation: r.worker.ID, Fence: r.orderFence()}, true
}

// leaseDeadline returns the end of the lease by the worker's clock, in milliseconds. It returns
// false if there is no lease: the leader has granted none, or the worker is unresponsive. The lease
// of an unresponsive worker must not grow, or it would never expire. The lock must be held.
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

// monotonic converts an instant to the monotonic clock of this process, moved back by the time for
// which the machine has been suspended since: the leader's clock kept running.
func (r *Runner) monotonic(i suspend.Instant) time.Time {
	return r.dependencies.Suspension.Monotonic(i)
}
