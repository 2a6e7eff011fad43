package runner

import "yarrowgrade.example/yarrowgrade/jobs/assignment"

// A start may have to wait at the agent, for example until the worker answers again. It belongs to
// the session in which it was ordered, and is withdrawn once that session has ended, because the next
// leader does not know of it, and its job may have been cancelled. This file implements sessions and
// the withdrawal of starts.

// leaderSession identifies the session of a leader with this agent: the leader's term and the fence
// that it has given to the agent. Starts belong to the session in which they were ordered.
type leaderSession struct{ term, fence int64 }

// session returns the present session. The lock must be held.
func (r *Runner) session() leaderSession {
	return leaderSession{term: r.leader.term, fence: r.leader.fence}
}

// sessionOf returns the session of an answer.
func sessionOf(a assignment.Answer) leaderSession {
	return leaderSession{term: a.Term, fence: a.Fence}
}

// withdrawStart gives up a start whose session has ended. The next leader may not want the run any
// more, and cannot stop it before the agent has described the worker to it. If an earlier attempt may
// have been carried out, the run stays known until a list shows whether it was. The lock must be
// held.
func (r *Runner) withdrawStart(s *pendingStart, k *run) {
	r.metrics.startsWithdrawn.Inc(1)
	r.dependencies.Logger.Info().Str("step", "runner.start").Stringer("task", s.Task).Int("run", s.Run).
		Int64("term", s.session.term).Int64("fence", s.session.fence).Bool("sent", k.ordered).
		Msg("start withdrawn; it was ordered in a former session with a leader")
	if k.ordered {
		k.withdrawn = true
		signal(r.extend)
	} else {
		delete(r.present.runs.known, s.RunID)
	}
	signal(r.report)
}

// dropWithdrawn drops the runs whose starts were withdrawn and that are missing from a list that
// shows everything and was made under a given fence. The worker refuses any attempt with a lower
// fence that arrives after that, so these runs start only if they are ordered again. dropWithdrawn
// reports whether there were any.
func (t *runTable) dropWithdrawn(fence int64) (dropped bool) {
	for id, k := range t.known {
		if k.withdrawn && !k.running && !k.stopping && k.fence < fence {
			delete(t.known, id)
			dropped = true
		}
	}
	return dropped
}
