package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// applyListing applies a list from the worker. Runs that were running when the list was requested
// and that it does not contain have ended. Their ends are in the same list, or can no longer be
// read. The lock must be held.
func (r *Runner) applyListing(l Listing, running map[assignment.RunID]bool) {
	r.recordUnreadable(l)
	changed := !r.present.complete
	r.present.complete = true
	if l.readable() && r.former.voidOrders() {
		signal(r.report)
	}
	clear(r.present.runs.abandoned)
	changed = r.applyRuns(l.Runs) || changed
	changed = r.applyEnds(l.Ends) || changed
	if l.readable() {
		r.dropUnlisted(l, running)
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

// dropUnlisted marks as ended the runs that are missing from the worker's list. The lock must be
// held.
func (r *Runner) dropUnlisted(l Listing, running map[assignment.RunID]bool) {
	listed := make(map[assignment.RunID]bool, len(l.Runs))
	for _, run := range l.Runs {
		listed[run.RunID] = true
	}
	for id := range running {
		if k := r.present.runs.known[id]; k != nil && k.running && !listed[id] {
			r.recordVanishedRun(id, l)
			r.present.runs.end(id)
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
