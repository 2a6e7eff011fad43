package dispatch

import (
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A run that this leader has placed but not sent to any agent was never on its worker: a crash of
// the worker implies nothing about the task, and no start of the run can arrive late. Runs placed
// by an earlier leader may have been sent.

// MarkSent records which starts were contained in responses to agents. It must be called with all
// sent starts before a poll or an expired lease is applied that ends one of the runs.
func (c *Controller) MarkSent(starts map[assignment.RunID]bool) {
	for id := range starts {
		if t := c.jobs[id.Task.Job]; t != nil && t.isUnsent(id) {
			delete(t.unsent, id.Task)
		}
	}
}

// isUnsent reports whether a run was not sent to any agent.
func (t *trackedJob) isUnsent(id assignment.RunID) bool {
	run, unsent := t.unsent[id.Task]
	return unsent && run == id.Run
}

// unsentLoss is the loss of a run that was not sent to any agent.
var unsentLoss = job.RunLoss{Verdict: job.NeverStarted}
