package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// While the leader hears a newer process of the agent, this one gives way: it sends the worker
// nothing, judges nothing, and polls only to hear when it is needed again. It forgets what it knows
// of the worker, as that changes without it, and learns it from the worker's list when it is back,
// as a process that has just started does. Only the starts that it has sent stay known while they
// are open: the leader has to hear of them.

// giveWay stops all that this process does with its worker, since the leader of a term hears a newer
// one.
func (r *Runner) giveWay(term int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader.superseded || term < r.leader.term {
		return
	}
	r.leader.superseded = true
	r.metrics.superseded.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.giveWay").Int64("term", term).
		Msg("a newer process of the agent is heard; this one gives way until that is silent")
	r.worker = nil
	r.present = newIncarnationState()
	r.generation++
	r.former.unregistered = incarnation.ID{}
	clear(r.former.unacked)
}

// comeBack begins again once the leader hears this process. The lock must be held.
func (r *Runner) comeBack() {
	if !r.leader.superseded {
		return
	}
	r.leader.superseded = false
	r.begunAt = time.Now()
	r.dependencies.Logger.Info().Str("step", "runner.comeBack").Msg("the newer process is silent; this one is heard again")
}

// isSuperseded reports whether a newer process of the agent is heard.
func (r *Runner) isSuperseded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader.superseded
}
