package dispatch

import "yarrowgrade.example/yarrowgrade/jobs/job"

// capacityFunc returns the capacity that a node has when it is empty; false if it doesn't count.
type capacityFunc func(n *node) (of job.Resources, counts bool)

// fitsEmpty reports whether the unit would fit into the nodes if they were empty.
func fitsEmpty(w waitingUnit, nodes []*node, capacity capacityFunc) bool {
	left := len(w.unit.Tasks)
	for _, n := range nodes {
		of, counts := capacity(n)
		if counts && allowed(w, n) {
			left -= tasksFitting(w.step.Reserved(), of, tasksAllowed(w, n))
		}
		if left <= 0 {
			return true
		}
	}
	return false
}

// emptyWithAll is the capacity after all runs have ended and all unresponsive workers have returned. A
// worker may never return, so a wait for this capacity must have a limit.
func emptyWithAll(n *node) (job.Resources, bool) {
	return n.state.Capacity, !n.state.Draining && !n.cordoned
}

// emptyAvailable is the capacity of the available workers after all runs have ended except those of
// long-running tasks.
func emptyAvailable(n *node) (job.Resources, bool) { return n.withoutLongRunning(), n.available() }

// emptyDescribed is the same without the workers that can't get work because no agent describes them.
func emptyDescribed(n *node) (job.Resources, bool) {
	return n.withoutLongRunning(), n.described && n.available()
}

// withoutLongRunning returns the node's capacity without what long-running tasks reserve there.
func (n *node) withoutLongRunning() job.Resources { return n.state.Capacity.Plus(n.longRunning, -1) }
