package runner

import (
	"context"
	"maps"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// applyAnswer applies a leader's answer to a poll that was sent then and described that
// generation. An answer of an earlier term than the highest seen is dropped.
func (r *Runner) applyAnswer(ctx context.Context, a assignment.Answer, sent suspend.Instant, generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Term < r.leader.term {
		return
	}
	r.applyTerm(a)
	if a.Offer {
		return
	}
	r.comeBack()
	r.applyFence(a.Fence)
	maps.DeleteFunc(r.former.unacked, func(_ incarnation.ID, e endedIncarnation) bool { return e.ackedBy(a.AckedPoll) })
	r.applyLease(a, sent)
	if generation == r.generation && a.ZoneOpen {
		proof := sent.Add(a.ZoneProofAfter())
		r.present.zoneOpenAt = r.dependencies.Suspension.Later(proof, r.present.zoneOpenAt)
	}
	if generation != r.generation || r.worker == nil || a.Incarnation != r.worker.ID {
		return
	}
	r.applyAcks(a)
	r.applyRoles(a.Roles)
	r.applyOrders(ctx, a)
}

// applyTerm follows the leader of a term, and takes over what it has of the polls and the fence
// that it offers. The lock must be held.
func (r *Runner) applyTerm(a assignment.Answer) {
	if a.Term > r.leader.term {
		r.dependencies.Logger.Info().Str("step", "runner.obey").Int64("term", a.Term).Int64("fence", a.Fence).
			Msg("new leader is followed")
		// The new leader has received none of the polls.
		r.leader.term, r.present.capacity.ackedPoll = a.Term, 0
	}
	r.present.capacity.ackedPoll = max(r.present.capacity.ackedPoll, a.AckedPoll)
	r.polls.base = a.BasePoll
	if a.Offer {
		r.leader.offered = max(r.leader.offered, a.Fence)
	}
}

// applyFence takes over the fence of a session. Until the worker has seen it, orders with lower
// ones may still change what it runs. The lock must be held.
func (r *Runner) applyFence(fence int64) {
	if fence > r.leader.fence {
		r.leader.fence, r.present.complete = fence, false
		signal(r.extend)
	}
}

// applyLease takes over a longer lease. It counts from when the poll was sent. The lock must be
// held.
func (r *Runner) applyLease(a assignment.Answer, sent suspend.Instant) {
	until := sent.Add(a.Held() + a.Lease())
	if a.LeaseMillis > 0 && r.monotonic(until).After(r.monotonic(r.leader.leaseUntil)) {
		r.leader.leaseUntil = until
		signal(r.extend)
	}
}

// applyAcks drops refusals and ends that the leader has stored. The lock must be held.
func (r *Runner) applyAcks(a assignment.Answer) {
	maps.DeleteFunc(r.present.refusals, func(_ assignment.RunID, f refusal) bool { return f.since < a.AckedPoll })
	if r.present.ends.ack(a.AckedEnd) {
		signal(r.extend)
	}
}

// applyRoles takes over how the worker's runs share its processors. The lock must be held.
func (r *Runner) applyRoles(roles []assignment.Role) {
	r.present.throttle.assign(roles)
	if len(roles) > 0 {
		signal(r.shared)
	}
}

// applyOrders begins the starts and stops that the leader wants. The lock must be held.
func (r *Runner) applyOrders(ctx context.Context, a assignment.Answer) {
	for _, id := range a.Stop {
		if !r.present.runs.over(id) {
			r.beginStop(ctx, id, reasonStopped)
		}
	}
	for _, id := range a.StopUnlisted {
		if r.present.runs.over(id) {
			r.reportOver(id)
			continue
		}
		r.beginStop(ctx, id, reasonStopped)
	}
	for _, s := range a.Start {
		r.beginStart(ctx, s)
	}
}
