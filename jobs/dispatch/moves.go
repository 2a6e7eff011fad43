package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// stopInCordonedZones stops what was placed in an availability zone before it was cordoned, and
// is not known to have started: its agent may hold it back until the zone is open again. A gang
// is stopped whole, since its members can't work without the others. What has started goes on.
func (p *plan) stopInCordonedZones() {
	for _, n := range p.nodes {
		if !n.cordoned {
			continue
		}
		for _, r := range n.runs {
			if r.started() {
				continue
			}
			for _, member := range p.withGang(r) {
				p.stop(member, zoneCordoned)
			}
		}
	}
}

// stopOverCapacity stops what was placed on a worker whose capacity has shrunk, as far as it
// doesn't fit any more and is not known to have started: its agent holds it back. What has
// started goes on: the worker can bear it, and a stop would lose its work.
func (p *plan) stopOverCapacity() {
	for _, n := range p.nodes {
		if !n.overCapacity() {
			continue
		}
		slices.SortFunc(n.runs, func(a, b *running) int {
			return cmp.Or(
				cmp.Compare(b.tracked.job.Priority, a.tracked.job.Priority),
				cmp.Compare(b.name.String(), a.name.String()),
			)
		})
		for _, r := range n.runs {
			if r.started() || !n.overCapacity() {
				continue
			}
			for _, member := range p.withGang(r) {
				p.stop(member, capacityShrunk)
			}
		}
	}
}

// overCapacity reports whether more is placed on the node than it has, without what was told to
// stop.
func (n *node) overCapacity() bool { return !job.Resources{}.FitsIn(n.freeAfterStops) }

const (
	// minStall is the shortest time without progress after which a run counts as stalled.
	minStall = 2500 * time.Millisecond
	// stallDivisor divides the estimate of a task: progress comes in whole percents, so long
	// tasks get longer.
	stallDivisor = 8
	// donePercent is the percentage from which on a run has done its own work: a member of a
	// gang then waits for the others.
	donePercent = 99
)

// stallAfter is how long a run of a task may show no progress.
func stallAfter(estimate time.Duration) time.Duration {
	return max(minStall, estimate/stallDivisor)
}

// stopStalled stops runs that make no progress, so that they start elsewhere, and blames their
// worker. A member of a gang also stands still while it waits for the others: until they have
// come, which takes less than a stall, and after its own work is done.
func (p *plan) stopStalled() {
	for _, n := range p.nodes {
		if p.now.Sub(n.heardAt) > p.silentAfter {
			continue
		}
		for _, r := range n.runs {
			step := r.step()
			o, known := r.observed()
			if !known || r.stopping || step.LongRunning || o.percent < 0 || o.percent >= donePercent {
				continue
			}
			if p.now.Sub(o.advancedAt) > stallAfter(step.Estimate) {
				p.stop(r, stalled)
				p.blameWorker(r)
			}
		}
	}
}

const (
	// leaveMargin is how long before its worker may leave a run must end to be left alone.
	leaveMargin = 200 * time.Millisecond
	// checkpointLead is how long before that a run that saves checkpoints is stopped; it is
	// longer than a stop takes.
	checkpointLead = 1300 * time.Millisecond
)

// stopOnLeavingWorkers stops runs that can't end before their worker leaves: those that lose
// their work anyway at once, the others as late as a checkpoint allows. Long-running tasks
// stay: they serve until the worker goes.
func (p *plan) stopOnLeavingWorkers() {
	for _, n := range p.nodes {
		if !n.state.Draining || n.leavesAt.IsZero() {
			continue
		}
		last, checkpointAt := n.leavesAt.Add(-leaveMargin), n.leavesAt.Add(-checkpointLead)
		for _, r := range n.runs {
			step := r.step()
			switch {
			case step.LongRunning || r.stopping || !r.endsAt.After(last):
			case !step.Checkpoint:
				p.stop(r, workerLeaves)
			case !p.now.Before(checkpointAt):
				p.stop(r, workerLeavesSaved)
			default:
				p.wakeAt(checkpointAt)
			}
		}
	}
}
