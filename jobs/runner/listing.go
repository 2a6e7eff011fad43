package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// takeList takes over what the worker listed. Of the runs that were running when the list was
// asked for, those that are not listed have ended; their ends are listed too, or nobody will
// read them. The lock must be held.
func (r *Runner) takeList(l Listing, running map[assignment.RunID]bool) {
	r.noteUnreadable(l)
	news := !r.present.complete
	r.present.complete = true
	if l.whole() && r.former.voidOrders() {
		signal(r.report)
	}
	clear(r.present.runs.abandoned)
	news = r.takeRuns(l.Runs) || news
	news = r.takeEnds(l.Ends) || news
	if l.whole() {
		r.dropUnlisted(l, running)
	}
	if news {
		signal(r.report)
	}
}

// takeRuns takes over the listed runs, and reports whether one of them was not known. The lock
// must be held.
func (r *Runner) takeRuns(listed []assignment.Run) (news bool) {
	for _, run := range listed {
		if r.present.runs.over(run.RunID) {
			// A newer list has overtaken this one.
			continue
		}
		k := r.present.runs.known[run.RunID]
		if k == nil {
			k = newRun()
			r.present.runs.known[run.RunID] = k
			news = true
		}
		k.running = true
		k.percent = run.Percent
		k.latencyMillis = run.LatencyMillis
		k.listedAt = time.Now()
	}
	return news
}

// takeEnds takes over the listed ends, and reports whether one of them was not known. The lock
// must be held.
func (r *Runner) takeEnds(listed []assignment.End) (news bool) {
	for _, e := range listed {
		if e.Number <= r.present.ends.acked {
			r.noteSkipped(e)
			continue
		}
		if _, known := r.present.ends.unstored[e.Number]; !known {
			r.takeEnd(e)
			news = true
		}
		r.present.runs.end(e.RunID)
	}
	return news
}

// takeEnd takes over an end that was not known. The lock must be held.
func (r *Runner) takeEnd(e assignment.End) {
	if k := r.present.runs.known[e.RunID]; k != nil {
		e.TookMillis = k.age(time.Now()).Milliseconds()
	}
	r.present.ends.unstored[e.Number] = e
	r.metrics.ends.Inc(e.Reason)
	r.dependencies.Logger.Info().Str("step", "runner.list").Stringer("task", e.Task).Int("run", e.Run).
		Str("how", string(e.Reason)).Int64("number", e.Number).Msg("run ended")
}

// dropUnlisted ends the runs that are gone from the worker's list. The lock must be held.
func (r *Runner) dropUnlisted(l Listing, running map[assignment.RunID]bool) {
	listed := make(map[assignment.RunID]bool, len(l.Runs))
	for _, run := range l.Runs {
		listed[run.RunID] = true
	}
	for id := range running {
		if k := r.present.runs.known[id]; k != nil && k.running && !listed[id] {
			r.noteGone(id, l)
			r.present.runs.end(id)
		}
	}
}

// noteUnreadable logs rows that can't be read, when the first list with such rows comes. The
// lock must be held.
func (r *Runner) noteUnreadable(l Listing) {
	r.metrics.unreadableRows.Inc(int64(len(l.Unreadable)))
	if !l.whole() && !r.unreadableRows {
		r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("life", r.worker.ID).
			Int("rows", len(l.Unreadable)).Err(l.Unreadable[0]).
			Msg("rows of the worker's list can't be read; the others are taken")
	}
	r.unreadableRows = !l.whole()
}

// noteSkipped logs an end that counts as stored by its number though this agent has not read
// it. The lock must be held.
func (r *Runner) noteSkipped(e assignment.End) {
	if r.present.runs.over(e.RunID) {
		return
	}
	r.metrics.skippedEnds.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("task", e.Task).Int("run", e.Run).
		Str("how", string(e.Reason)).Int64("number", e.Number).Int64("read_up_to", r.present.ends.acked).
		Msg("end is skipped: its number counts as stored")
}

// noteGone logs a run that is gone from the worker's list without an end. The lock must be held.
func (r *Runner) noteGone(id assignment.RunID, l Listing) {
	r.metrics.goneRuns.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.list").Stringer("task", id.Task).Int("run", id.Run).
		Int64("born", l.StartMillis).Int64("read_up_to", r.present.ends.acked).Int("ends", len(l.Ends)).
		Msg("run is gone from the list without an end")
}
