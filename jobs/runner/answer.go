package runner

import (
	"context"
	"maps"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// applyAnswer applies a leader's answer to a poll. sent is when the poll was sent, generation the
// generation that it described. An answer of a term below the highest one seen is dropped.
func (r *Runner) applyAnswer(ctx context.Context, a assignment.Answer, sent suspend.Instant, generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Term < r.leader.term {
		return
	}
	r.applyTerm(a)
	if a.FenceOffered {
		return
	}
	r.resume()
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

// applyTerm follows the leader of the answer's term, and stores what the leader reports about the
// agent's polls and the fence that it offers. The lock must be held.
func (r *Runner) applyTerm(a assignment.Answer) {
	if a.Term > r.leader.term {
		r.dependencies.Logger.Info().Str("step", "runner.obey").Int64("term", a.Term).Int64("fence", a.Fence).
			Msg("following new leader")
		// The new leader has received none of the polls.
		r.leader.term, r.present.capacity.ackedPoll = a.Term, 0
	}
	r.present.capacity.ackedPoll = max(r.present.capacity.ackedPoll, a.AckedPoll)
	r.polls.base = a.BasePoll
	if a.FenceOffered {
		r.leader.offeredFence = max(r.leader.offeredFence, a.Fence)
	}
}

// applyFence adopts a newer fence from the leader. The agent's view of the runs is incomplete until
// the worker has seen that fence: until then, orders with lower fences may still change what the
// worker runs. The lock must be held.
func (r *Runner) applyFence(fence int64) {
	if fence > r.leader.fence {
		r.leader.fence = fence
		r.present.complete, r.present.endsListed = false, false
		signal(r.extend)
	}
}

// applyLease adopts the lease of the answer if it is longer than the present one. The lease counts
// from the time at which the poll was sent. The lock must be held.
func (r *Runner) applyLease(a assignment.Answer, sent suspend.Instant) {
	until := sent.Add(a.Held() + a.Lease())
	if a.LeaseMillis > 0 && r.monotonic(until).After(r.monotonic(r.leader.leaseUntil)) {
		r.leader.leaseUntil = until
		signal(r.extend)
	}
}

// applyAcks drops the refusals and ends that the leader has stored. The lock must be held.
func (r *Runner) applyAcks(a assignment.Answer) {
	maps.DeleteFunc(r.present.refusals, func(_ assignment.RunID, f refusal) bool { return f.since < a.AckedPoll })
	if r.present.ends.ack(a.AckedEnd) {
		signal(r.extend)
	}
}

// applyRoles stores how the worker's runs share its processors. The lock must be held.
func (r *Runner) applyRoles(roles []assignment.Role) {
	r.present.throttle.assign(roles)
	if len(roles) > 0 {
		signal(r.shared)
	}
}

// applyOrders begins the starts and stops that the leader has ordered. A start is given up once the
// session of the answer has ended. A stop is carried out under later leaders too: it ends one run at
// most, which they can place again, while a stop that is given up would let the run of a cancelled
// job go on. The lock must be held.
func (r *Runner) applyOrders(ctx context.Context, a assignment.Answer) {
	for _, id := range a.Stop {
		if !r.present.runs.hasEnded(id) {
			r.beginStop(ctx, id, reasonStopped)
		}
	}
	for _, id := range a.StopUnlisted {
		if r.present.runs.hasEnded(id) {
			r.refuseEnded(id)
			continue
		}
		r.beginStop(ctx, id, reasonStopped)
	}
	for _, s := range a.Start {
		r.beginStart(ctx, s, sessionOf(a))
	}
}
