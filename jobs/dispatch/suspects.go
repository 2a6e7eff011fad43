package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A task that workers crashed under is a suspect: it, or a task that ran beside it, may crash the
// next worker too. If suspects were placed like other tasks, a suspect would meet the same
// neighbours again, since tasks that are lost together also wait together, and a healthy task would
// be given up along with the faulty one. So suspects are kept apart from each other where capacity
// permits. Before the crash that may cause it to be given up, a suspect is on trial: it gets a
// worker of its own, which shows whether the task itself or a neighbour is to blame. Package job
// decides when a task is given up.
const (
	// trialTime is how long a worker is reserved for a suspect on trial. A task that crashes its
	// worker later than that is only detected by the number of crashes.
	trialTime = 5 * time.Second
	// trialMaxWait is how long a suspect waits for such a worker before it takes any. It is shorter
	// than the 3 s within which callers expect a job to start if there is capacity for it.
	trialMaxWait = 1500 * time.Millisecond
	// maxTrialShare bounds the workers that are reserved for suspects, as a share of all workers.
	maxTrialShare = 0.25
	// recentCrash is how long a worker that has crashed is itself suspected. The emptiest worker is
	// often one that has just restarted.
	recentCrash = 10 * time.Second
	// clearCrashesAfter is how long a long-running task must run to be cleared. Such a task
	// outlives many workers, and would otherwise be given up at the third crash, no matter how much
	// time has passed.
	clearCrashesAfter = time.Minute
)

// suspicionLevel is how strongly a task is suspected.
type suspicionLevel int

const (
	trusted suspicionLevel = iota
	// suspected means that a worker has crashed under the task.
	suspected
	// onTrial means that one more crash may cause the task to be given up.
	onTrial
)

func suspicionOfTask(t *job.Task) suspicionLevel {
	switch {
	case t == nil || t.Done || t.SuspectedCrashes() == 0:
		return trusted
	case t.OneCrashFromGiveUp():
		return onTrial
	}
	return suspected
}

// suspicionOfUnit returns the suspicion of the unit's most suspected task.
func (p *plan) suspicionOfUnit(t *trackedJob, u job.Unit) suspicionLevel {
	if t.progress.Suspects() == 0 || !p.has(IsolateSuspects) {
		return trusted
	}
	most := trusted
	for _, name := range u.Tasks {
		most = max(most, suspicionOfTask(t.progress.Task(name)))
	}
	return most
}

// suspectedAt returns when a worker last crashed under a task of the unit.
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
	if !p.has(IsolateSuspects) {
		return
	}
	for _, n := range p.nodes {
		for _, r := range n.runs {
			if r.tracked.progress.Suspects() == 0 {
				continue
			}
			if r.step().LongRunning && p.runningFor(r) >= clearCrashesAfter {
				p.clearCrashes(r)
			}
			p.markSuspect(r, suspicionOfTask(r.tracked.progress.Task(r.name)))
		}
	}
}

// markSuspect marks the node of a run according to the suspicion of its task.
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

// runningFor returns how long a run has been present; zero if its worker has not listed it.
func (p *plan) runningFor(r *running) time.Duration {
	if o, known := r.observed(); known {
		return p.now.Sub(o.startedAt)
	}
	return 0
}

// awaitsVerdict reports whether the unit must wait until it is known whether the last worker of one
// of its tasks crashed.
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

// onExtraStart reports whether stopping the run may cause its task to be given up.
func (r *running) onExtraStart() bool {
	if r.tracked.progress.Suspects() == 0 {
		return false
	}
	t := r.tracked.progress.Task(r.name)
	return t != nil && t.HasExtraStarts()
}

// mustIsolate reports whether suspects prevent placing the unit on the node: another unit has the
// node to itself, the unit is a suspect and the worker currently doesn't respond, or the unit is on
// trial and the node is unsuitable for that. If a suspect were sent to a worker that has just
// crashed, the unanswered start would count as one more crash of the task.
func (p *plan) mustIsolate(w waitingUnit, n *node) bool {
	switch {
	case n.trialRun != nil && !inSameGang(w, n.trialRun):
		return true
	case w.suspicion != trusted && !n.failingSince.IsZero():
		return true
	case w.suspicion != onTrial || p.now.Sub(w.suspectedAt) >= trialMaxWait:
		return false
	}
	full := n.trialRun == nil && p.trials >= p.maxTrials()
	shared := slices.ContainsFunc(n.runs, func(r *running) bool { return !inSameGang(w, r) })
	return full || p.crashedRecently(n) || shared
}

// inSameGang reports whether a run belongs to the unit's gang. Only a gang has runs while it waits.
func inSameGang(w waitingUnit, r *running) bool {
	return w.step.Gang && firstOf(r.name) == firstOf(w.first())
}

// maxTrials returns how many nodes may be reserved for suspects at once.
func (p *plan) maxTrials() int { return max(1, int(maxTrialShare*float64(len(p.nodes)))) }

// compareRisk orders two nodes for a unit by what a crash may lose. A suspect avoids other suspects
// and workers that crashed recently; one on trial takes the worker with the least work. For units
// that are not suspected all nodes are equal.
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

// crashedRecently reports whether the node's worker has crashed recently.
func (p *plan) crashedRecently(n *node) bool { return p.now.Sub(n.crashedAt) < recentCrash }
