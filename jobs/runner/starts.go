package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// maxBusy is how often a start is tried on a worker that does nothing, before the leader is told.
const maxBusy = 8

// beginStart starts a run in the background unless it is known already. The lock must be held.
func (r *Runner) beginStart(ctx context.Context, s assignment.Start) {
	if r.life == nil || r.runs[s.RunID] != nil {
		return
	}
	if r.endedTask(s.Task, s.Run) {
		r.insist(s.RunID)
		return
	}
	if r.life.Draining {
		r.refuse(assignment.Refusal{RunID: s.RunID, Reason: "the worker leaves"})
		return
	}
	r.runs[s.RunID] = &known{phase: starting, percent: -1}
	generation := r.generation
	r.work.Go(func() { r.start(ctx, s, generation) })
}

// start tries until it is settled whether the run is there.
func (r *Runner) start(ctx context.Context, s assignment.Start, generation int) {
	waits := false
	for busy := 0; ctx.Err() == nil; {
		r.mu.Lock()
		k := r.runs[s.RunID]
		order, ok := r.order()
		until, leased := r.deadline(time.Now())
		open := r.zoneOpen(time.Now())
		fits := r.roomKnown(time.Now())
		gone := generation != r.generation || k == nil || k.phase == there || k.stopping
		before := !gone && k.ordered
		looked := gone || r.looked(k)
		if !gone && ok && leased && open && fits && looked {
			k.ordered = true
		}
		r.mu.Unlock()
		if gone {
			return
		}
		if ok && !open && !waits {
			waits = true
			r.parts.Logger.Info().Str("step", "runner.start").Stringer("task", s.Task).Int("run", s.Run).
				Msg("start waits until it is known that the zone is not cordoned")
			r.metrics.cordoned.Inc(1)
		}
		if !ok || !leased || !open || !fits || !looked {
			pause.For(ctx, retryPause)
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		clock, err := r.parts.Worker.Start(attempt, order, s, until)
		cancel()
		r.metrics.starts.Inc(outcomeOf(err))
		if !before && didNothing(err) {
			r.takeBack(s.RunID, generation)
		}
		if r.settleStart(ctx, s, generation, clock, err, &busy) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// looked reports whether it is known what became of the last start of a run. A start that got no answer may have crashed the worker, and the
// next one would reach the new start under the same id, again and again, and be counted by nobody. So the worker's list is asked first whether it is
// still in the same life. Where each start has an id of its own, the order itself does that. The lock must be held.
func (r *Runner) looked(k *known) bool {
	if k.doubted.IsZero() || r.life == nil || r.life.ID.StartMillis == 0 || r.listedAt.After(k.doubted) {
		return true
	}
	signal(r.extend)
	return false
}

// takeBack notes that no start of a run was carried out so far.
func (r *Runner) takeBack(id assignment.RunID, generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.runs[id]; generation == r.generation && k != nil {
		k.ordered = false
	}
}

// settleStart takes over the answer to a start, and reports whether there is nothing left to try.
func (r *Runner) settleStart(ctx context.Context, s assignment.Start, generation int, clock int64, err error, busy *int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation != r.generation {
		return true
	}
	k := r.runs[s.RunID]
	if k == nil {
		return true
	}
	r.noteAnswer(clock, err)
	r.parts.Logger.Info().Str("step", "runner.start").Stringer("task", s.Task).Int("run", s.Run).Err(err).Msg("start ordered")
	switch {
	case err == nil:
		k.phase, k.percent, k.began = there, 0, time.Now()
		return true
	case errors.Is(err, ErrOtherIncarnation):
		r.endLife(err)
		return true
	case errors.Is(err, ErrAlreadyRan):
		// It may have been there, started by a call without an answer, and have ended: only a listing can tell.
		r.beginStop(ctx, s.RunID, "old")
		return true
	case errors.Is(err, ErrNoCapacity):
		r.beginStop(ctx, s.RunID, "room")
		return true
	case errors.Is(err, ErrRejected):
		r.beginStop(ctx, s.RunID, "rejected")
		return true
	case errors.Is(err, ErrUnavailable):
		if *busy++; *busy >= maxBusy {
			r.beginStop(ctx, s.RunID, "busy")
			return true
		}
	case !didNothing(err):
		k.doubted = time.Now()
	}
	return false
}

// insist tells the leader once more that a run is over which it still asks for, unless the end is about to be told
// anyway. Where the order was only overtaken by the news of the end, the leader passes over it. The lock must be held.
func (r *Runner) insist(id assignment.RunID) {
	for _, e := range r.ends {
		if e.RunID == id {
			return
		}
	}
	if _, told := r.refused[id]; !told {
		r.refuse(assignment.Refusal{RunID: id, Reason: "over"})
	}
}

// refuse notes that a run will never start here. The lock must be held.
func (r *Runner) refuse(refused assignment.Refusal) {
	r.noteEnded(refused.RunID)
	r.refused[refused.RunID] = refusal{Refusal: refused, told: r.sequence}
	signal(r.report)
}

// beginStop stops a run in the background; if it turns out that it never was there, it is refused with the reason. The
// lock must be held.
func (r *Runner) beginStop(ctx context.Context, id assignment.RunID, reason string) {
	if r.life == nil {
		return
	}
	k := r.runs[id]
	if k == nil {
		k = &known{phase: starting, percent: -1}
		r.runs[id] = k
	}
	if k.stopping {
		return
	}
	k.stopping = true
	generation := r.generation
	r.work.Go(func() { r.stop(ctx, id, generation, reason) })
}

// stop tries until the worker has heard it, and then looks whether the run was there at all.
func (r *Runner) stop(ctx context.Context, id assignment.RunID, generation int, reason string) {
	for ctx.Err() == nil {
		r.mu.Lock()
		order, ok := r.order()
		gone := generation != r.generation || r.runs[id] == nil
		r.mu.Unlock()
		if gone {
			return
		}
		if !ok {
			pause.For(ctx, retryPause)
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		clock, err := r.parts.Worker.Stop(attempt, order, id)
		cancel()
		r.metrics.stops.Inc(outcomeOf(err))
		r.mu.Lock()
		if generation != r.generation {
			r.mu.Unlock()
			return
		}
		r.noteAnswer(clock, err)
		r.parts.Logger.Info().Str("step", "runner.stop").Stringer("task", id.Task).Int("run", id.Run).Err(err).Msg("stop ordered")
		if errors.Is(err, ErrOtherIncarnation) {
			r.endLife(err)
		}
		r.mu.Unlock()
		if err == nil && r.settleStop(ctx, id, generation, reason) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// settleStop looks whether a run that was told to stop is there. If it is neither running nor among the ends, it never
// was, and never will be.
func (r *Runner) settleStop(ctx context.Context, id assignment.RunID, generation int, reason string) bool {
	r.mu.Lock()
	order, ok := r.order()
	r.mu.Unlock()
	if !ok {
		return false
	}
	attempt, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, clock, err := r.hold(attempt, order, 0, 0, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation != r.generation || r.runs[id] == nil {
		return true
	}
	if errors.Is(err, ErrOtherIncarnation) {
		r.endLife(err)
		return true
	}
	if err != nil || order.Fence != r.fenceOfLife() {
		return false
	}
	r.noteClock(clock)
	for _, run := range listing.Runs {
		if run.RunID == id {
			// It ends soon; the listings will show it.
			r.runs[id].phase = there
			return true
		}
	}
	r.takeListing(listing, nil)
	if !listing.whole() {
		return false
	}
	if r.runs[id] != nil {
		r.refuse(assignment.Refusal{RunID: id, Reason: reason})
	}
	return true
}
