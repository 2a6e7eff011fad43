package dispatch

import (
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A run that this leader has placed and told no agent of was never on its worker: what becomes of
// the worker says nothing of its task, and no start of it can come late. Runs that an earlier leader
// has placed may have been sent.

// NoteSent takes over which starts answers to agents have carried. It has to be called with all that
// were carried before a poll or an expired lease is applied that ends the run.
func (c *Controller) NoteSent(starts map[assignment.RunID]bool) {
	for id := range starts {
		if t := c.jobs[id.Task.Job]; t != nil && t.isUnsent(id) {
			delete(t.unsent, id.Task)
		}
	}
}

// isUnsent reports whether no agent was told of a run.
func (t *trackedJob) isUnsent(id assignment.RunID) bool {
	run, unsent := t.unsent[id.Task]
	return unsent && run == id.Run
}

// unsentLoss is the loss of a run that no agent was told of.
var unsentLoss = job.RunLoss{Verdict: job.NeverStarted}
