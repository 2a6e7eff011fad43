package job

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// CrashVerdict is what the end of a worker's life means for a run that was placed there.
type CrashVerdict int

// The fates.
const (
	// Spared: the worker had left as it had told.
	NotCrashed CrashVerdict = iota
	// Unbegun: the run had not begun.
	NeverStarted
	// Crashed: the worker crashed while the run was there.
	Crashed
	// Doubtful: the worker crashed, and the run may have been there; or it was, and the crash may have another cause.
	MaybeCrashed
	// Open: nothing is heard of the worker, and nothing of the run is left there. Whether it crashed shows when it is heard of again.
	Unresolved
	// OpenDoubtful: likewise, and the run may never have begun.
	UnresolvedUnseen
)

// RunLoss is what the end of a worker's life means for a run that was placed there.
type RunLoss struct {
	Verdict CrashVerdict
	// Sole says that nothing else is known that may have crashed the worker: nothing else was there but members of the task's gang, the worker had not
	// crashed a short while before, and others did not crash at the same time.
	Sole bool
	// Unresponsive says of an open fate that the worker gave no answer to its agent, so that it has most likely crashed. At is when its run was given
	// up.
	Unresponsive bool
	At           time.Time
}

// unresolvedRun is a life of a worker on which a run of the task was given up before it was known how the life ended.
type unresolvedRun struct {
	Worker       string    `json:"w"`
	Run          int       `json:"r"`
	Started      bool      `json:"b,omitempty"`
	Unresponsive bool      `json:"s,omitempty"`
	At           time.Time `json:"at,omitzero"`
}

// When a task is given up. A task that crashes each worker that starts it takes one after the other away, with all that runs there, so its
// starts have to end; a sound task beside it, or on workers that crash for other reasons, must go on. Users allow a task to be given up from
// two crashes under it on, and forbid the third start after the third crash. So of three crashes two must have come when it was already
// suspected and nothing else could be blamed, and two must be sure; otherwise it gets two more starts, and is given up when it would need another one. With
// a single crash to itself enough, 24 of 5,319 sound jobs were given up on 200 stand-in days of crashes for all kinds of reasons; with two 3 of 5,400, for 4.4
// instead of 3.7 workers crashed by each task that does so.
const (
	giveUpCrashes     = 3
	giveUpSureCrashes = 2
	giveUpSoleCrashes = 2
	maxExtraStarts    = 2
)

// unresolvedFor is how long an open life counts as a crash that may still come to light. Workers are back within seconds of one; a
// worker that is gone for good says nothing any more.
const unresolvedFor = 30 * time.Second

// SuspectedCrashes is how many workers have crashed under the task, or may have, for all that is known by its fault.
func (t *Task) SuspectedCrashes() int {
	n := t.crashes()
	for _, l := range t.Unresolved {
		if l.Unresponsive {
			n++
		}
	}
	return n
}

// crashes is how many workers have crashed under the task as far as is known.
func (t *Task) crashes() int { return t.Crashes + t.UncertainCrashes }

// mustGiveUp reports whether the task has crashed so many workers that it must not start again. While it runs it may still end well.
func (t *Task) mustGiveUp() bool {
	if t.crashes() < giveUpCrashes {
		return false
	}
	return t.SoleCrashes >= giveUpSoleCrashes && t.Crashes >= giveUpSureCrashes || t.ExtraStarts >= maxExtraStarts && !t.Placed()
}

// GivenUpForCrashes reports whether the task is why its job was given up, by the workers that crashed under it.
func (t *Task) GivenUpForCrashes() bool { return !t.Done && t.mustGiveUp() }

// AwaitsVerdict reports whether the task must not start before it is known whether the workers crashed that are open: it may have had its last start. Without
// this, tasks whose workers are away for longer than their lease were started beyond the bound 13 times on 100 stand-in days.
func (t *Task) AwaitsVerdict(now time.Time) bool {
	return t.ExtraStarts >= maxExtraStarts && t.possibleCrashes(now) >= giveUpCrashes
}

// possibleCrashes is how many workers have crashed under the task, those included of which that may still come to light.
func (t *Task) possibleCrashes(now time.Time) int {
	n := t.crashes()
	for _, l := range t.Unresolved {
		if now.Sub(l.At) < unresolvedFor {
			n++
		}
	}
	return n
}

