package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A task under which workers have crashed is a suspect: it, or what ran beside it, may crash the next one too. Placed as others are, it
// meets the same neighbours again, since what was lost together waits together: of nine stand-in days with one such task and one sound job
// seven gave up the sound job as well. So suspects keep apart from each other where there is room for that. Before the crash that may give it
// up, a suspect is tried on a worker of its own, where the least is lost, which tells it from its neighbours. Spreading suspects over the
// emptiest workers after one crash gained nothing more on stand-in days.
const (
	// trialTime is for how long a worker is a suspect's own. A task that crashes its worker later is found by number alone.
	trialTime = 5 * time.Second
	// trialPatience is how long a suspect waits for such a worker, before it takes any. Users count a job as lost of which nothing runs for 3 s
	// while there is room.
	trialPatience = 1500 * time.Millisecond
	// trialShare bounds the workers that are suspects' own at once, as a share.
	trialShare = 0.25
	// recentCrash is for how long a worker that has crashed is itself suspected. The emptiest worker is often one that has just come back: a
	// worker that crashes again and again took the same sound task three times.
	recentCrash = 10 * time.Second
	// soundAfter is how long a task that lasts must have been there to be cleared. Such a task outlives many workers, and without this it would be given up
	// at the third that crashes, in however many months. One that crashes each of its workers only after that is not found.
	soundAfter = time.Minute
)

// suspicionLevel is how far the tasks of a unit are suspected.
type suspicionLevel int

const (
	trusted suspicionLevel = iota
	// suspected: a worker has crashed under one of the tasks.
	suspected
	// onTrial: one more crash may give the task up.
	onTrial
)

// suspicionOfTask is how far a task is suspected.
func suspicionOfTask(t *job.Task) suspicionLevel {
	switch {
	case t == nil || t.Done || t.SuspectedCrashes() == 0:
		return trusted
	case t.NeedsTrial():
		return onTrial
	}
	return suspected
}

// suspicionOfUnit is that of its most suspected task.
func (p *plan) suspicionOfUnit(t *trackedJob, u job.Unit) suspicionLevel {
	if t.progress.Suspects() == 0 || !p.c.has(SuspectsApart) {
		return trusted
	}
	most := trusted
	for _, name := range u.Tasks {
		most = max(most, suspicionOfTask(t.progress.Task(name)))
	}
	return most
}

// suspectedAt is when a worker last crashed under a task of the unit. A leader that did not see it takes it for now.
func (t *trackedJob) suspectedAt(u job.Unit, now time.Time) time.Time {
	var latest time.Time
	if t.progress.Suspects() == 0 {
		return latest
	}
	for _, name := range u.Tasks {
		if suspicionOfTask(t.progress.Task(name)) == trusted {
			continue
		}
		if _, known := t.crashedAt[name]; !known {
			t.crashedAt[name] = now
		}
		if at := t.crashedAt[name]; at.After(latest) {
			latest = at
		}
	}
	return latest
}

// markSuspects marks the workers on which suspects run.
func (p *plan) markSuspects() {
	if !p.c.has(SuspectsApart) {
		return
	}
	for _, n := range p.nodes {
		for _, r := range n.runs {
			if r.tracked.progress.Suspects() > 0 {
				p.clearIfSound(n, r)
				p.markSuspect(n, r, suspicionOfTask(r.tracked.progress.Task(r.name)))
			}
		}
	}
}

// clearIfSound forgets the crashes under a task that lasts once it has been there long enough.
func (p *plan) clearIfSound(n *node, r *running) {
	if !r.tracked.job.Steps[r.name.Step].LongRunning || p.ageOf(n, r) < soundAfter || !r.tracked.progress.ClearCrashes(r.name) {
		return
	}
	p.c.touch(r.tracked)
	p.c.logger.Info().Str("step", "dispatch.clear").Stringer("task", r.name).Int("run", r.run).Msg("task is no longer suspected")
}

// markSuspect marks the worker of a run by how far its task is suspected.
func (p *plan) markSuspect(n *node, r *running, s suspicionLevel) {
	if s == trusted {
		return
	}
	n.hasSuspects = true
	if s == onTrial && p.ageOf(n, r) < trialTime && n.trialRun == nil {
		n.trialRun = r
		p.trials++
	}
}

// ageOf is for how long a run has been there, zero if it has not been seen there.
func (p *plan) ageOf(n *node, r *running) time.Duration {
	if o, known := n.worker.runs[runID(r)]; known {
		return p.now.Sub(o.startedAt)
	}
	return 0
}

// awaitsVerdict reports whether it has to be known first whether the last workers of a task crashed.
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

// mustKeepApart reports whether the unit must not be placed on the node for the sake of suspects.
func (p *plan) mustKeepApart(w waitingUnit, n *node) bool {
	switch {
	case n.trialRun != nil && !isOf(w, n.trialRun):
		return true
	case w.suspicion != onTrial || p.now.Sub(w.suspectedAt) >= trialPatience:
		return false
	}
	return n.trialRun == nil && p.trials >= p.maxTrials() || p.unsteady(n) || slices.ContainsFunc(n.runs, func(r *running) bool { return !isOf(w, r) })
}

// isOf reports whether a run is of the unit: only a gang's members are, and only they crash as one.
func isOf(w waitingUnit, r *running) bool {
	return w.step.Gang && firstOf(r.name) == firstOf(w.unit.Tasks[0])
}

// maxTrials is how many workers may be suspects' own at once.
func (p *plan) maxTrials() int { return max(1, int(trialShare*float64(len(p.nodes)))) }

// compareRisk orders two nodes for a unit by what a crash may lose. A suspect keeps off others and off workers that have just crashed; one that is on
// trial takes the worker with the least work besides. Work that is not suspected goes where it always does.
func (p *plan) compareRisk(w waitingUnit, a, b *node) int {
	if w.suspicion == trusted {
		return 0
	}
	order := cmp.Or(compareBool(a.hasSuspects, b.hasSuspects), compareBool(p.unsteady(a), p.unsteady(b)))
	if order != 0 || w.suspicion == suspected {
		return order
	}
	return cmp.Or(cmp.Compare(lostWorkOf(a.runs), lostWorkOf(b.runs)), cmp.Compare(len(a.runs), len(b.runs)))
}

// unsteady reports whether the worker has crashed a short while ago.
func (p *plan) unsteady(n *node) bool { return p.now.Sub(n.worker.crashedAt) < recentCrash }
