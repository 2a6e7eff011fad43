package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// While the leader accepts polls from a newer process of the agent, this process stands down: it
// sends nothing to the worker, makes no decisions, and polls only to learn when it is needed again.
// It discards its view of the worker, which changes without it, and rebuilds it from the worker's
// list when it resumes, as a newly started process does. It keeps only the starts that it has sent,
// while they are open, because they have to be reported to the leader.

// standDown stops all work with the worker because the leader of a term accepts polls from a newer
// process of the agent.
func (r *Runner) standDown(term int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader.superseded || term < r.leader.term {
		return
	}
	r.leader.superseded = true
	r.metrics.superseded.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.giveWay").Int64("term", term).
		Msg("leader accepts a newer process of the agent; this process stands down until that one stops polling")
	r.worker = nil
	r.present = newIncarnationState()
	r.generation++
	r.former.unregistered = incarnation.ID{}
	clear(r.former.unacked)
}

// resume restarts the work with the worker once the leader accepts this process again. The lock
// must be held.
func (r *Runner) resume() {
	if !r.leader.superseded {
		return
	}
	r.leader.superseded = false
	r.activeSince = time.Now()
	r.dependencies.Logger.Info().Str("step", "runner.comeBack").
		Msg("newer process of the agent has stopped polling; this process resumes")
}

// isSuperseded reports whether the leader accepts polls from a newer process of the agent.
func (r *Runner) isSuperseded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader.superseded
}
