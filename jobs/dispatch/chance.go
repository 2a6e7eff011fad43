package dispatch

import (
	"math"
	"slices"
	"time"
)

// What the chance of an urgent unit to be in time is reckoned with.
const (
	// durationSpread is how far forecasts of urgent tasks' lengths are off, as the standard deviation of the logarithm: 0.42 for 785 jobs of ten
	// days of the users' shifted work.
	durationSpread = 0.4
	// reportingDelay is from the decision to start until the work begins, and from its end until callers are told: 0.09 s at the leader for 521
	// jobs that found room at once, and up to 0.06 s until other entries have read it.
	reportingDelay = 150 * time.Millisecond
)

// chanceInTime is the probability that the unit is in time if it is started at that time on workers that take so much longer than average ones
// (as a logarithm) at the slowest. It is in time if delay + path + length x slowness <= stretch x length + aim, which long
// tasks are sooner than short ones.
func (p *plan) chanceInTime(w waitingUnit, start time.Time, slowness float64) float64 {
	j := w.tracked.job
	from := j.Accepted
	if j.RoundCount > 0 {
		from = j.DueAt(w.unit.Round)
	}
	missing := start.Sub(from) + reportingDelay - j.ObjectiveSlack
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

// slowestOf is how much longer the slowest of the nodes takes than an average worker, as a logarithm.
func slowestOf(nodes []*node) float64 {
	worst := math.Inf(-1)
	for _, n := range nodes {
		worst = max(worst, n.worker.speed.slowness())
	}
	return worst
}

// withoutSlow returns those of the nodes that are not known to be slow.
func withoutSlow(nodes []*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.worker.speed.class() > 0 })
}
