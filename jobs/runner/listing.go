package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// listLoop asks the worker what it runs, again and again; an answer comes as soon as a run ends.
func (r *Runner) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.list(ctx, r.nextWait()) {
			r.fenceAwaited(ctx)
			pause.For(ctx, retryPause)
		}
	}
}

// nextWait is how long the next listing may wait for an end. After a silence none waits: the answer says whether the worker is still in the same life,
// and with a wait a new start under the same id was found a second late.
func (r *Runner) nextWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing.IsZero() {
		return 0
	}
	return listWait
}

// extendLoop extends the lease when the leader has given a longer one, and has kept ends forgotten.
func (r *Runner) extendLoop(ctx context.Context) {
	for {
		select {
		case <-r.extend:
		case <-ctx.Done():
			return
		}
		if !r.list(ctx, 0) {
			pause.For(ctx, retryPause)
			r.mu.Lock()
			again := r.life != nil
			r.mu.Unlock()
			if again {
				signal(r.extend)
			}
		}
	}
}

// list makes one call to the worker and takes its answer over. It returns false if that failed.
func (r *Runner) list(ctx context.Context, wait time.Duration) bool {
	r.mu.Lock()
	order, ok := r.order()
	now := time.Now()
	until, _ := r.deadline(now)
	seen, generation := r.unforgotten(), r.generation
	before := r.snapshot()
	r.mu.Unlock()
	if !ok {
		return false
	}
	attempt, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	listing, clock, err := r.hold(attempt, order, until, seen, wait)
	r.metrics.holds.Inc(outcomeOf(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation != r.generation {
		return true
	}
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		r.endLife(err)
		return false
	case err != nil:
		r.noteFailing(err)
		r.judgeSilence(time.Now())
		return false
	}
	fresh := r.readAt.IsZero()
	r.noteClock(clock)
	r.forgotten = max(r.forgotten, seen)
	if order.Fence != r.fenceOfLife() {
		return true
	}
	if fresh {
		// The first answer told the clock; only now a lease can be given.
		signal(r.extend)
	}
	r.takeListing(listing, before)
	if now.After(r.listedAt) {
		r.listedAt = now
	}
	return true
}

// unforgotten is up to which end the worker is told to forget; zero if it has, and as long as it gives no answer. Such a call that a new start under the same
// id carries out makes that forget ends that nobody has read, so none is sent without need, and none before the worker has shown
// that it is still the one whose ends were read. The lock must be held.
func (r *Runner) unforgotten() int64 {
	if r.seen == r.forgotten || !r.failing.IsZero() {
		return 0
	}
	return r.seen
}

// snapshot is the set of runs that were there before a call. The lock must be held.
func (r *Runner) snapshot() map[assignment.RunID]bool {
	before := make(map[assignment.RunID]bool, len(r.runs))
	for id, k := range r.runs {
		if k.phase == there {
			before[id] = true
		}
	}
	return before
}

// takeListing takes over what the worker says. Runs that were there before the call and are not listed have ended; their
// ends are listed too, or were forgotten. The lock must be held.
func (r *Runner) takeListing(l Listing, before map[assignment.RunID]bool) {
	r.noteUnreadable(l)
	news := !r.listed
	r.listed = true
	if l.whole() {
		r.settleLives()
	}
	clear(r.givenUp)
	listed := make(map[assignment.RunID]bool, len(l.Runs))
	for _, run := range l.Runs {
		listed[run.RunID] = true
		if r.ended[run.Task] >= run.Run {
			// An answer that was overtaken by a newer one.
			continue
		}
		k := r.runs[run.RunID]
		if k == nil {
			k = &known{}
			r.runs[run.RunID] = k
			news = true
		}
		k.phase, k.percent, k.saved, k.gauge, k.listed = there, run.Percent, run.Checkpoint, run.LatencyMillis, time.Now()
	}
	for _, e := range l.Ends {
		if e.Number <= r.seen {
			r.notePassedOver(e)
			continue
		}
		if _, ok := r.ends[e.Number]; !ok {
			if k := r.runs[e.RunID]; k != nil {
				e.TookMillis = k.age().Milliseconds()
			}
			r.ends[e.Number] = e
			r.metrics.ends.Inc(e.Reason)
			news = true
			r.parts.Logger.Info().Str("step", "runner.list").Stringer("task", e.Task).Int("run", e.Run).Str("how", string(e.Reason)).
				Int64("number", e.Number).Msg("run ended")
		}
		r.noteEnded(e.RunID)
	}
	for id := range before {
		if k := r.runs[id]; k != nil && k.phase == there && !listed[id] && l.whole() {
			r.noteGone(id, l)
			r.noteEnded(id)
		}
	}
	if news {
		signal(r.report)
	}
}

// noteUnreadable says what of a list can't be read, when that begins. The lock must be held.
func (r *Runner) noteUnreadable(l Listing) {
	r.metrics.unreadable.Inc(int64(len(l.Unreadable)))
	if !l.whole() && !r.garbled {
		r.parts.Logger.Warn().Str("step", "runner.list").Stringer("life", r.life.ID).Int("rows", len(l.Unreadable)).Err(l.Unreadable[0]).
			Msg("rows of the worker's list can't be read; the others hold")
	}
	r.garbled = !l.whole()
}

// notePassedOver says that an end counts as read by its number, and that this agent has not read it. The lock must be held.
func (r *Runner) notePassedOver(e assignment.End) {
	if r.endedTask(e.Task, e.Run) {
		return
	}
	r.metrics.passedOver.Inc(1)
	r.parts.Logger.Warn().Str("step", "runner.list").Stringer("task", e.Task).Int("run", e.Run).Str("how", string(e.Reason)).Int64("number", e.Number).
		Int64("read_up_to", r.seen).Msg("end is passed over: its number counts as read")
}

// noteGone says that a run is gone from a worker's list. Its end is told in the same list, or nobody will read it. The lock must be held.
func (r *Runner) noteGone(id assignment.RunID, l Listing) {
	r.metrics.gone.Inc(1)
	r.parts.Logger.Warn().Str("step", "runner.list").Stringer("task", id.Task).Int("run", id.Run).Int64("born", l.StartMillis).Int64("read_up_to", r.seen).
		Int("ends", len(l.Ends)).Msg("run is gone from the list without an end")
}

func (r *Runner) noteEnded(id assignment.RunID) {
	delete(r.runs, id)
	r.ended[id.Task] = max(r.ended[id.Task], id.Run)
}

// judgeSilence gives up what runs on a worker that gives no answer, once every lease that it may have heard of is over:
// none of it runs any more, and none of it ever starts. What ended there before is listed when the worker answers again.
// The lock must be held.
func (r *Runner) judgeSilence(now time.Time) {
	if r.life == nil || len(r.runs) == 0 || now.Sub(r.answers) <= silentAfter {
		return
	}
	left := max(r.told.Sub(r.answers), 0)
	over := r.answers.Add(time.Duration(float64(left) * (1 + r.settings.Drift))).Add(silenceMargin)
	if !now.After(over) {
		return
	}
	r.parts.Logger.Warn().Str("step", "runner.judgeSilence").Stringer("life", r.life.ID).Int("runs", len(r.runs)).
		Msg("worker is silent and its lease is over")
	for id, k := range r.runs {
		if k.phase == there || k.ordered {
			r.givenUp[id] = k.phase == there
		}
		r.refuse(assignment.Refusal{
			RunID: id, Reason: "the worker is silent and its lease is over", Uncertain: k.phase == there || k.ordered, Started: k.phase == there,
		})
	}
}

// silenceMargin is added to the end of a silent worker's lease.
const silenceMargin = 300 * time.Millisecond

// endedTask reports whether the run, or a later one of its task, has ended in this life. The lock must be held.
func (r *Runner) endedTask(name job.TaskName, run int) bool { return r.ended[name] >= run }
