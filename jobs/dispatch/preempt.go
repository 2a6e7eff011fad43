package dispatch

import (
	"math"
	"time"
)

const (
	// worthOnTime and worthLate are how much other work may be lost for an urgent unit, in
	// core-seconds for each of its own, if it will be in time and if not.
	worthOnTime = 2.0
	worthLate   = 0.0
	// guaranteedPatience is how long a guaranteed job waits for room after its acceptance
	// before work is stopped for it. It has to start within about 3 s, and a stop takes up
	// to 1 s.
	guaranteedPatience = 1200 * time.Millisecond
	// durationSpread is the standard deviation of the logarithm of urgent tasks' durations,
	// divided by what is expected.
	durationSpread = 0.4
	// reportingDelay is the time from the decision until the work begins, and from its end
	// until callers are told.
	reportingDelay = 150 * time.Millisecond
)

// preempt makes room for an urgent unit: it stops work that yields, where that gains the most,
// and holds what becomes free for the unit. If room becomes free early enough by itself,
// nothing is stopped. It returns what the unit waits for.
func (p *plan) preempt(w waitingUnit) waitReason {
	if at := p.find(w, roomAfterStops); at != nil {
		p.holdFor(w, at)
		return waitStops
	}
	if o, ok := p.earliest(w); ok && p.has(WaitForRoom) && !o.from.After(p.latestStart(w)) {
		p.holdFor(w, o.at)
		return waitRoomInTime
	}
	best, ok := p.bestStops(w)
	if !ok {
		return waitNothingStops
	}
	if p.has(PreemptionBudget) && !w.guaranteed && lostWorkOf(best.runs) > best.worth {
		return waitNotWorth
	}
	p.stopFor(w, best.runs)
	if at := p.findIn(w, best.domain, roomAfterStops); at != nil {
		p.holdFor(w, at)
	}
	return waitStops
}

// holdFor takes the room of a unit off what others may use in this decision.
func (p *plan) holdFor(w waitingUnit, at []*node) {
	for _, n := range at {
		n.reserve(w.step.Reserved())
		n.reserveLater(w.step.Reserved())
	}
}

// latestStart is until when the unit may wait for room that becomes free by itself.
func (p *plan) latestStart(w waitingUnit) time.Time {
	latest := w.due.Add(-w.duration - p.stopDuration)
	if limit := w.tracked.job.Accepted.Add(guaranteedPatience); w.guaranteed && latest.After(limit) {
		return limit
	}
	return latest
}

// mayStop reports whether a run may be stopped for the unit; runs of a higher rank are stopped
// first.
func (p *plan) mayStop(r *running, w waitingUnit) (rank int, ok bool) {
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

// worth is how much work may be lost so that the unit starts on the nodes after a stop, in
// core-seconds.
func (p *plan) worth(w waitingUnit, nodes []*node) float64 {
	own := float64(len(w.unit.Tasks)) * w.duration.Seconds() * weight(w.step.Resources)
	if p.has(StopsByChance) {
		chance := p.chanceInTime(w, p.now.Add(p.stopDuration), slowestOf(nodes))
		return own * (chance*worthOnTime + (1-chance)*worthLate)
	}
	if w.late {
		return worthLate * own
	}
	return worthOnTime * own
}

// chanceInTime is the probability that the unit is in time if it starts then, on workers of
// which the slowest has that slowness.
//
// With d its duration on an average worker, and waiting the time from the start of its round
// to its own, with reportingDelay, the unit is in time if
//
//	waiting + d * e^slowness <= ObjectiveFactor * d + ObjectiveSlack
//
// that is if
//
//	d >= (waiting - ObjectiveSlack) / (ObjectiveFactor - e^slowness)
//
// so long tasks are in time more easily. d is log-normal around what is expected.
func (p *plan) chanceInTime(w waitingUnit, start time.Time, slowness float64) float64 {
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

// slowestOf is the slowness of the slowest of the nodes.
func slowestOf(nodes []*node) float64 {
	slowest := math.Inf(-1)
	for _, n := range nodes {
		slowest = max(slowest, n.speed.Slowness())
	}
	return slowest
}

// lostWorkOf is the work that stops of the runs would lose, in core-seconds.
func lostWorkOf(runs []*running) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += r.lostWork
	}
	return sum
}
