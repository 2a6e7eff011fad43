package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/rollout"
)

const (
	// maxRolloutWait is how long a unit waits for capacity on workers that stay. It is shorter than
	// the 3 s within which callers expect a job to start if there is capacity for it.
	maxRolloutWait = 2700 * time.Millisecond
	// rolloutWaitDivisor divides the expected duration of a unit, which waits at most for that part
	// of it: a run that is lost has worked for half of its duration on average.
	rolloutWaitDivisor = 2
	// rolloutSlackDivisor divides the slack that a unit has left, of which it waits at most for that
	// part. The rest is for a start that is lost nevertheless.
	rolloutSlackDivisor = 2
)

// observeRollout applies a worker's report to the rollouts of its service.
func (c *Controller) observeRollout(now time.Time, w *worker) {
	s := c.rollouts[w.state.Service]
	if s == nil {
		s = rollout.NewService()
		c.rollouts[w.state.Service] = s
	}
	s.Report(now, rollout.Worker{
		Name:     w.name,
		Version:  w.state.Version,
		Draining: w.state.Draining,
		Notice:   time.Duration(w.state.DrainMillis) * time.Millisecond,
	})
}

// workerLeft removes a worker from the rollouts of its service, as its incarnation has ended.
func (c *Controller) workerLeft(now time.Time, w *worker) {
	if s := c.rollouts[w.state.Service]; s != nil {
		s.Left(now, w.name)
	}
}

// advanceRollouts ends rollouts that no longer progress, and logs which have begun and ended.
func (c *Controller) advanceRollouts(now time.Time) {
	for service, s := range c.rollouts {
		if !s.Advance(now) {
			continue
		}
		message := "rollout has ended"
		if s.InProgress() {
			message = "rollout has begun"
		}
		c.logger.Info().Str("step", "dispatch.rollout").Str("service", service).Str("version", s.Target()).
			Int("likely_to_leave", c.likelyToLeave()[service]).Int64("notice_ms", s.Notice().Milliseconds()).
			Msg(message)
	}
}

// likelyToLeave counts the workers of each service that a rollout is likely to replace and that
// don't drain yet.
func (c *Controller) likelyToLeave() map[string]int {
	counts := map[string]int{}
	for _, w := range c.workers {
		if w.state == nil {
			continue
		}
		counts[w.state.Service] += 0
		if s := c.rollouts[w.state.Service]; s != nil && !w.state.Draining && s.LikelyToLeave(w.state.Version) {
			counts[w.state.Service]++
		}
	}
	return counts
}

// isLikelyToLeave reports whether a rollout is likely to replace a worker.
func (p *plan) isLikelyToLeave(w *worker) bool {
	s := p.rollouts[w.state.Service]
	return s != nil && s.LikelyToLeave(w.state.Version)
}

// markRollout sets what depends on the rollout of the unit's service.
func (p *plan) markRollout(w *waitingUnit) {
	s := p.rollouts[w.tracked.job.Service]
	if s == nil || !s.InProgress() {
		return
	}
	w.atRisk = w.step.LongRunning || !w.step.Checkpoint && w.duration+leaveMargin > s.Notice()
	w.avoidsLeaving = w.atRisk && p.waitsForStaying(*w)
}

// waitsForStaying reports whether a unit that is at risk on workers that are likely to leave waits
// for capacity on others. Urgent and long-running units don't wait. A unit that has waited and was
// started may wait again after it was stopped.
func (p *plan) waitsForStaying(w waitingUnit) bool {
	if w.urgent() || w.step.LongRunning {
		return false
	}
	slack := w.due.Sub(p.now) - w.duration
	limit := min(w.duration/rolloutWaitDivisor, slack/rolloutSlackDivisor, maxRolloutWait)
	since, waits := w.tracked.rolloutWaits[w.first()]
	if !waits {
		return limit > 0
	}
	return p.now.Sub(since) < limit
}

// compareAtRisk orders workers that stay first for units that are at risk on the others. Units that
// are not at risk leave the workers that stay to them, urgent ones only among workers of the same
// speed.
func compareAtRisk(w waitingUnit, a, b *node) int {
	switch {
	case w.atRisk:
		return compareBool(a.likelyToLeave, b.likelyToLeave)
	case w.urgent():
		return 0
	}
	return compareBool(b.likelyToLeave, a.likelyToLeave)
}

// countAtRisk returns how many tasks of a unit would be at risk on the nodes.
func countAtRisk(w waitingUnit, at []*node) int {
	if !w.atRisk {
		return 0
	}
	count := 0
	for _, n := range at {
		if n.likelyToLeave {
			count++
		}
	}
	return count
}

// rolloutReason returns the given reason for a wait, unless the unit waits for capacity on workers
// that stay.
func rolloutReason(w waitingUnit, why waitReason) waitReason {
	if w.avoidsLeaving {
		return waitStaying
	}
	return why
}
