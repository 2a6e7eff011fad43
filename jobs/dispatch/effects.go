package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// start places a new run of the unit, each task on its node.
func (p *plan) start(w waitingUnit, at []*node) {
	run := w.tracked.progress.NextRun(w.unit.Tasks)
	for i, name := range w.unit.Tasks {
		n := at[i]
		w.tracked.progress.Assign(p.now, name, run, n.name, n.state.ID)
		w.tracked.unsent[name] = run
		p.allocate(w, n)
		r := &running{
			tracked:   w.tracked,
			name:      name,
			run:       run,
			node:      n,
			resources: w.step.Reserved(),
			endsAt:    p.now.Add(w.duration),
		}
		p.addRun(r)
		p.markSuspect(r, w.suspicion)
		if n.onProbation {
			n.usable = false
			n.health.BeginTrial()
		}
		p.logStart(w, r)
	}
	p.c.touch(w.tracked)
	delete(w.tracked.waitReasons, w.first())
	delete(w.tracked.rolloutWaits, w.first())
}

// allocate subtracts the resources of a task of the unit from a node.
func (p *plan) allocate(w waitingUnit, n *node) {
	n.reserve(w.step.Reserved())
	n.reserveLater(w.step.Reserved())
	if !p.endsBeforeReserved(w, n) {
		n.freeBesideReserved = n.freeBesideReserved.Plus(w.step.Reserved(), -1)
	}
}

func (p *plan) logStart(w waitingUnit, r *running) {
	p.c.logger.Info().Str("step", "dispatch.start").Stringer("task", r.name).Int("run", r.run).
		Str("worker", r.node.name).Stringer("life", r.node.state.ID).Int("priority", w.tracked.job.Priority).
		Bool("guaranteed", w.guaranteed).Dur("estimate_ms", w.step.Estimate).
		Dur("forecast_ms", w.duration).Time("due", w.due).Msg("run is placed")
}

// stop requests that a run stops.
func (p *plan) stop(r *running, why stopReason) {
	if r.stopping {
		return
	}
	if r.endless() {
		r.node.longRunning = r.node.longRunning.Plus(r.resources, -1)
	}
	r.stopping = true
	r.tracked.stops[r.name] = stopOrder{run: r.run, cause: why.cause, at: p.now}
	r.node.freeAfterStops = r.node.freeAfterStops.Plus(r.resources, 1)
	p.c.desired.markJob(r.tracked)
	p.c.metrics.stops.Inc(why.label)
	p.c.logger.Info().Str("step", "dispatch.stop").Stringer("task", r.name).Int("run", r.run).
		Str("worker", r.node.name).
		Float64("lost_work_core_s", r.lostWork).Str("why", why.text).
		Msg("run is to stop")
}

// stopFor requests that runs stop to free capacity for an urgent unit.
func (p *plan) stopFor(w waitingUnit, runs []*running) {
	w.tracked.preemptedAt[w.first()] = p.now
	for _, r := range runs {
		p.stop(r, yieldsTo(w.first()))
		r.tracked.yieldedAt[r.unit()] = p.now
	}
}

// request requests permits for a step on incarnations of workers.
func (p *plan) request(step string, on []incarnation.ID) { p.c.permits.request(p.ctx, step, on) }

// logWait logs why a unit waits, unless the same reason was logged last.
func (p *plan) logWait(w waitingUnit, why waitReason) {
	if w.tracked.waitReasons[w.first()] == why {
		return
	}
	w.tracked.waitReasons[w.first()] = why
	if why == waitBurst {
		p.c.metrics.burstWaits.Inc(1)
	}
	line := p.c.logger.Info().Str("step", "dispatch.wait").Stringer("task", w.first()).Int("tasks", len(w.unit.Tasks)).
		Int("priority", w.tracked.job.Priority).Bool("guaranteed", w.guaranteed).Time("due", w.due).
		Str("why", string(why))
	if why == waitTeamShare {
		team := w.tracked.job.Team
		line = line.Str("team", team).Float64("team_usage", p.usage[w.tracked.job.Service].current.Of(team))
	}
	line.Msg("job waits")
}

// recordUsage records what the teams use of a service.
func (p *plan) recordUsage(service string, u teamUsage) { p.c.usage[service] = u }

// recordLoads keeps the load of each service for metrics and logs.
func (p *plan) recordLoads() { p.c.loads = p.loads }

// wakeAt schedules a decision no later than the given time.
func (p *plan) wakeAt(at time.Time) {
	if at.Before(p.c.nextPlan) {
		p.c.nextPlan = at
	}
}

// awaitStaying records the time from which a unit waits for capacity on workers that stay.
func (p *plan) awaitStaying(w waitingUnit) {
	if _, waits := w.tracked.rolloutWaits[w.first()]; !waits {
		w.tracked.rolloutWaits[w.first()] = p.now
	}
}

// awaitRack records the time from which a unit waits for a rack. The time is stored with the job's
// progress.
func (p *plan) awaitRack(w waitingUnit) {
	if w.tracked.progress.AwaitRack(w.first(), p.now) {
		p.c.touch(w.tracked)
	}
}

// assumeCrash records a crash under a task as happening now, if this leader has not observed it.
func (p *plan) assumeCrash(t *trackedJob, name job.TaskName) {
	if _, known := t.crashedAt[name]; !known {
		t.crashedAt[name] = p.now
	}
}

// quarantineWorker quarantines a worker on which a run has stalled.
func (p *plan) quarantineWorker(r *running) {
	if p.has(Quarantine) {
		r.node.health.WorkerFailed(p.now, r.name.Job)
	}
}

// updateFleets sets the number of workers of each service.
func (p *plan) updateFleets() {
	for service, workers := range p.serviceWorkers {
		p.c.fleet(service).SetWorkers(workers)
	}
}

// clearCrashes clears the crashes recorded for a task that has run long enough.
func (p *plan) clearCrashes(r *running) {
	if !r.tracked.progress.ClearCrashes(r.name) {
		return
	}
	p.c.touch(r.tracked)
	p.c.logger.Info().Str("step", "dispatch.clear").Stringer("task", r.name).Int("run", r.run).
		Msg("task is no longer suspected")
}
