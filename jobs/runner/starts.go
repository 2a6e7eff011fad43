package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

const (
	// maxUnavailableAttempts is the number of attempts to start a run on an unavailable worker
	// before the run is refused.
	maxUnavailableAttempts = 8
	// forgetPause is the pause before a start that has to wait for a sync in flight. Such a sync is
	// usually answered within milliseconds.
	forgetPause = 5 * time.Millisecond
	// schedulingMargin is the time for which this process may have to wait for a processor between
	// reading a clock and sending a call.
	schedulingMargin = 150 * time.Millisecond
)

// zoneProofMaxAge is the maximum age of the proof that the worker's zone is not cordoned when a
// start is sent. An operator's cordon is acknowledged no earlier than the proof was taken, and the
// start is carried out no later than its call ends. With this limit, nothing starts later than
// MaxCordonDelay after the acknowledgment.
func (s Settings) zoneProofMaxAge() time.Duration {
	return time.Duration(float64(s.MaxCordonDelay)*(1-s.Drift)) - callTimeout - schedulingMargin
}

// pendingStart is a start that the agent tries to have carried out.
type pendingStart struct {
	assignment.Start
	generation int
	// session is the session in which the start was ordered.
	session leaderSession
	// unavailable counts the attempts at which the worker was unavailable.
	unavailable int
	// confirmed is set if the worker has answered immediately before the attempt.
	confirmed bool
	// zoneLogged is set once the wait for a proof of the open zone has been logged.
	zoneLogged bool
}

// beginStart starts a run in the background, as ordered in a session, unless it is already known.
// The lock must be held.
func (r *Runner) beginStart(ctx context.Context, s assignment.Start, session leaderSession) {
	if r.worker == nil || r.present.runs.known[s.RunID] != nil {
		return
	}
	if r.present.runs.hasEnded(s.RunID) {
		r.refuseEnded(s.RunID)
		return
	}
	if r.worker.Draining {
		r.refuse(assignment.Refusal{RunID: s.RunID, Reason: reasonDraining})
		return
	}
	r.present.runs.known[s.RunID] = newRun()
	pending := &pendingStart{Start: s, generation: r.generation, session: session}
	r.background.Go(func() { r.start(ctx, pending) })
}

// start retries until it is known whether the run has started, or until the run is no longer
// wanted.
func (r *Runner) start(ctx context.Context, s *pendingStart) {
	for ctx.Err() == nil {
		attempt := r.prepareStart(s)
		switch {
		case attempt.obsolete:
			return
		case attempt.confirm && r.syncOnce(ctx, 0):
			s.confirmed = true
			continue
		case attempt.allowed && r.tryStart(ctx, s, attempt):
			return
		}
		s.confirmed = false
		pause.For(ctx, attempt.wait)
	}
}

// startAttempt is the decision whether a start may be sent now, together with the arguments of the
// call.
type startAttempt struct {
	// obsolete is set if there is nothing left to do: the run is running or stopping, its incarnation
	// has ended, or the session in which it was ordered has ended.
	obsolete bool
	allowed  bool
	// confirm is set if the worker has to answer a sync first.
	confirm bool
	order   Order
	// until is the end of the lease by the worker's clock, in milliseconds.
	until int64
	// repeated is set if an earlier attempt may have been carried out.
	repeated bool
	// tracked is set if the attempt is recorded among the open orders.
	tracked bool
	// wait is the pause before the next attempt if this one is not allowed.
	wait time.Duration
}

// prepareStart decides whether a start may be sent now. It requires a fence, a lease that has not
// expired, a list of all ends of the worker, a recent enough proof that the zone is not cordoned, a
// leader that knows the worker's capacity, no earlier attempt with an unknown outcome, an
// immediately preceding answer from the worker if the task is a suspect, and no open sync that may
// let the worker forget ends.
//
// Without the list of all ends, the run may be one that another process of the agent started and
// that has ended.
func (r *Runner) prepareStart(s *pendingStart) startAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	order, fenced := r.order()
	until, leased := r.leaseDeadline(now)
	k := r.present.runs.known[s.RunID]
	if s.generation != r.generation || k == nil || k.running || k.stopping {
		return startAttempt{obsolete: true}
	}
	if s.session != r.session() {
		r.withdrawStart(s, k)
		return startAttempt{obsolete: true}
	}
	open := r.zoneOpen(now)
	if fenced && !open {
		r.recordZoneWait(s)
	}
	resolved := r.outcomeKnown(k)
	attempt := startAttempt{order: order, until: until, repeated: k.ordered, wait: retryPause}
	attempt.allowed = fenced && leased && r.present.endsListed && open && r.capacityCurrent(now) && resolved
	switch {
	case !attempt.allowed:
	case s.Suspect && !s.confirmed:
		attempt.allowed, attempt.confirm = false, true
	case r.open.forget.open(now):
		attempt.allowed = false
		if !r.open.forget.unanswered(now) {
			attempt.wait = forgetPause
		}
	default:
		k.ordered, k.fence = true, order.Fence
		if attempt.tracked = r.sharesInstance(); attempt.tracked {
			r.open.startSent(order.Incarnation.Instance, s.RunID)
		}
	}
	return attempt
}