// HasExtraStarts reports whether the task must not be stopped without need: each start may be its last.
func (t *Task) HasExtraStarts() bool { return t.ExtraStarts > 0 }

// countStart counts a start that users count: one after the third crash.
func (t *Task) countStart(now time.Time) {
	if t.possibleCrashes(now) >= giveUpCrashes {
		t.ExtraStarts++
	}
}

// uncountStart takes back the count of a start that was not carried out.
func (t *Task) uncountStart() { t.ExtraStarts = max(t.ExtraStarts-1, 0) }

// NeedsTrial reports whether the next crash under the task would give it up if nothing else is there.
func (t *Task) NeedsTrial() bool { return t.SuspectedCrashes() >= giveUpCrashes-1 }

// ClearCrashes forgets the crashes under a task: it has proved sound. It returns false if there was nothing to forget.
func (p *Progress) ClearCrashes(name TaskName) bool {
	t := p.Task(name)
	if t == nil || t.SuspectedCrashes() == 0 {
		return false
	}
	t.Crashes, t.UncertainCrashes, t.SoleCrashes, t.ExtraStarts, t.Unresolved = 0, 0, 0, 0, nil
	p.countSuspects()
	return true
}

// Suspects counts the tasks that are not done and under which workers have crashed.
func (p *Progress) Suspects() int { return p.suspects }

// recordLoss takes note of what the end of a worker's life means for the task's run there.
func (t *Task) recordLoss(worker string, at incarnation.ID, l RunLoss) {
	switch l.Verdict {
	case Crashed, MaybeCrashed:
		t.countCrash(l)
	case NeverStarted:
		t.uncountStart()
	case Unresolved, UnresolvedUnseen:
		if t.Unresolved == nil {
			t.Unresolved = map[incarnation.ID]unresolvedRun{}
		}
		if t.Unresolved[at].Started {
			// A later run that was placed on a life of which nothing was heard any more says nothing of the one that had begun there.
			return
		}
		t.Unresolved[at] = unresolvedRun{Worker: worker, Run: t.Run, Started: l.Verdict == Unresolved, Unresponsive: l.Unresponsive, At: l.At}
	}
}

// countCrash counts a crash. The first one is not the task's alone: until then it was placed where others are.
func (t *Task) countCrash(l RunLoss) {
	if l.Sole && t.crashes() > 0 {
		t.SoleCrashes++
	}
	if l.Verdict == Crashed {
		t.Crashes++
		return
	}
	t.UncertainCrashes++
}

// RecordLoss takes note that a run has ended with its worker, or that nothing of it is left there. It returns false, and changes nothing, unless that run is the one
// that is placed on that life. The count is part of the progress, and so is kept as long as the job, whoever leads.
func (p *Progress) RecordLoss(j *Job, name TaskName, run int, at incarnation.ID, l RunLoss) bool {
	return p.recordEnd(j, name, run, at, runEnd{reason: EndLost, loss: l})
}

// Resolve takes note of how a life of a worker ended of which nothing was heard when its runs were given up. Verdict says what that means for a run of which it
// was known that it had begun, or was not. It returns the tasks under which the worker crashed, with
// how sure that is.
func (p *Progress) Resolve(j *Job, over incarnation.ID, verdict func(name TaskName, run int, begun bool) RunLoss) map[TaskName]CrashVerdict {
	under := map[TaskName]CrashVerdict{}
	for s, t := range p.tasks {
		l, open := t.Unresolved[over]
		if !open {
			continue
		}
		delete(t.Unresolved, over)
		name := TaskName{Job: j.ID, Round: s.round, Step: s.step, Index: s.index}
		loss := verdict(name, l.Run, l.Started)
		if loss.Verdict == Crashed || loss.Verdict == MaybeCrashed {
			t.countCrash(loss)
			under[name] = loss.Verdict
		} else if t.crashes()+len(t.Unresolved) < giveUpCrashes {
			t.ExtraStarts = 0
		}
	}
	p.updatePhase(j)
	return under
}

// EachUnresolved calls f for each life of a worker of which it is open how it ended under a task of the job.
func (p *Progress) EachUnresolved(f func(worker string, open incarnation.ID)) {
	for _, t := range p.tasks {
		for id, l := range t.Unresolved {
			f(l.Worker, id)
		}
	}
}
