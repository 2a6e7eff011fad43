package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// Reasons for refusals, which polls carry and the leader logs.
const (
	reasonStopped      = "stopped"
	reasonOver         = "over"
	reasonAlreadyRan   = "old"
	reasonNoCapacity   = "room"
	reasonRejected     = "rejected"
	reasonUnavailable  = "busy"
	reasonDraining     = "the worker leaves"
	reasonUnresponsive = "the worker is silent and its lease is over"
)

// refuse records that a run will never start on this worker. The lock must be held.
func (r *Runner) refuse(refused assignment.Refusal) {
	r.present.runs.end(refused.RunID)
	r.present.refusals[refused.RunID] = refusal{Refusal: refused, since: r.polls.sequence}
	signal(r.report)
}

// refuseEnded reports once more that a run has ended although the leader still orders it, unless
// its end is already waiting to be stored. If the order was only overtaken by the report of the
// end, the leader ignores the refusal. The lock must be held.
func (r *Runner) refuseEnded(id assignment.RunID) {
	if r.present.ends.has(id) {
		return
	}
	if _, reported := r.present.refusals[id]; !reported {
		r.refuse(assignment.Refusal{RunID: id, Reason: reasonOver})
	}
}

// pendingStop is a stop that the agent tries to have carried out.
type pendingStop struct {
	assignment.RunID
	generation int
	// reason is the reason for the refusal if the run turns out never to have been on the worker.
	reason string
	// accepted is set once the worker has accepted the stop.
	accepted bool
}

// beginStop stops a run in the background. If the run turns out never to have been on the worker,
// it is refused with the given reason. The lock must be held.
func (r *Runner) beginStop(ctx context.Context, id assignment.RunID, reason string) {
	if r.worker == nil {
		return
	}
	k := r.present.runs.known[id]
	if k == nil {
		k = newRun()
		r.present.runs.known[id] = k
	}
	if k.stopping || k.awaitsEnd {
		return
	}
	k.stopping = true
	pending := &pendingStop{RunID: id, generation: r.generation, reason: reason}
	r.background.Go(func() { r.stop(ctx, pending) })
}

// stop retries until the worker has accepted the stop, and then finds out whether the run was on
// the worker at all.
func (r *Runner) stop(ctx context.Context, s *pendingStop) {
	for ctx.Err() == nil {
		order, ok, obsolete := r.prepareStop(s)
		if obsolete {
			return
		}
		if ok && r.tryStop(ctx, s, order) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// prepareStop returns the order to send, and false if there is none. A stop is obsolete once the
// run has ended.
func (r *Runner) prepareStop(s *pendingStop) (order Order, ok, obsolete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order, ok = r.order()
	return order, ok, r.stopObsolete(s)
}

// stopObsolete reports whether the run to stop, or its incarnation, has ended. The lock must be
// held.
func (r *Runner) stopObsolete(s *pendingStop) bool {
	return s.generation != r.generation || r.present.runs.known[s.RunID] == nil
}

// tryStop sends a stop unless the worker has accepted it before, and reports whether there is
// nothing left to try.
func (r *Runner) tryStop(ctx context.Context, s *pendingStop, order Order) (done bool) {
	if !s.accepted {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		clock, err := r.dependencies.Worker.Stop(call, order, s.RunID)
		cancel()
		r.metrics.stops.Inc(outcomeOf(err))
		if !r.applyStop(s, order, clock, err) {
			return true
		}
		s.accepted = err == nil
	}
	return s.accepted && r.confirmStop(ctx, s)
}

// applyStop applies the answer to a stop. It returns false if the incarnation ended before the
// answer arrived.
func (r *Runner) applyStop(s *pendingStop, order Order, clock int64, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.generation != r.generation {
		return false
	}
	r.recordAnswer(order, clock, err)
	r.dependencies.Logger.Info().Str("step", "runner.stop").Stringer("task", s.Task).Int("run", s.Run).
		Int64("fence", order.Fence).Err(err).Msg("stop ordered")
	if errors.Is(err, ErrOtherIncarnation) {
		r.endIncarnation(err)
	}
	return true
}

// confirmStop asks the worker whether a stopped run is still running, and reports whether the
// answer is conclusive. If a list that shows everything contains neither the run nor its end, the
// run has not started and never will. While lists are partial, confirmStop waits for the sync loop
// to read the rest: many stops may be waiting, and a list of their own would show none of them more.
func (r *Runner) confirmStop(ctx context.Context, s *pendingStop) (done bool) {
	r.mu.Lock()
	order, ok := r.order()
	ok = ok && !r.present.partial()
	r.mu.Unlock()
	if !ok {
		return false
	}
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, clock, err := r.sync(call, syncCall{order: order})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopObsolete(s) {
		return true
	}
	if errors.Is(err, ErrOtherIncarnation) {
		r.endIncarnation(err)
		return true
	}
	if err != nil || order.Fence != r.orderFence() {
		return false
	}
	r.recordClock(clock)
	for _, listed := range list.Runs {
		if listed.RunID == s.RunID {
			// The run ends soon, and the sync loop will list its end.
			r.present.runs.known[s.RunID].running = true
			return true
		}
	}
	r.applyListing(list, sent, nil)
	if !list.showsAll() {
		return false
	}
	if r.present.runs.known[s.RunID] != nil {
		r.refuse(assignment.Refusal{RunID: s.RunID, Reason: s.reason})
	}
	return true
}
