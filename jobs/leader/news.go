package leader

import (
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// decides reports whether a poll brings something to decide on beside what the one before it said: an end, a refusal, a life, another room, a run that is not
// wanted or has gone without a word. That runs have come on, or that what was wanted has begun, is no such news. The lock of the
// leases must be held.
func (p *agentLease) decides(poll assignment.Poll) bool {
	before := p.poll
	switch {
	case poll.Complete != before.Complete, poll.Unresponsive != before.Unresponsive, (poll.FailingMillis > 0) != (before.FailingMillis > 0):
		return true
	case !sameLife(poll.State, before.State), !slices.Equal(poll.ClosingIncarnations, before.ClosingIncarnations):
		return true
	case len(poll.EndedIncarnations) > 0 && !slices.EqualFunc(poll.EndedIncarnations, before.EndedIncarnations, func(a, b assignment.IncarnationEnd) bool { return a.ID == b.ID }):
		return true
	}
	return lastEnd(poll) > lastEnd(before) || p.brings(poll)
}

// sameLife reports whether two lives are one, with the same room and place, and leave alike.
func sameLife(a, b *assignment.WorkerState) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID && a.Draining == b.Draining && a.Capacity == b.Capacity && a.Service == b.Service && a.Zone == b.Zone && a.Rack == b.Rack &&
		slices.Equal(a.Labels, b.Labels)
}

// lastEnd is the highest number of a poll's ends. They are in order.
func lastEnd(poll assignment.Poll) int64 {
	if len(poll.Ends) == 0 {
		return 0
	}
	return poll.Ends[len(poll.Ends)-1].Number
}

// brings reports whether a poll brings refusals or runs to decide on: a refusal that it did not tell before, a run that is not wanted, or the lack of
// one that it listed before and of which it tells no end.
func (p *agentLease) brings(poll assignment.Poll) bool {
	told := map[assignment.RunID]bool{}
	for _, r := range p.poll.Refused {
		told[r.RunID] = true
	}
	for _, r := range poll.Refused {
		if !told[r.RunID] {
			return true
		}
	}
	gone := make(map[assignment.RunID]bool, len(p.poll.Runs))
	for _, r := range p.poll.Runs {
		gone[r.RunID] = true
	}
	for _, r := range poll.Runs {
		if w, wanted := p.want.Runs[r.Task]; !gone[r.RunID] && (!wanted || w.Start.Run != r.Run) {
			return true
		}
		delete(gone, r.RunID)
	}
	for _, e := range poll.Ends {
		delete(gone, e.RunID)
	}
	for _, r := range poll.Refused {
		delete(gone, r.RunID)
	}
	return len(gone) > 0
}
