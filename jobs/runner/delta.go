package runner

import (
	"reflect"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// pollHistory holds what the agent keeps about its past polls.
type pollHistory struct {
	// sequence is the number of the newest poll.
	sequence int64
	// full is the newest poll with a full description of the worker, and fullAt the time at which
	// it was made.
	full   assignment.Poll
	fullAt time.Time
	// base is the number of the newest full poll that the leader has; zero if it has none.
	base int64
}

// shorten returns a poll that reports only the progress of the runs, if nothing else has changed
// since the newest full poll and the leader has that poll. Otherwise it stores p as the newest full
// poll and returns it. The lock must be held.
func (r *Runner) shorten(p assignment.Poll) assignment.Poll {
	now := time.Now()
	delta, ok := r.polls.delta(p, now)
	if !ok {
		r.polls.full, r.polls.fullAt = p, now
		return p
	}
	return assignment.Poll{
		Worker:   p.Worker,
		Agent:    p.Agent,
		Sequence: p.Sequence,
		Term:     p.Term,
		Fence:    p.Fence,
		Wait:     p.Wait,
		Delta:    &delta,
	}
}

// delta returns the progress of the runs since the newest full poll. It returns false if anything
// else has changed, or if the leader does not have that poll.
func (h *pollHistory) delta(p assignment.Poll, now time.Time) (assignment.Delta, bool) {
	base := h.full
	if base.Sequence == 0 || base.Sequence != h.base || base.Term != p.Term || !equalExceptRuns(p, base) {
		return assignment.Delta{}, false
	}
	if len(p.Runs) != len(base.Runs) {
		return assignment.Delta{}, false
	}
	d := assignment.Delta{BaseSequence: base.Sequence, ElapsedMillis: now.Sub(h.fullAt).Milliseconds()}
	for _, b := range base.Runs {
		i := slices.IndexFunc(p.Runs, func(run assignment.Run) bool { return run.RunID == b.RunID })
		if i < 0 || !sameFieldsKnown(b, p.Runs[i]) {
			return assignment.Delta{}, false
		}
		if b.ListedMillis > 0 {
			d.ListedMillis = p.Runs[i].ListedMillis - b.ListedMillis
		}
		d.Percents = append(d.Percents, p.Runs[i].Percent)
	}
	return d, true
}

// sameFieldsKnown reports whether the progress and the listing time of a run are both known, or
// both unknown, in two polls.
func sameFieldsKnown(a, b assignment.Run) bool {
	return a.Percent < 0 == (b.Percent < 0) && (a.ListedMillis == 0) == (b.ListedMillis == 0)
}

// equalExceptRuns reports whether two polls have equal descriptions of the worker, apart from its
// runs, and neither reports an event. Events are reported in full.
func equalExceptRuns(a, b assignment.Poll) bool {
	return a.State != nil && !a.State.Draining && reflect.DeepEqual(a.State, b.State) &&
		a.Complete == b.Complete && a.AckedEnd == b.AckedEnd && reportsNoEvents(a) && reportsNoEvents(b)
}

// reportsNoEvents reports whether a poll contains no ends, refusals, ended incarnations, open
// starts or failures, and is not partial.
func reportsNoEvents(p assignment.Poll) bool {
	events := len(p.Ends) + len(p.Refused) + len(p.EndedIncarnations) + len(p.ClosingIncarnations) + len(p.OpenStarts)
	failing := p.Unresponsive || p.FailingMillis != 0 || p.RefusedFence != 0 || p.NoStartsMillis != 0
	return events == 0 && !failing && !p.Partial
}
