package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// applyListing applies the list of a sync that was sent with the present fence at a given time, when
// the given runs were running. Those that it does not contain have ended. Their ends are in the same
// list, are omitted from it, or can no longer be read. The lock must be held.
func (r *Runner) applyListing(l Listing, sent time.Time, running map[assignment.RunID]bool) {
	r.recordUnreadable(l)
	r.recordOmitted(l)
	changed := r.present.recordListing(l, sent)
	if l.readable() && r.former.voidOrders() {
		signal(r.report)
	}
	clear(r.present.runs.abandoned)
	changed = r.applyRuns(l.Runs) || changed
	changed = r.applyEnds(l.Ends) || changed
	if l.readable() {
		r.dropUnlisted(l, running)
	}
	if l.showsAll() {
		changed = r.present.runs.dropWithdrawn(r.orderFence()) || changed
	}
	if changed {
		signal(r.report)
	}
}

// applyRuns applies the listed runs, and reports whether one of them was unknown. The lock must be
// held.
func (r *Runner) applyRuns(listed []assignment.Run) (changed bool) {
	for _, run := range listed {
		if r.present.runs.hasEnded(run.RunID) {
			// A newer list has overtaken this one.
			continue
		}
		k := r.present.runs.known[run.RunID]
		if k == nil {
			k = newRun()
			r.present.runs.known[run.RunID] = k
			changed = true
		}
		k.running = true
		k.percent = run.Percent
		k.latencyMillis = run.LatencyMillis
		k.listedAt = time.Now()
	}
	return changed
}

// applyEnds applies the listed ends, and reports whether one of them was unknown. The lock must be
// held.
func (r *Runner) applyEnds(listed []assignment.End) (changed bool) {
	for _, e := range listed {
		if e.Number <= r.present.ends.acked {
			r.recordSkippedEnd(e)
			continue
		}
		if _, known := r.present.ends.unstored[e.Number]; !known {
			r.addEnd(e)
			changed = true
		}
		r.present.runs.end(e.RunID)
	}
	return changed
}

// addEnd stores a new end. The lock must be held.
func (r *Runner) addEnd(e assignment.End) {
	if k := r.present.runs.known[e.RunID]; k != nil {
		e.TookMillis = k.age(time.Now()).Milliseconds()
	}
	r.present.ends.unstored[e.Number] = e
	r.metrics.ends.Inc(e.Reason)
	r.dependencies.Logger.Info().Str("step", "runner.list").Stringer("task", e.Task).Int("run", e.Run).
		Str("how", string(e.Reason)).Int64("number", e.Number).Msg("run ended")
}

// dropUnlisted marks as ended the runs that are missing from the worker's list. If the list omits
// ends, theirs may be among them, and the runs are kept until a later list shows it. The lock must
// be held.
func (r *Runner) dropUnlisted(l Listing, running map[assignment.RunID]bool) {
	listed := make(map[assignment.RunID]bool, len(l.Runs))
	for _, run := range l.Runs {
		listed[run.RunID] = true
	}
	for id := range running {
		k := r.present.runs.known[id]
		switch {
		case k == nil || !k.running || listed[id]:
		case l.showsAll():
			r.recordVanishedRun(id, l)
			r.present.runs.end(id)
		default:
			k.awaitsEnd = true
		}
	}
}

// recordUnreadable counts the rows that cannot be read, and logs the first list of a series with
// such rows. The lock must be held.
func (r *Runner) recordUnreadable(l Listing) {
	r.metrics.unreadableRows.Inc(int64(len(l.Unreadable)))
	if !l.readable() && !r.unreadableRows {
		r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("life", r.worker.ID).
			Int("rows", len(l.Unreadable)).Err(l.Unreadable[0]).
			Msg("skipping unreadable rows of the worker's list")
	}
	r.unreadableRows = !l.readable()
}

// recordOmitted counts the lists that may omit ends, and logs the first one of a series. The lock
// must be held.
func (r *Runner) recordOmitted(l Listing) {
	if l.EndsOmitted {
		r.metrics.listsOmittingEnds.Inc(1)
	}
	if l.EndsOmitted && !r.endsOmitted {
		r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("life", r.worker.ID).
			Int("ends", len(l.Ends)).Int64("read_up_to", r.present.ends.acked).
			Msg("worker's list may omit ends; waiting for the leader to store those that it contains")
	}
	r.endsOmitted = l.EndsOmitted
}

// recordSkippedEnd logs and counts an end whose number is already acknowledged although this agent
// has not read it. The lock must be held.
func (r *Runner) recordSkippedEnd(e assignment.End) {
	if r.present.runs.hasEnded(e.RunID) {
		return
	}
	r.metrics.skippedEnds.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("task", e.Task).Int("run", e.Run).
		Str("how", string(e.Reason)).Int64("number", e.Number).Int64("read_up_to", r.present.ends.acked).
		Msg("skipping unread end: its number is already acknowledged")
}

// recordVanishedRun logs and counts a run that is missing from the worker's list and has no end.
// The lock must be held.
func (r *Runner) recordVanishedRun(id assignment.RunID, l Listing) {
	r.metrics.vanishedRuns.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("task", id.Task).Int("run", id.Run).
		Int64("born", l.StartMillis).Int64("read_up_to", r.present.ends.acked).Int("ends", len(l.Ends)).
		Msg("run disappeared from the worker's list without an end")
}
