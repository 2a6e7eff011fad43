package runner

import (
	"reflect"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// pollHistory is what the agent has to know of its polls.
type pollHistory struct {
	// sequence is the number of the newest poll.
	sequence int64
	// full is the newest poll that described the worker in full, and fullAt when it was made.
	full   assignment.Poll
	fullAt time.Time
	// base is the number of the newest such poll that the leader has; zero if it has none.
	base int64
}

// shorten returns a poll that says only how far runs have come, if nothing else has changed
// since the newest full poll and the leader has that one. Otherwise it returns p, which is the
// newest full poll from now on. The lock must be held.
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

// delta says how far runs have come since the newest full poll. It returns false if more has
// changed, or if the leader does not have that poll.
func (h *pollHistory) delta(p assignment.Poll, now time.Time) (assignment.Delta, bool) {
	base := h.full
	if base.Sequence == 0 || base.Sequence != h.base || base.Term != p.Term || !sameButRuns(p, base) {
		return assignment.Delta{}, false
	}
	if len(p.Runs) != len(base.Runs) {
		return assignment.Delta{}, false
	}
	d := assignment.Delta{Sequence: base.Sequence, Millis: now.Sub(h.fullAt).Milliseconds()}
	for _, b := range base.Runs {
		i := slices.IndexFunc(p.Runs, func(run assignment.Run) bool { return run.RunID == b.RunID })
		if i < 0 || !sameKnowledge(b, p.Runs[i]) {
			return assignment.Delta{}, false
		}
		if b.ListedMillis > 0 {
			d.ListedMillis = p.Runs[i].ListedMillis - b.ListedMillis
		}
		d.Percents = append(d.Percents, p.Runs[i].Percent)
	}
	return d, true
}

// sameKnowledge reports whether both polls know the same of a run: its progress, and when it
// was listed.
func sameKnowledge(a, b assignment.Run) bool {
	return a.Percent < 0 == (b.Percent < 0) && (a.ListedMillis == 0) == (b.ListedMillis == 0)
}

// sameButRuns reports whether two polls describe the same worker, but for its runs, and neither
// reports an event: those are reported in full.
func sameButRuns(a, b assignment.Poll) bool {
	return a.State != nil && !a.State.Draining && reflect.DeepEqual(a.State, b.State) &&
		a.Complete == b.Complete && a.AckedEnd == b.AckedEnd && uneventful(a) && uneventful(b)
}

// uneventful reports whether a poll reports no ends, refusals, ended incarnations, open starts or
// failures.
func uneventful(p assignment.Poll) bool {
	events := len(p.Ends) + len(p.Refused) + len(p.EndedIncarnations) + len(p.ClosingIncarnations) + len(p.OpenStarts)
	return events == 0 && !p.Unresponsive && p.FailingMillis == 0 && p.RefusedFence == 0 && p.NoStartsMillis == 0
}
