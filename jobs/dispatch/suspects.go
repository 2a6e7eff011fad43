package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A task under which workers have crashed is a suspect: it, or what ran beside it, may crash
// the next one too. Placed like others it would meet the same neighbours again, since what was
// lost together waits together, and a sound task would be given up with it. So suspects keep
// apart from each other where there is room. Before the crash that may give it up, a suspect is
// on trial: it gets a worker of its own, which shows whether it or a neighbour is to blame.
// When a task is given up is decided in package job.
const (
	// trialTime is how long a worker is reserved for a suspect on trial. A task that crashes
	// its worker later is only found by the number of crashes.
	trialTime = 5 * time.Second
	// trialPatience is how long a suspect waits for such a worker before it takes any. It is
	// less than the 3 s within which callers expect a job to start for which there is room.
	trialPatience = 1500 * time.Millisecond
	// maxTrialShare bounds the workers that are reserved for suspects, as a share of all.
	maxTrialShare = 0.25
	// recentCrash is how long a worker that has crashed is itself suspected. The emptiest
	// worker is often one that has just come back.
	recentCrash = 10 * time.Second
	// soundAfter is how long a long-running task must run to be cleared. Such a task outlives many
	// workers, and would be given up at the third that crashes, however much later.
	soundAfter = time.Minute
)

// suspicionLevel is how far a task is suspected.
type suspicionLevel int

const (
	trusted suspicionLevel = iota
	// suspected: a worker has crashed under the task.
	suspected
	// onTrial: one more crash may give the task up.
	onTrial
)

func suspicionOfTask(t *job.Task) suspicionLevel {
	switch {
	case t == nil || t.Done || t.SuspectedCrashes() == 0:
		return trusted
	case t.NeedsTrial():
		return onTrial
	}
	return suspected
}

// suspicionOfUnit is that of the unit's most suspected task.
func (p *plan) suspicionOfUnit(t *trackedJob, u job.Unit) suspicionLevel {
	if t.progress.Suspects() == 0 || !p.has(SuspectsApart) {
		return trusted
	}
	most := trusted
	for _, name := range u.Tasks {
		most = max(most, suspicionOfTask(t.progress.Task(name)))
	}
	return most
}

// suspectedAt is when a worker last crashed under a task of the unit.
func (p *plan) suspectedAt(t *trackedJob, u job.Unit) time.Time {
	var latest time.Time
	if t.progress.Suspects() == 0 {
		return latest
	}
	for _, name := range u.Tasks {
		if suspicionOfTask(t.progress.Task(name)) == trusted {
			continue
		}
		p.assumeCrash(t, name)
		if at := t.crashedAt[name]; at.After(latest) {
			latest = at
		}
	}
	return latest
}

// markSuspects marks the nodes on which suspects run.
func (p *plan) markSuspects() {
	if !p.has(SuspectsApart) {
		return
	}
	for _, n := range p.nodes {
		for _, r := range n.runs {
			if r.tracked.progress.Suspects() == 0 {
				continue
			}
			if r.step().LongRunning && p.runningFor(r) >= soundAfter {
				p.clearCrashes(r)
			}
			p.markSuspect(r, suspicionOfTask(r.tracked.progress.Task(r.name)))
		}
	}
}

// markSuspect marks the node of a run by how far its task is suspected.
func (p *plan) markSuspect(r *running, s suspicionLevel) {
	if s == trusted {
		return
	}
	n := r.node
	n.hasSuspects = true
	if s == onTrial && p.runningFor(r) < trialTime && n.trialRun == nil {
		n.trialRun = r
		p.trials++
	}
}

// runningFor is how long a run has been there; zero if its worker has not listed it.
func (p *plan) runningFor(r *running) time.Duration {
	if o, known := r.observed(); known {
		return p.now.Sub(o.startedAt)
	}
	return 0
}

// awaitsVerdict reports whether it must be known first whether the last workers of a task crashed.
func (p *plan) awaitsVerdict(w waitingUnit) bool {
	if w.tracked.progress.Suspects() == 0 {
		return false
	}
	for _, name := range w.unit.Tasks {
		if t := w.tracked.progress.Task(name); t != nil && t.AwaitsVerdict(p.now) {
			return true
		}
	}
	return false
}

// onExtraStart reports whether the run's task may be given up when it stops.
func (r *running) onExtraStart() bool {
	if r.tracked.progress.Suspects() == 0 {
		return false
	}
	t := r.tracked.progress.Task(r.name)
	return t != nil && t.HasExtraStarts()
}

// mustKeepApart reports whether the unit must not be placed on the node because of suspects:
// another unit has the node to itself, the unit is a suspect and the worker gives no answer at
// present, or the unit is on trial and the node is not a good place for that. A start that a
// worker which has just crashed doesn't answer would count as one more crash under the task.
func (p *plan) mustKeepApart(w waitingUnit, n *node) bool {
	switch {
	case n.trialRun != nil && !isOf(w, n.trialRun):
		return true
	case w.suspicion != trusted && !n.failingSince.IsZero():
		return true
	case w.suspicion != onTrial || p.now.Sub(w.suspectedAt) >= trialPatience:
		return false
	}
	full := n.trialRun == nil && p.trials >= p.maxTrials()
	shared := slices.ContainsFunc(n.runs, func(r *running) bool { return !isOf(w, r) })
	return full || p.crashedRecently(n) || shared
}

// isOf reports whether a run is of the unit's gang: only a gang has runs while it waits.
func isOf(w waitingUnit, r *running) bool {
	return w.step.Gang && firstOf(r.name) == firstOf(w.first())
}

// maxTrials is how many nodes may be reserved for suspects at once.
func (p *plan) maxTrials() int { return max(1, int(maxTrialShare*float64(len(p.nodes)))) }

// compareRisk orders two nodes for a unit by what a crash may lose. A suspect keeps off others
// and off workers that crashed recently; one on trial takes the worker with the least work.
// Units that are not suspected don't care.
func (p *plan) compareRisk(w waitingUnit, a, b *node) int {
	if w.suspicion == trusted {
		return 0
	}
	order := cmp.Or(
		compareBool(a.hasSuspects, b.hasSuspects),
		compareBool(p.crashedRecently(a), p.crashedRecently(b)),
	)
	if order != 0 || w.suspicion == suspected {
		return order
	}
	return cmp.Or(cmp.Compare(lostWorkOf(a.runs), lostWorkOf(b.runs)), cmp.Compare(len(a.runs), len(b.runs)))
}

// crashedRecently reports whether the node's worker has crashed a short while ago.
func (p *plan) crashedRecently(n *node) bool { return p.now.Sub(n.crashedAt) < recentCrash }
