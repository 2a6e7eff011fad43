package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// samplePace records the pace of a run, and adds it to those of its worker's runs. Runs whose
// progress depends on more than their worker's speed are left out: they save checkpoints, are
// throttled, never end, are stopping, or wait for the other members of their gang.
func (c *Controller) samplePace(w *worker, r assignment.Run, o *observedRun, paces *health.PaceCounts) {
	t := c.jobs[r.Task.Job]
	if t == nil || r.Task.Step >= len(t.job.Steps) || r.ListedMillis <= 0 || r.Percent < 0 {
		return
	}
	step := t.step(r.Task)
	if step.Checkpoint || step.BestEffort || step.LongRunning || r.Percent >= donePercent || t.stopping(r.Task, r.Run) {
		return
	}
	age := time.Duration(r.ListedMillis) * time.Millisecond
	if o.pace == nil {
		if startedFresh(r.RunID) {
			o.pace = health.NewPace(0, 0)
		} else {
			o.pace = health.NewPace(age, r.Percent)
		}
	}
	o.pace.Observe(age, r.Percent)
	o.pace.Compare(c.siblings(t, w, r.Task))
	paces.Add(o.pace)
	if o.pace.State() == health.PaceLagging && t.lagsAgain(r.RunID) {
		paces.LongTask = true
	}
}

// lagsAgain records that a run lags, and reports whether an earlier run of the task did too. Moved
// runs don't return to the same worker soon.
func (t *trackedJob) lagsAgain(id assignment.RunID) bool {
	first, known := t.lagRuns[id.Task]
	if !known {
		t.lagRuns[id.Task] = id.Run
	}
	return known && first != id.Run
}

// siblings returns the paces of the runs of a task's step that are on other workers.
func (c *Controller) siblings(t *trackedJob, w *worker, name job.TaskName) []*health.Pace {
	var paces []*health.Pace
	t.progress.EachPlaced(t.job.ID, func(other job.TaskName, placed *job.Task) {
		on := c.workers[placed.Worker]
		if on == nil || on == w || firstOf(other) != firstOf(name) {
			return
		}
		if pace := on.runs[assignment.RunID{Task: other, Run: placed.Run}].pace; pace != nil {
			paces = append(paces, pace)
		}
	})
	return paces
}

// longTasksLikely reports whether a run that lags behind its step is rather a long task than on a
// slow worker: long tasks were seen lately, and hardly any slow worker is known.
func (p *plan) longTasksLikely(service string) bool {
	if f := p.fleets[service]; f == nil || !f.LongTasksLikely(p.now) {
		return false
	}
	slow := 0
	for _, n := range p.nodes {
		if n.state.Service == service && n.slowdown.Slow() {
			slow++
		}
	}
	return slow < minSlowWorkers
}

// minSlowWorkers is how many workers must be slow for an urgent gang to be moved for a lagging
// member although long tasks were seen lately.
const minSlowWorkers = 2

// observeSlowdown records the paces of a worker's runs.
func (c *Controller) observeSlowdown(now time.Time, w *worker, paces health.PaceCounts) {
	since := w.slowdown.Since()
	c.fleet(w.state.Service).RunsPaced(now, paces)
	change := w.slowdown.Observe(now, paces)
	if change == health.Unchanged {
		return
	}
	line := c.logger.Info().Str("step", "dispatch.health").Str("worker", w.name)
	switch change {
	case health.TurnedSlow:
		line.Float64("pace", w.slowdown.Share()).Msg("worker has turned slow")
	case health.Recovered:
		line.Int64("slow_ms", now.Sub(since).Milliseconds()).Msg("worker is no longer slow")
	case health.MayHaveRecovered:
		if c.has(Quarantine) {
			w.health.PutOnProbation(now)
		}
		line.Int64("slow_ms", now.Sub(since).Milliseconds()).Msg("worker had no run for a while and may no longer be slow")
	}
}

// markSlowed marks the nodes whose workers have turned slow. If most likely something else than the
// workers is slow, because too many of a service are, none is marked.
func (p *plan) markSlowed() {
	if !p.has(SlowWorkers) {
		return
	}
	p.judgeTrust()
	var slowed map[string]int
	for _, n := range p.nodes {
		if n.slowdown.Slow() && n.available() {
			if slowed == nil {
				slowed = map[string]int{}
			}
			slowed[n.state.Service]++
		}
	}
	if slowed == nil {
		return
	}
	for _, n := range p.nodes {
		n.slowed = n.slowdown.Slow() && health.WithinShare(slowed[n.state.Service], p.serviceWorkers[n.state.Service])
	}
}

// judgeTrust sets the trust in the nodes of each service with a lagging worker.
func (p *plan) judgeTrust() {
	var lagging map[string]bool
	for _, n := range p.nodes {
		if n.slowdown.Trust(p.now) == health.Lags {
			if lagging == nil {
				lagging = map[string]bool{}
			}
			lagging[n.state.Service] = true
		}
	}
	for _, n := range p.nodes {
		if lagging[n.state.Service] {
			n.trust = n.slowdown.Trust(p.now)
		}
	}
}

