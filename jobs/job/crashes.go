package job

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// When a task is given up. A task that crashes each worker on which it starts takes one after
// the other away, with all that runs there, so its starts must end; a sound task beside it, or
// on workers that crash for other reasons, must go on. Callers accept that a task is given up
// after two crashes, and don't accept a third start after the third crash.
//
// So after giveUpCrashes a task is given up at once if giveUpSoleCrashes of them came when it
// was already suspected and nothing else could be blamed, and giveUpSureCrashes are sure.
// Otherwise it gets maxExtraStarts more, and is given up when it would need another one.
const (
	giveUpCrashes     = 3
	giveUpSureCrashes = 2
	giveUpSoleCrashes = 2
	maxExtraStarts    = 2
)

// unresolvedFor is how long an unresolved incarnation counts as a crash that may still come to
// light. Workers are back within seconds of a crash; one that is gone for good says nothing any
// more.
const unresolvedFor = 30 * time.Second

// CrashVerdict is what the end of a worker's incarnation means for a run that was placed there.
type CrashVerdict int

// The verdicts.
const (
	// NotCrashed: the worker left as announced, or has answered again.
	NotCrashed CrashVerdict = iota
	// NeverStarted: the run had not started.
	NeverStarted
	// Crashed: the worker crashed while the run was there.
	Crashed
	// MaybeCrashed: it is uncertain whether the run was there, or whether the worker crashed
	// because of what ran there.
	MaybeCrashed
	// Unresolved: the worker is silent and the run is given up. Whether the worker crashed will
	// show when it is heard of again.
	Unresolved
	// UnresolvedUnseen: like Unresolved, and the run may never have started.
	UnresolvedUnseen
)

// RunLoss is what the end of a worker's incarnation, or its silence, means for a run.
type RunLoss struct {
	Verdict CrashVerdict
	// Sole says that nothing else can be blamed for a crash: only the task, or its gang, was
	// there, the worker had not crashed shortly before, and others did not crash at the same
	// time.
	Sole bool
	// Unresponsive says of an unresolved loss that the worker did not answer its agent, so that
	// it has most likely crashed. At is when the run was given up.
	Unresponsive bool
	At           time.Time
}

// unresolvedRun is a run that was given up before it was known whether its worker crashed.
type unresolvedRun struct {
	Worker       string    `json:"w"`
	Run          int       `json:"r"`
	Started      bool      `json:"b,omitempty"`
	Unresponsive bool      `json:"s,omitempty"`
	At           time.Time `json:"at,omitzero"`
}

// crashes is how many workers have crashed under the task as far as is known.
func (t *Task) crashes() int { return t.Crashes + t.UncertainCrashes }

// SuspectedCrashes is how many workers have crashed under the task, or most likely have.
func (t *Task) SuspectedCrashes() int {
	n := t.crashes()
	for _, u := range t.Unresolved {
		if u.Unresponsive {
			n++
		}
	}
	return n
}

// possibleCrashes is how many workers may have crashed under the task, including those of which
// it may still come to light.
func (t *Task) possibleCrashes(now time.Time) int {
	n := t.crashes()
	for _, u := range t.Unresolved {
		if now.Sub(u.At) < unresolvedFor {
			n++
		}
	}
	return n
}

// mustGiveUp reports whether the task has crashed so many workers that it must not start again.
// While it runs for the last time it may still succeed.
func (t *Task) mustGiveUp() bool {
	if t.crashes() < giveUpCrashes {
		return false
	}
	proven := t.SoleCrashes >= giveUpSoleCrashes && t.Crashes >= giveUpSureCrashes
	return proven || t.ExtraStarts >= maxExtraStarts && !t.Placed()
}

// GivenUpForCrashes reports whether the job was given up since workers crash under the task.
func (t *Task) GivenUpForCrashes() bool { return !t.Done && t.mustGiveUp() }

// AwaitsVerdict reports whether the task must not start before it is known whether the unresolved
// incarnations crashed: it may have had its last start.
func (t *Task) AwaitsVerdict(now time.Time) bool {
	return t.ExtraStarts >= maxExtraStarts && t.possibleCrashes(now) >= giveUpCrashes
}

// HasExtraStarts reports whether each start of the task may be its last, so that it must not be
// stopped without need.
func (t *Task) HasExtraStarts() bool { return t.ExtraStarts > 0 }

// NeedsTrial reports whether the next crash under the task may give it up.
func (t *Task) NeedsTrial() bool { return t.SuspectedCrashes() >= giveUpCrashes-1 }

// countStart counts a start after the last crash that callers accept.
func (t *Task) countStart(now time.Time) {
	if t.possibleCrashes(now) >= giveUpCrashes {
		t.ExtraStarts++
	}
}

// uncountStart takes back the count of a start that was not carried out.
func (t *Task) uncountStart() { t.ExtraStarts = max(t.ExtraStarts-1, 0) }

// recordLoss records what the end or the silence of an incarnation means for the task's run there.
func (t *Task) recordLoss(worker string, on incarnation.ID, l RunLoss) {
	switch l.Verdict {
	case Crashed, MaybeCrashed:
		t.countCrash(l)
	case NeverStarted:
		t.uncountStart()
	case Unresolved, UnresolvedUnseen:
		if t.Unresolved == nil {
			t.Unresolved = map[incarnation.ID]unresolvedRun{}
		}
		if t.Unresolved[on].Started {
			// A later run that was placed on a silent incarnation says nothing of the one that
			// had started there.
			return
		}
		t.Unresolved[on] = unresolvedRun{
			Worker:       worker,
			Run:          t.Run,
			Started:      l.Verdict == Unresolved,
			Unresponsive: l.Unresponsive,
			At:           l.At,
		}
	}
}

// countCrash counts a crash. The first one is never the task's alone: until then it is placed
// beside others.
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

// ClearCrashes forgets the crashes under a task that has proved sound. It returns false if
// there were none.
func (p *Progress) ClearCrashes(name TaskName) bool {
	t := p.Task(name)
	if t == nil || t.SuspectedCrashes() == 0 {
		return false
	}
	t.Crashes, t.UncertainCrashes, t.SoleCrashes, t.ExtraStarts, t.Unresolved = 0, 0, 0, 0, nil
	p.countSuspects()
	return true
}

// Resolve records how an unresolved incarnation ended; verdict says what that means for a run,
// and started whether the run was known to have started. It returns the tasks under which the
// worker crashed.
func (p *Progress) Resolve(
	j *Job, ended incarnation.ID, verdict func(name TaskName, run int, started bool) RunLoss,
) map[TaskName]CrashVerdict {
	crashed := map[TaskName]CrashVerdict{}
	for s, t := range p.tasks {
		u, unresolved := t.Unresolved[ended]
		if !unresolved {
			continue
		}
		delete(t.Unresolved, ended)
		name := TaskName{Job: j.ID, Round: s.round, Step: s.step, Index: s.index}
		loss := verdict(name, u.Run, u.Started)
		if loss.Verdict == Crashed || loss.Verdict == MaybeCrashed {
			t.countCrash(loss)
			crashed[name] = loss.Verdict
		} else if t.crashes()+len(t.Unresolved) < giveUpCrashes {
			t.ExtraStarts = 0
		}
	}
	p.updatePhase(j)
	return crashed
}

// EachUnresolved calls f for each unresolved incarnation of the job's tasks, with its worker.
func (p *Progress) EachUnresolved(f func(worker string, id incarnation.ID)) {
	for _, t := range p.tasks {
		for id, u := range t.Unresolved {
			f(u.Worker, id)
		}
	}
}
