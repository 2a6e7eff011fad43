package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// In a service that receives more work than it can do, ordering by objective alone lets every new
// wide job (one with more tasks than fit at once) take capacity from those that have begun, and
// callers get parts of many jobs. While a service is overloaded, a job that has begun is therefore
// finished before the next one of its queue.
//
// A comparison that applies only to units of the same queue would not be transitive: of three units
// A, B and C in the order of their objectives, with A and C of one queue and only C begun, A would
// come before B, B before C, and C before A. Each unit therefore has a turn, and turns are compared
// across queues. The turn of a unit is its objective; units of begun jobs get the earliest
// objective of their queue.

// turnGroup identifies units that share turns: units of a queue that the criteria before the team's
// share don't tell apart.
type turnGroup struct {
	service, queue string
	priority       int
	guaranteed     bool
	preempting     bool
	expired        bool
	late           bool
}

func (p *plan) turnGroupOf(w waitingUnit) turnGroup {
	lateLast := OnTimeUnderOverload
	if w.urgent() {
		lateLast = InTimeFirst
	}
	return turnGroup{
		service:    w.tracked.job.Service,
		queue:      w.tracked.job.Queue,
		priority:   w.tracked.job.Priority,
		guaranteed: w.guaranteed,
		preempting: w.preempting && p.has(HoldFreedCapacity),
		expired:    w.expired && p.has(ExpiredLast),
		late:       w.late && p.has(lateLast),
	}
}

// setTurns sets the turns of the units of overloaded services. Long-running jobs have no end that
// others could wait for, so they keep the order of their objectives.
func (p *plan) setTurns(units []waitingUnit) {
	if !p.has(FinishBegun) {
		return
	}
	first := map[turnGroup]time.Time{}
	for _, w := range units {
		if !p.overloaded(w) || w.tracked.job.LongRunning() {
			continue
		}
		group := p.turnGroupOf(w)
		if earliest, ok := first[group]; !ok || w.due.Before(earliest) {
			first[group] = w.due
		}
	}
	for i := range units {
		w := &units[i]
		if w.tracked.progress.Phase == job.Queued || w.tracked.job.LongRunning() || !p.overloaded(*w) {
			continue
		}
		w.begun, w.turn = true, first[p.turnGroupOf(*w)]
	}
}

// compareTurns orders by turn, and units of begun jobs before others.
func compareTurns(a, b waitingUnit) int {
	if order := a.turn.Compare(b.turn); order != 0 {
		return order
	}
	return compareBool(b.begun, a.begun)
}