// compareTrust orders workers that are likelier sound first for urgent units.
func compareTrust(w waitingUnit, a, b *node) int {
	if !w.urgent() {
		return 0
	}
	return cmp.Compare(a.trust, b.trust)
}

// moveFromSlowed stops urgent units that would be late on slowed workers, or with a member that
// lags behind its step, and on time on other workers with free capacity. A gang is stopped as a
// whole. Once stopped, the capacity found for it is claimed until it can be placed.
func (p *plan) moveFromSlowed() {
	if !p.has(SlowWorkers) {
		return
	}
	var units map[job.TaskName][]*running
	for _, n := range p.nodes {
		for _, r := range n.runs {
			if !n.slowed && !r.lags() {
				continue
			}
			if r.tracked.job.Priority > 0 || r.tracked.progress.Phase.Final() || r.step().LongRunning {
				continue
			}
			if units == nil {
				units = map[job.TaskName][]*running{}
			}
			units[r.unit()] = p.withGang(r)
		}
	}
	for _, first := range slices.SortedFunc(maps.Keys(units), compareTasks) {
		p.moveUnit(units[first])
	}
}

// compareTasks orders tasks by job, round, step and index.
func compareTasks(a, b job.TaskName) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}

// moveUnit moves the placed runs of a unit if that makes it on time.
func (p *plan) moveUnit(runs []*running) {
	w := p.placedUnit(runs)
	moving := slices.ContainsFunc(runs, func(r *running) bool {
		return r.stopping && r.tracked.stops[r.name].cause == lossSlowWorker
	})
	if !moving && !p.shouldMove(w, runs) {
		return
	}
	lags := slices.ContainsFunc(runs, (*running).lags)
	for _, r := range runs {
		if lags && !moving && !r.keepsPace() {
			w.tracked.leftAt[r.node.name] = p.now
		}
	}
	at := p.find(w, availableNow)
	if at == nil {
		return
	}
	p.claimCapacity(w, at)
	if moving {
		return
	}
	reason := runLags
	if slices.ContainsFunc(runs, func(r *running) bool { return r.node.slowed }) {
		reason = workerSlow
	}
	w.tracked.movedAt[runs[0].unit()] = p.now
	w.tracked.preemptedAt[w.first()] = p.now
	for _, r := range runs {
		p.stop(r, reason)
	}
}

// placedUnit returns the unit of placed runs as if it waited.
func (p *plan) placedUnit(runs []*running) waitingUnit {
	r := runs[0]
	u := job.Unit{Round: r.name.Round, Step: r.name.Step}
	for _, member := range runs {
		u.Tasks = append(u.Tasks, member.name)
	}
	slices.SortFunc(u.Tasks, compareTasks)
	return p.newWaitingUnit(r.tracked, u, p.predictor.longestChain(r.tracked))
}

// shouldMove reports whether a unit on slowed workers, or with a lagging run, would be late there
// and on time elsewhere. It is moved at most once for each slowdown, and once for a lagging run,
// which may be a long task and lag again.
func (p *plan) shouldMove(w waitingUnit, runs []*running) bool {
	if p.now.Add(p.stopDuration + w.duration).After(w.due) {
		return false
	}
	movedAt := w.tracked.movedAt[runs[0].unit()]
	late := false
	for _, r := range runs {
		if r.stopping {
			return false
		}
		switch {
		case r.node.slowed:
			if !movedAt.IsZero() && !movedAt.Before(r.node.slowdown.Since()) {
				return false
			}
		case !r.lags() || !movedAt.IsZero() || p.longTasksLikely(r.node.state.Service):
			continue
		}
		late = late || p.now.Add(r.remainingAtPace(w.duration)).After(w.due)
	}
	return late
}

// lags reports whether the run makes far less progress than the other runs of its step.
func (r *running) lags() bool {
	o, known := r.observed()
	return known && o.pace != nil && o.pace.State() == health.PaceLagging
}

// keepsPace reports whether the run is known to make as much progress as the other runs of its
// step.
func (r *running) keepsPace() bool {
	o, known := r.observed()
	return known && o.pace != nil && o.pace.KeepsPace()
}

// remainingAtPace predicts the remaining duration of a run at its present pace, if it lags, or else
// at that of its slowed worker.
func (r *running) remainingAtPace(duration time.Duration) time.Duration {
	percent, share := 0, r.node.slowdown.Share()
	if o, known := r.observed(); known {
		percent = max(o.percent, 0)
		if r.lags() {
			share = o.pace.Share()
		}
	}
	if percent >= donePercent {
		return 0
	}
	left := duration.Seconds() * float64(100-percent) / 100
	return time.Duration(left / max(share, minPace) * float64(time.Second))
}

// minPace bounds the predicted duration of a run on a slowed worker: one that makes no progress at
// all counts as this share of its usual pace.
const minPace = 0.05
