package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// stopInCordonedZones stops runs that were placed in an availability zone before it was cordoned
// and are not known to have started: their agent may hold them back until the zone is open again. A
// gang is stopped as a whole, since its members can't work without each other. Started runs
// continue.
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

// stopOverCapacity stops runs on a worker whose capacity has shrunk, as far as they no longer fit
// and are not known to have started, since their agent holds them back. Started runs continue: the
// worker can sustain them, and a stop would lose their work.
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

// overCapacity reports whether the placed runs exceed the node's capacity, not counting those that
// are stopping.
func (n *node) overCapacity() bool { return !job.Resources{}.FitsIn(n.freeAfterStops) }

const (
	// minStall is the shortest time without progress after which a run counts as stalled.
	minStall = 2500 * time.Millisecond
	// stallDivisor divides the estimate of a task. Progress is reported in whole percents, so long
	// tasks need a longer limit.
	stallDivisor = 8
	// donePercent is the percentage at which a run has done its own work: a member of a gang then
	// waits for the others.
	donePercent = 99
)

// stallAfter returns how long a run of a task may make no progress.
func stallAfter(estimate time.Duration) time.Duration {
	return max(minStall, estimate/stallDivisor)
}

// stopStalled stops runs that make no progress, so that they restart elsewhere, and quarantines
// their worker. A member of a gang also makes no progress while it waits for the others: until all
// have started, which takes less than the stall limit, and after its own work is done.
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
				p.quarantineWorker(r)
			}
		}
	}
}

const (
	// leaveMargin is how long before its worker may leave a run must end in order not to be
	// stopped.
	leaveMargin = 200 * time.Millisecond
	// checkpointLead is how long before its worker may leave a run that saves checkpoints is
	// stopped. It is longer than a stop takes.
	checkpointLead = 1300 * time.Millisecond
)

// stopOnLeavingWorkers stops runs that can't end before their worker leaves. Runs that lose their
// work anyway are stopped at once, those that save checkpoints as late as a checkpoint allows.
// Long-running tasks are not stopped: they serve until the worker leaves.
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
				p.stop(r, workerDraining)
			case !p.now.Before(checkpointAt):
				p.stop(r, workerDrainingSaved)
			default:
				p.wakeAt(checkpointAt)
			}
		}
	}
}
