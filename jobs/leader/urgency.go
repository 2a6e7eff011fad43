package leader

import (
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// needsDecision reports whether a poll contains a change that requires a decision at once. Progress
// of runs and newly listed runs that are desired can wait for the next decision.
func (w *worker) needsDecision(poll assignment.Poll) bool {
	before := w.reports.newest
	switch {
	case poll.Complete != before.Complete,
		poll.Unresponsive != before.Unresponsive,
		(poll.FailingMillis > 0) != (before.FailingMillis > 0),
		!sameState(poll.State, before.State),
		!slices.Equal(poll.ClosingIncarnations, before.ClosingIncarnations),
		hasNewIncarnationEnds(poll, before),
		lastEnd(poll) > lastEnd(before),
		hasNewRefusal(poll, before):
		return true
	}
	return w.hasUnexpectedRuns(poll, before)
}

// sameState reports whether two states belong to the same incarnation and are equivalent for a
// decision.
func sameState(a, b *assignment.WorkerState) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID &&
		a.Draining == b.Draining &&
		a.Capacity == b.Capacity &&
		a.Service == b.Service &&
		a.Zone == b.Zone &&
		a.Rack == b.Rack &&
		slices.Equal(a.Labels, b.Labels)
}

func hasNewIncarnationEnds(poll, before assignment.Poll) bool {
	sameID := func(a, b assignment.IncarnationEnd) bool { return a.ID == b.ID }
	return len(poll.EndedIncarnations) > 0 &&
		!slices.EqualFunc(poll.EndedIncarnations, before.EndedIncarnations, sameID)
}

// lastEnd returns the number of the last end in a poll, or zero if there are none. Ends are listed
// in ascending order.
func lastEnd(poll assignment.Poll) int64 {
	if len(poll.Ends) == 0 {
		return 0
	}
	return poll.Ends[len(poll.Ends)-1].Number
}

func hasNewRefusal(poll, before assignment.Poll) bool {
	old := map[assignment.RunID]bool{}
	for _, r := range before.Refused {
		old[r.RunID] = true
	}
	return slices.ContainsFunc(poll.Refused, func(r assignment.Refusal) bool { return !old[r.RunID] })
}

// hasUnexpectedRuns reports whether a poll lists a new run that is not desired, or omits a run of
// the previous poll without reporting its end or refusal.
func (w *worker) hasUnexpectedRuns(poll, before assignment.Poll) bool {
	missing := make(map[assignment.RunID]bool, len(before.Runs))
	for _, r := range before.Runs {
		missing[r.RunID] = true
	}
	for _, r := range poll.Runs {
		d, desired := w.desired.Runs[r.Task]
		if !missing[r.RunID] && (!desired || d.Start.Run != r.Run) {
			return true
		}
		delete(missing, r.RunID)
	}
	for _, e := range poll.Ends {
		delete(missing, e.RunID)
	}
	for _, r := range poll.Refused {
		delete(missing, r.RunID)
	}
	return len(missing) > 0
}
