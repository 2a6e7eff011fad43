package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// freedHoldTime is how long capacity freed by stops is held for the unit that they were made
	// for. It is longer than a stop takes.
	freedHoldTime = 1200 * time.Millisecond
	// expiredFactor is the lateness at which a job is no longer useful to its caller, as a multiple
	// of the time from its acceptance to its objective.
	expiredFactor = 2
)

// waitingUnit is a unit that may start now.
type waitingUnit struct {
	tracked *trackedJob
	unit    job.Unit
	step    job.Step
	// due is the objective of the unit's round, duration the expected duration of a task.
	due      time.Time
	duration time.Duration
	// work is the work of all tasks of the job, in core-seconds.
	work float64
	// guaranteed reports whether the team's guarantee covers the job, late whether the unit can no
	// longer be on time, expired whether the job is so late that it is no longer useful to its
	// caller.
	guaranteed bool
	late       bool
	expired    bool
	// startTag is the usage of the unit's team when the unit starts; it is zero unless teams share
	// the service. aboveShare reports whether the team has used more than the mean of the teams that
	// wait at the same priority.
	startTag   float64
	aboveShare bool
	// begun reports whether the unit comes before units of its queue whose jobs have not begun, turn
	// when its turn comes among the units of its priority (begun.go).
	begun bool
	turn  time.Time
	// preempting reports whether work was recently stopped for the unit.
	preempting bool
	// leavesHeadroom reports whether the unit can wait for capacity outside the headroom for urgent
	// jobs.
	leavesHeadroom bool
	// mayProve reports whether the unit may prove a worker on probation.
	mayProve bool
	// awaitsBurstEnd reports whether the unit was stopped for an urgent one and leaves the headroom
	// free until the burst of stops is over.
	awaitsBurstEnd bool
	// atRisk reports whether a rollout may stop the unit before it ends on a worker that is likely to
	// leave, avoidsLeaving whether the unit waits for capacity on other workers.
	atRisk        bool
	avoidsLeaving bool
	// rackWait is the state of a gang's wait for a rack.
	rackWait rackWait
	// suspicion is that of the most suspected task, suspectedAt the time of the last crash of a
	// worker under one of the tasks.
	suspicion   suspicionLevel
	suspectedAt time.Time
}

// first returns the first task of the unit, which identifies the unit.
func (w waitingUnit) first() job.TaskName { return w.unit.Tasks[0] }

// urgent reports whether the unit's job has priority 0: work may be stopped for it.
func (w waitingUnit) urgent() bool { return w.tracked.job.Priority == 0 }

// queue returns the units that may start now, in the order in which they are placed.
func (p *plan) queue() []waitingUnit {
	var all []waitingUnit
	for _, t := range p.active {
		if t.progress.Phase.Final() {
			continue
		}
		p.wakeForNextRound(t)
		units := t.job.ReadyUnits(t.progress, p.now)
		if len(units) == 0 {
			continue
		}
		chain := p.predictor.longestChain(t)
		for _, u := range units {
			all = append(all, p.newWaitingUnit(t, u, chain))
		}
	}
	p.measureLoad(all)
	for i := range all {
		all[i].late = p.isLate(all[i])
	}
	p.setTurns(all)
	p.holdStopped(all)
	slices.SortFunc(all, orderOf(p.policy))
	p.measureUsage()
	if p.tagUnits(all) {
		return reorderBy(TeamShares, p.policy, all)
	}
	return all
}

func (p *plan) newWaitingUnit(t *trackedJob, u job.Unit, chain time.Duration) waitingUnit {
	due := t.job.Objective(u.Round, chain)
	duration := p.predictor.duration(t, u.Step)
	tooLate := p.now.Sub(due) > expiredFactor*due.Sub(t.job.Accepted)
	w := waitingUnit{
		tracked:        t,
		unit:           u,
		step:           t.job.Steps[u.Step],
		due:            due,
		turn:           due,
		duration:       duration,
		work:           p.predictor.work(t),
		guaranteed:     p.guaranteed[t.job.ID],
		expired:        tooLate && t.job.RoundCount == 0 && !t.job.LongRunning(),
		preempting:     p.now.Sub(t.preemptedAt[u.Tasks[0]]) < freedHoldTime,
		leavesHeadroom: p.leavesHeadroom(t, u, due, chain),
		mayProve:       mayProve(t, u),
		suspicion:      p.suspicionOfUnit(t, u),
		suspectedAt:    p.suspectedAt(t, u),
	}
	w.rackWait = p.rackWaitOf(w)
	p.markRollout(&w)
	return w
}

// isLate reports whether a unit can no longer be on time. Urgent units are judged always, others while
// their service is overloaded: the order of late units matters only if work has to wait. A job that
// has begun keeps its place, or its last tasks would wait behind all newer jobs and the work done
// would be of no use to its caller.
func (p *plan) isLate(w waitingUnit) bool {
	judged := w.urgent() || p.overloaded(w) && w.tracked.progress.Phase == job.Queued && !w.tracked.job.LongRunning()
	return judged && p.now.Add(w.duration).After(w.due)
}

// guaranteedJobs returns the jobs covered by their team's guarantee: urgent jobs that have not
// ended, in order of acceptance, as long as all of them together need no more accelerators than are
// guaranteed.
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
		used[t.job.Team] += t.job.PeakAccelerators()
		guaranteed[t.job.ID] = used[t.job.Team] <= p.catalog.GuaranteedAccelerators(t.job.Team)
	}
	return guaranteed
}

// wakeForNextRound schedules a decision for when the job's next round is due.
func (p *plan) wakeForNextRound(t *trackedJob) {
	for k := range t.job.Rounds() {
		due := t.job.DueAt(k)
		if due.After(p.now) {
			p.wakeAt(due)
			return
		}
	}
}
