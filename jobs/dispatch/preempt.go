package dispatch

import (
	"math"
	"time"
)

const (
	// budgetFactorOnTime and budgetFactorLate are how much other work may be lost for an urgent
	// unit, in core-seconds for each core-second of its own, if the unit will be on time and if it
	// will be late.
	budgetFactorOnTime = 2.0
	budgetFactorLate   = 0.0
	// guaranteedMaxWait is how long after its acceptance a guaranteed job waits for free capacity
	// before work is stopped for it. The job has to start within about 3 s, and a stop takes up to
	// 1 s.
	guaranteedMaxWait = 1200 * time.Millisecond
	// durationSpread is the standard deviation of the logarithm of the ratio of an urgent task's
	// actual to its expected duration.
	durationSpread = 0.4
	// reportingDelay is the time from the decision until the work begins, plus the time from its
	// end until callers learn of it.
	reportingDelay = 150 * time.Millisecond
)

// preempt frees capacity for an urgent unit: it stops runs that may be preempted, where that has
// the largest net benefit, and claims the freed capacity for the unit. Nothing is stopped if
// capacity becomes free early enough without stops. It returns what the unit waits for.
func (p *plan) preempt(w waitingUnit) waitReason {
	if at := p.find(w, availableAfterStops); at != nil {
		p.claimCapacity(w, at)
		return waitStops
	}
	if o, ok := p.earliestFit(w); ok && p.has(WaitForCapacity) && !o.from.Add(o.delay).After(p.latestStart(w)) {
		p.claimCapacity(w, o.at)
		return waitCapacityInTime
	}
	best, ok := p.bestStops(w)
	if !ok {
		return waitNothingStops
	}
	if p.has(PreemptionBudget) && !w.guaranteed && lostWorkOf(best.runs) > best.budget {
		return waitOverBudget
	}
	p.stopFor(w, best.runs)
	if at := p.findIn(w, best.domain, availableAfterStops); at != nil {
		p.claimCapacity(w, at)
	}
	return waitStops
}

// claimCapacity excludes the capacity of a unit from further use in this decision.
func (p *plan) claimCapacity(w waitingUnit, at []*node) {
	for _, n := range at {
		n.reserve(w.step.Reserved())
		n.reserveLater(w.step.Reserved())
	}
}

// latestStart returns the time until which the unit may wait for capacity that becomes free without
// stops.
func (p *plan) latestStart(w waitingUnit) time.Time {
	latest := w.due.Add(-w.duration - p.stopDuration)
	if limit := w.tracked.job.Accepted.Add(guaranteedMaxWait); w.guaranteed && latest.After(limit) {
		return limit
	}
	return latest
}

// mayPreempt reports whether a run may be stopped for the unit. Runs of a higher rank are stopped
// first.
func (p *plan) mayPreempt(r *running, w waitingUnit) (rank int, ok bool) {
	j := r.tracked.job
	switch {
	case r.stopping || j.LongRunning() || r.onExtraStart():
		return 0, false
	case j.Priority > w.tracked.job.Priority:
		return j.Priority, true
	case w.guaranteed && !p.guaranteed[j.ID] && j.ID != w.tracked.job.ID:
		return 0, true
	}
	return 0, false
}

// preemptionBudget returns how much work may be lost so that the unit starts on the nodes after a
// stop, in core-seconds.
func (p *plan) preemptionBudget(w waitingUnit, nodes []*node) float64 {
	own := float64(len(w.unit.Tasks)) * w.duration.Seconds() * weight(w.step.Resources)
	if p.has(ProbabilisticPreemption) {
		probability := p.probabilityOnTime(w, p.now.Add(p.stopDuration), slowestOf(nodes))
		return own * (probability*budgetFactorOnTime + (1-probability)*budgetFactorLate)
	}
	if w.late {
		return budgetFactorLate * own
	}
	return budgetFactorOnTime * own
}

// probabilityOnTime returns the probability that the unit is on time if it starts at the given
// time, on workers of which the slowest has the given slowness.
//
// With d the unit's duration on an average worker, and waiting the time from the start of its round
// to its own start plus reportingDelay, the unit is on time if
//
//	waiting + d * e^slowness <= ObjectiveFactor * d + ObjectiveSlack
//
// that is if
//
//	d >= (waiting - ObjectiveSlack) / (ObjectiveFactor - e^slowness)
//
// so long tasks are more likely to be on time. d is log-normally distributed around its expected
// value.
func (p *plan) probabilityOnTime(w waitingUnit, start time.Time, slowness float64) float64 {
	j := w.tracked.job
	missing := start.Sub(j.RoundStart(w.unit.Round)) + reportingDelay - j.ObjectiveSlack
	spare := j.ObjectiveFactor - math.Exp(slowness)
	switch {
	case missing <= 0 && spare >= 0:
		return 1
	case spare <= 0:
		return 0
	}
	shortest := missing.Seconds() / spare
	return 0.5 * math.Erfc(math.Log(shortest/w.duration.Seconds())/durationSpread/math.Sqrt2)
}

// slowestOf returns the slowness of the slowest of the nodes.
func slowestOf(nodes []*node) float64 {
	slowest := math.Inf(-1)
	for _, n := range nodes {
		slowest = max(slowest, n.speed.Slowness())
	}
	return slowest
}

// lostWorkOf returns the work that stopping the runs would lose, in core-seconds.
func lostWorkOf(runs []*running) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += r.lostWork
	}
	return sum
}
