package dispatch

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// avoidFailedFor is how long a job's tasks are not placed on a worker where one of them failed.
	avoidFailedFor = 3 * time.Second
	// maxInterferenceWait is how long a task waits for a worker without tasks that it disturbs or
	// that disturb it. Afterwards it may share one, and the agent there throttles best-effort
	// work.
	maxInterferenceWait = 1500 * time.Millisecond
)

// mayPlace reports whether the unit may be placed on the node, regardless of the free capacity
// there.
func (p *plan) mayPlace(w waitingUnit, n *node) bool {
	return allowed(w, n) &&
		!(w.leavesHeadroom && p.headroom[n]) &&
		p.trusts(w, n) &&
		!(w.avoidsLeaving && n.likelyToLeave) &&
		p.fitsReservation(w, n) &&
		p.hasPermit(w, n) &&
		!p.failedRecently(w, n) &&
		p.mayShare(w, n) &&
		!p.mustIsolate(w, n)
}

// allowed reports whether the node's service and labels allow tasks of the unit.
func allowed(w waitingUnit, n *node) bool {
	return n.state.Service == w.tracked.job.Service &&
		(w.step.RequiredLabel == "" || slices.Contains(n.state.Labels, w.step.RequiredLabel))
}

// hasPermit reports whether the unit has a permit for the node, or needs none.
func (p *plan) hasPermit(w waitingUnit, n *node) bool {
	if !w.tracked.job.NeedsPermit {
		return true
	}
	_, ok := p.permits.permit(stepKey(w.first()), n.state.ID, p.now)
	return ok
}

// failedRecently reports whether a task of the job recently failed on the node.
func (p *plan) failedRecently(w waitingUnit, n *node) bool {
	at, ok := w.tracked.failedAt[n.name]
	return p.has(AvoidFailed) && ok && p.now.Sub(at) < avoidFailedFor
}

// mayShare reports whether the unit's tasks may run beside those on the node, considering mutual
// interference.
func (p *plan) mayShare(w waitingUnit, n *node) bool {
	since := w.tracked.job.Accepted
	if due := w.tracked.job.DueAt(w.unit.Round); due.After(since) {
		since = due
	}
	return !disturbs(w.step, n) || p.now.Sub(since) >= maxInterferenceWait
}

// disturbs reports whether placing the step's tasks on the node would put best-effort tasks beside
// tasks with a latency target.
func disturbs(step job.Step, n *node) bool {
	if !step.BestEffort && step.LatencyTarget == 0 {
		return false
	}
	return slices.ContainsFunc(n.runs, func(r *running) bool {
		other := r.step()
		return step.BestEffort && other.LatencyTarget > 0 || step.LatencyTarget > 0 && other.BestEffort
	})
}

// countOn returns how many tasks of the unit fit into the free capacity of a node, up to limit.
func (p *plan) countOn(w waitingUnit, n *node, free job.Resources, limit int) int {
	free = p.usableCapacity(w, n, free)
	limit = min(limit, tasksAllowed(w, n))
	if n.onProbation {
		limit = min(limit, 1)
	}
	return tasksFitting(w.step.Reserved(), free, limit)
}

// tasksAllowed returns how many more tasks of the unit's step may be placed on the node.
func tasksAllowed(w waitingUnit, n *node) int {
	if w.step.MaxPerWorker == 0 {
		return len(w.unit.Tasks)
	}
	there := 0
	for _, r := range n.runs {
		if r.name.Job == w.tracked.job.ID && r.name.Step == w.unit.Step && r.name.Round == w.unit.Round {
			there++
		}
	}
	return max(w.step.MaxPerWorker-there, 0)
}

// tasksFitting returns how many tasks with these resources fit into the free capacity, up to limit.
func tasksFitting(each, free job.Resources, limit int) int {
	n := 0
	for n < limit && each.FitsIn(free) {
		free = free.Plus(each, -1)
		n++
	}
	return n
}
