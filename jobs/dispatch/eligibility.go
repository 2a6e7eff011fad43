package dispatch

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// avoidFor is how long a job's task is not placed on a worker on which one of the job failed.
	avoidFor = 3 * time.Second
	// sharePatience is how long a task waits for a worker that it doesn't have to share with
	// tasks that it disturbs, or that disturb it. After that the agent there throttles what is
	// best-effort.
	sharePatience = 1500 * time.Millisecond
)

// mayPlace reports whether the unit may be placed on the node, regardless of what is free there.
func (p *plan) mayPlace(w waitingUnit, n *node) bool {
	return allowed(w, n) &&
		!(w.leavesHeadroom && p.headroom[n]) &&
		p.fitsReservation(w, n) &&
		p.hasPermit(w, n) &&
		!p.failedRecently(w, n) &&
		p.mayShare(w, n) &&
		!p.mustKeepApart(w, n)
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

// failedRecently reports whether a task of the job failed on the node a short while ago.
func (p *plan) failedRecently(w waitingUnit, n *node) bool {
	at, ok := w.tracked.failedAt[n.name]
	return p.has(AvoidFailed) && ok && p.now.Sub(at) < avoidFor
}

// mayShare reports whether the unit's tasks may run beside those on the node, as far as they
// disturb each other.
func (p *plan) mayShare(w waitingUnit, n *node) bool {
	since := w.tracked.job.Accepted
	if due := w.tracked.job.DueAt(w.unit.Round); due.After(since) {
		since = due
	}
	return !disturbs(w.step, n) || p.now.Sub(since) >= sharePatience
}

// disturbs reports whether best-effort tasks would run beside tasks with a latency target if
// the step's tasks were placed on the node.
func disturbs(step job.Step, n *node) bool {
	if !step.BestEffort && step.LatencyTarget == 0 {
		return false
	}
	return slices.ContainsFunc(n.runs, func(r *running) bool {
		other := r.step()
		return step.BestEffort && other.LatencyTarget > 0 || step.LatencyTarget > 0 && other.BestEffort
	})
}

// countOn is how many tasks of the unit fit into what is free on a node, and at most limit.
func (p *plan) countOn(w waitingUnit, n *node, free job.Resources, limit int) int {
	free = p.usableRoom(w, n, free)
	limit = min(limit, tasksAllowed(w, n))
	if n.health.OnProbation() {
		limit = min(limit, 1)
	}
	return tasksFitting(w.step.Reserved(), free, limit)
}

// tasksAllowed is how many more tasks of the unit's step the node may get.
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

// tasksFitting is how many tasks with these resources fit into what is free, and at most limit.
func tasksFitting(each, free job.Resources, limit int) int {
	n := 0
	for n < limit && each.FitsIn(free) {
		free = free.Plus(each, -1)
		n++
	}
	return n
}
