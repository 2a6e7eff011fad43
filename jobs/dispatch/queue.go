package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// freedKeptFor is how long room that stops have freed is kept for the unit that they were
	// for. It is longer than a stop takes.
	freedKeptFor = 1200 * time.Millisecond
	// expiredFactor is the lateness from which on a job's caller has no use for it any more, as a
	// multiple of the time from its acceptance to its objective.
	expiredFactor = 2
)

// waitingUnit is a unit that may start now.
type waitingUnit struct {
	tracked *trackedJob
	unit    job.Unit
	step    job.Step
	// due is the objective of the unit's round, duration how long a task is expected to work.
	due      time.Time
	duration time.Duration
	// work is that of all tasks of the job, in core-seconds.
	work float64
	// guaranteed says that the team's guarantee covers the job; late that the unit can't be in
	// time any more; expired that the job is so late that its caller has no use for it.
	guaranteed bool
	late       bool
	expired    bool
	// preempting says that work was told to stop for the unit a moment ago.
	preempting bool
	// leavesHeadroom says that the unit can wait for room that is not kept for urgent jobs.
	leavesHeadroom bool
	// suspicion is that of the most suspected task; suspectedAt is when a worker last crashed
	// under one.
	suspicion   suspicionLevel
	suspectedAt time.Time
}

// first is the first task of the unit, which stands for the unit.
func (w waitingUnit) first() job.TaskName { return w.unit.Tasks[0] }

// urgent reports whether the unit's job has priority 0: work may stop for it.
func (w waitingUnit) urgent() bool { return w.tracked.job.Priority == 0 }

// queue lists what may start now, in the order in which it is placed.
func (p *plan) queue() []waitingUnit {
	var all []waitingUnit
	for _, t := range p.active {
		if t.progress.Phase.Final() {
			continue
		}
		p.wakeForNextRound(t)
		units := t.job.Waiting(t.progress, p.now)
		if len(units) == 0 {
			continue
		}
		chain := p.predictor.longestChain(t)
		for _, u := range units {
			all = append(all, p.newWaitingUnit(t, u, chain))
		}
	}
	slices.SortFunc(all, p.compareUnits)
	return all
}

// compareUnits orders the queue: by priority; guaranteed jobs first, expired ones last; then by
// the objective. Urgent jobs that may still be in time come before late ones, and small urgent
// jobs before large ones: most fit in beside a large one, which waits little longer for that.
func (p *plan) compareUnits(a, b waitingUnit) int {
	return cmp.Or(
		cmp.Compare(a.tracked.job.Priority, b.tracked.job.Priority),
		compareBool(b.guaranteed, a.guaranteed),
		p.compareIf(KeepFreed, compareBool(b.preempting, a.preempting)),
		p.compareIf(ExpiredLast, compareBool(a.expired, b.expired)),
		p.compareIf(InTimeFirst, compareBool(a.late, b.late)),
		p.compareIf(SmallFirst, compareUrgentWork(a, b)),
		a.due.Compare(b.due),
		cmp.Compare(a.tracked.job.ID, b.tracked.job.ID),
		cmp.Compare(a.unit.Round, b.unit.Round),
		cmp.Compare(a.unit.Step, b.unit.Step),
		cmp.Compare(a.first().Index, b.first().Index),
	)
}

// compareUrgentWork puts the smaller of two urgent jobs first.
func compareUrgentWork(a, b waitingUnit) int {
	if !a.urgent() || !b.urgent() {
		return 0
	}
	return cmp.Compare(a.work, b.work)
}

func (p *plan) newWaitingUnit(t *trackedJob, u job.Unit, chain time.Duration) waitingUnit {
	due := t.job.Objective(u.Round, chain)
	duration := p.predictor.duration(t, u.Step)
	tooLate := p.now.Sub(due) > expiredFactor*due.Sub(t.job.Accepted)
	return waitingUnit{
		tracked:        t,
		unit:           u,
		step:           t.job.Steps[u.Step],
		due:            due,
		duration:       duration,
		work:           p.predictor.work(t),
		guaranteed:     p.guaranteed[t.job.ID],
		late:           t.job.Priority == 0 && p.now.Add(duration).After(due),
		expired:        tooLate && t.job.RoundCount == 0 && !t.job.LongRunning(),
		preempting:     p.now.Sub(t.preemptedAt[u.Tasks[0]]) < freedKeptFor,
		leavesHeadroom: p.leavesHeadroom(t, u, due, chain),
		suspicion:      p.suspicionOfUnit(t, u),
		suspectedAt:    p.suspectedAt(t, u),
	}
}

// guaranteedJobs returns the jobs that their team's guarantee covers: urgent jobs that have not
// ended, in the order of their acceptance, as long as all of them together need no more
// accelerators than are guaranteed.
func (p *plan) guaranteedJobs() map[job.ID]bool {
	guaranteed := map[job.ID]bool{}
	if p.catalog == nil || !p.has(Guarantees) {
		return guaranteed
	}
	var urgent []*trackedJob
	for _, t := range p.active {
		if t.job.Priority == 0 && !t.progress.Phase.Final() && t.job.Team != "" {
			urgent = append(urgent, t)
		}
	}
	slices.SortFunc(urgent, func(a, b *trackedJob) int {
		return cmp.Or(a.job.Accepted.Compare(b.job.Accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	used := map[string]int{}
	for _, t := range urgent {
		used[t.job.Team] += peakAccelerators(t.job)
		guaranteed[t.job.ID] = used[t.job.Team] <= p.catalog.GuaranteedAccelerators(t.job.Team)
	}
	return guaranteed
}

// wakeForNextRound makes sure that there is a decision when the job's next round is due.
func (p *plan) wakeForNextRound(t *trackedJob) {
	for k := range t.job.Rounds() {
		due := t.job.DueAt(k)
		if due.After(p.now) {
			p.wakeAt(due)
			return
		}
	}
}