// zoneOpen reports whether the proof that the worker's zone is not cordoned is recent enough. The
// lock must be held.
func (r *Runner) zoneOpen(now time.Time) bool {
	return now.Sub(r.monotonic(r.present.zoneOpenAt)) <= r.settings.zoneProofMaxAge()
}

// recordZoneWait logs and counts, once for each start, that it waits for a proof of the open zone.
// The lock must be held.
func (r *Runner) recordZoneWait(s *pendingStart) {
	if s.zoneLogged {
		return
	}
	s.zoneLogged = true
	r.dependencies.Logger.Info().Str("step", "runner.start").Stringer("task", s.Task).Int("run", s.Run).
		Msg("start waits for proof that the zone is not cordoned")
	r.metrics.zoneWaits.Inc(1)
}

// outcomeKnown reports whether the outcome of the last attempt to start a run is known. An attempt
// without an answer may have crashed the worker. The next attempt would then reach the following
// incarnation with the same instance and crash it too, without being counted. So a list has to
// confirm first that the worker is still in the same incarnation. Where each incarnation has its
// own instance, the order itself ensures this. The lock must be held.
func (r *Runner) outcomeKnown(k *run) bool {
	if k.uncertainAt.IsZero() || !r.sharesInstance() || r.present.listedAt.After(k.uncertainAt) {
		return true
	}
	signal(r.extend)
	return false
}

// tryStart sends a start, and reports whether there is nothing left to try.
func (r *Runner) tryStart(ctx context.Context, s *pendingStart, attempt startAttempt) (done bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	clock, err := r.dependencies.Worker.Start(call, attempt.order, s.Start, attempt.until)
	cancel()
	r.metrics.starts.Inc(outcomeOf(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt.tracked {
		answered := err == nil || errors.Is(err, ErrAlreadyRan) || notApplied(err)
		r.open.startReturned(attempt.order.Incarnation.Instance, s.RunID, time.Now(), answered)
		r.signalForget()
	}
	k := r.present.runs.known[s.RunID]
	if s.generation != r.generation || k == nil {
		return true
	}
	if !attempt.repeated && notApplied(err) {
		k.ordered = false
	}
	r.recordAnswer(attempt.order, clock, err)
	r.dependencies.Logger.Info().Str("step", "runner.start").Stringer("task", s.Task).Int("run", s.Run).
		Int64("fence", attempt.order.Fence).Err(err).Msg("start ordered")
	return r.applyStart(ctx, s, k, err)
}

// applyStart applies the answer to a start, and reports whether there is nothing left to try. The
// lock must be held.
func (r *Runner) applyStart(ctx context.Context, s *pendingStart, k *run, err error) (done bool) {
	switch {
	case err == nil:
		k.running, k.percent, k.startedAt = true, 0, time.Now()
		return true
	case errors.Is(err, ErrOtherIncarnation):
		r.endIncarnation(err)
		return true
	case errors.Is(err, ErrAlreadyRan):
		// An attempt without an answer may have started the run, which may have ended since. Only a
		// list can show it.
		r.beginStop(ctx, s.RunID, reasonAlreadyRan)
		return true
	case errors.Is(err, ErrNoCapacity):
		r.beginStop(ctx, s.RunID, reasonNoCapacity)
		return true
	case errors.Is(err, ErrRejected):
		r.beginStop(ctx, s.RunID, reasonRejected)
		return true
	case errors.Is(err, ErrUnavailable):
		if s.unavailable++; s.unavailable >= maxUnavailableAttempts {
			r.beginStop(ctx, s.RunID, reasonUnavailable)
			return true
		}
	case !notApplied(err):
		k.uncertainAt = time.Now()
	}
	return false
}
