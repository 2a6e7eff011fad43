package runner

import (
	"context"
	"errors"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// Reasons of refusals, as polls carry them and the leader logs them.
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

// refuse notes that a run will never start here. The lock must be held.
func (r *Runner) refuse(refused assignment.Refusal) {
	r.present.runs.end(refused.RunID)
	r.present.refusals[refused.RunID] = refusal{Refusal: refused, since: r.polls.sequence}
	signal(r.report)
}

// reportOver reports once more that a run is over which the leader still orders, unless its end
// is about to be reported. Where the order was only overtaken by the report of the end, the
// leader ignores it. The lock must be held.
func (r *Runner) reportOver(id assignment.RunID) {
	if r.present.ends.has(id) {
		return
	}
	if _, reported := r.present.refusals[id]; !reported {
		r.refuse(assignment.Refusal{RunID: id, Reason: reasonOver})
	}
}

// pendingStop is a stop that the agent tries to get carried out.
type pendingStop struct {
	assignment.RunID
	generation int
	// reason is that of the refusal if the run turns out never to have been there.
	reason string
}

// beginStop stops a run in the background. If the run turns out never to have been there, it is
// refused with the reason. The lock must be held.
func (r *Runner) beginStop(ctx context.Context, id assignment.RunID, reason string) {
	if r.worker == nil {
		return
	}
	k := r.present.runs.known[id]
	if k == nil {
		k = newRun()
		r.present.runs.known[id] = k
	}
	if k.stopping {
		return
	}
	k.stopping = true
	pending := pendingStop{RunID: id, generation: r.generation, reason: reason}
	r.background.Go(func() { r.stop(ctx, pending) })
}

// stop tries until the worker has taken the stop, and then finds out whether the run was there
// at all.
func (r *Runner) stop(ctx context.Context, s pendingStop) {
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

// prepareStop returns the order to send, and false if there is none. A stop is obsolete once
// the run is over.
func (r *Runner) prepareStop(s pendingStop) (order Order, ok, obsolete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order, ok = r.order()
	return order, ok, r.isOver(s)
}

// isOver reports whether the run to stop is over, or its incarnation. The lock must be held.
func (r *Runner) isOver(s pendingStop) bool {
	return s.generation != r.generation || r.present.runs.known[s.RunID] == nil
}

// tryStop sends a stop, and reports whether there is nothing left to try.
func (r *Runner) tryStop(ctx context.Context, s pendingStop, order Order) (done bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	clock, err := r.dependencies.Worker.Stop(call, order, s.RunID)
	cancel()
	r.metrics.stops.Inc(outcomeOf(err))
	if !r.applyStop(s, order, clock, err) {
		return true
	}
	return err == nil && r.confirmStop(ctx, s)
}

// applyStop applies the answer to a stop. It returns false if the incarnation was over before
// it came.
func (r *Runner) applyStop(s pendingStop, order Order, clock int64, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.generation != r.generation {
		return false
	}
	r.noteAnswer(order, clock, err)
	r.dependencies.Logger.Info().Str("step", "runner.stop").Stringer("task", s.Task).Int("run", s.Run).Err(err).
		Msg("stop ordered")
	if errors.Is(err, ErrOtherIncarnation) {
		r.endIncarnation(err)
	}
	return true
}

// confirmStop asks the worker whether a run that was stopped is still there, and reports
// whether the answer settles it. If the run is neither running nor among the ends, it never
// started, and never will.
func (r *Runner) confirmStop(ctx context.Context, s pendingStop) (done bool) {
	r.mu.Lock()
	order, ok := r.order()
	r.mu.Unlock()
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, clock, err := r.sync(call, syncCall{order: order})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOver(s) {
		return true
	}
	if errors.Is(err, ErrOtherIncarnation) {
		r.endIncarnation(err)
		return true
	}
	if err != nil || order.Fence != r.orderFence() {
		return false
	}
	r.noteClock(clock)
	for _, listed := range list.Runs {
		if listed.RunID == s.RunID {
			// It ends soon; the lists of the sync loop will show it.
			r.present.runs.known[s.RunID].running = true
			return true
		}
	}
	r.takeList(list, nil)
	if !list.whole() {
		return false
	}
	if r.present.runs.known[s.RunID] != nil {
		r.refuse(assignment.Refusal{RunID: s.RunID, Reason: s.reason})
	}
	return true
}
