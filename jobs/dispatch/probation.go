package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// provingAttempts is how many attempts a task must have left to prove a worker on probation: if
	// the worker fails it, it is not given up.
	provingAttempts = 2
	// probationMax is how long a worker stays on probation without a run. It ends even if only
	// urgent gangs wait, since nothing else would prove the worker.
	probationMax = 10 * time.Second
	// trialTurn is how long a worker of an event is the only one of it that may get a run. Then it is
	// the next one's turn, since the work that waits may not be allowed on the first.
	trialTurn = 500 * time.Millisecond
)

// fleet returns the fleet of a service.
func (c *Controller) fleet(service string) *health.Fleet {
	f := c.fleets[service]
	if f == nil {
		rules := health.Rules{Shared: c.has(SharedQuarantine), SafeProbation: c.has(SafeProbation)}
		f = health.NewFleet(rules, func(n health.Notice) { c.logEvent(service, n) })
		c.fleets[service] = f
	}
	return f
}

// logEvent logs the begin or the end of an event.
func (c *Controller) logEvent(service string, n health.Notice) {
	line := c.logger.Info().Str("step", "dispatch.health").Str("service", service).Int("workers", n.Workers)
	if n.Ended {
		line.Int64("lasted_ms", n.Lasted.Milliseconds()).Msg("workers are no longer quarantined together")
		return
	}
	line.Msg("workers that fail what they start are quarantined together")
}

// resetHealth forgets what is known of the health and the speed of a worker.
func (c *Controller) resetHealth(now time.Time, w *worker) {
	for _, f := range c.fleets {
		f.Forget(now, &w.health)
	}
	w.health, w.slowdown, w.speed = health.Health{}, health.Slowdown{}, estimate.Speed{}
}

// sampleProof proves a worker on probation by a run that makes progress.
func (c *Controller) sampleProof(now time.Time, w *worker, r assignment.Run, o observedRun) {
	if !w.health.OnProbation() || r.ListedMillis <= 0 || o.percent <= o.basePercent {
		return
	}
	worked := time.Duration(r.ListedMillis) * time.Millisecond
	c.fleet(w.state.Service).RunAdvanced(now, &w.health, o.startedAt, worked)
}

// mayProve reports whether a unit may prove a worker on probation: it is a single task that is not
// urgent, and that is not given up if it fails once more.
func mayProve(t *trackedJob, u job.Unit) bool {
	if t.job.Priority == 0 || t.job.Steps[u.Step].Gang || len(u.Tasks) != 1 {
		return false
	}
	failures := 0
	if task := t.progress.Task(u.Tasks[0]); task != nil {
		failures = task.Failures
	}
	return t.job.MaxAttempts == 0 || t.job.MaxAttempts-failures >= provingAttempts
}

// trusts reports whether the health of the node's worker allows tasks of the unit: nothing urgent
// if it has turned slow, or if a run of the same job was moved from there lately, and on probation
// units that may prove it. If no unit that may prove the worker has come for as long as its
// quarantine lasted, any other may, except for urgent gangs: they are late if one member fails.
func (p *plan) trusts(w waitingUnit, n *node) bool {
	if n.slowed && w.urgent() {
		return false
	}
	if at, ok := w.tracked.leftAt[n.name]; ok && w.urgent() && p.now.Sub(at) < avoidFailedFor {
		return false
	}
	if !n.onProbation || w.mayProve || !p.has(SafeProbation) {
		return true
	}
	return !(w.urgent() && w.step.Gang) && n.health.Waited(p.now)
}

// judgeProbation sets whether the node is on probation. A node on probation that has a run gets no
// other one.
func (p *plan) judgeProbation(n *node) {
	n.onProbation = n.health.OnProbation()
	if !n.onProbation {
		return
	}
	switch {
	case len(n.runs) > 0:
		n.usable = false
	case p.has(SafeProbation) && n.health.ProbationFor(p.now) >= probationMax:
		n.onProbation = false
	}
}

// admitTrials makes the workers of an event unusable, except for one at a time.
func (p *plan) admitTrials() {
	var members map[*health.Event][]*node
	for _, n := range p.nodes {
		e := n.health.Event()
		if e == nil || !n.onProbation {
			continue
		}
		if members == nil {
			members = map[*health.Event][]*node{}
		}
		members[e] = append(members[e], n)
	}
	for e, nodes := range members {
		chosen := p.trialNode(e, nodes)
		for _, n := range nodes {
			n.usable = n.usable && n == chosen
		}
	}
}

// trialNode returns the node of an event that may get a run; nil while another one has a run.
func (p *plan) trialNode(e *health.Event, nodes []*node) *node {
	var free []*node
	for _, n := range nodes {
		if e.OnTrial(&n.worker.health) && len(n.runs) > 0 {
			return nil
		}
		if n.usable {
			free = append(free, n)
		}
	}
	if len(free) == 0 {
		return nil
	}
	return free[int(p.now.Sub(e.Until())/trialTurn)%len(free)]
}
