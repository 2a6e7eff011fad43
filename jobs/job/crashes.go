package job

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Thresholds at which a task is given up. A task that crashes every worker on which it starts
// takes down one worker after another, along with everything that runs there, so it must stop
// being retried. A sound task that shares a worker with it, or that runs on workers that crash
// for other reasons, must continue. Callers accept that a task is given up after two crashes,
// and do not accept a third start after the third crash.
//
// After giveUpCrashes crashes a task is therefore given up at once if giveUpSoleCrashes of them
// happened while it was already suspected and the only possible cause, and
// giveUpConfirmedCrashes of them are confirmed. Otherwise it gets maxExtraStarts more starts,
// and is given up when it would need another one.
const (
	giveUpCrashes          = 3
	giveUpConfirmedCrashes = 2
	giveUpSoleCrashes      = 2
	maxExtraStarts         = 2
)

// unresolvedTTL is how long an unresolved incarnation counts as a possible crash. Workers
// return within seconds of a crash, and one that is gone permanently never reports what happened.
const unresolvedTTL = 30 * time.Second

// CrashVerdict classifies the end of a worker's incarnation for a run that was placed on it.
type CrashVerdict int

// Verdicts on the loss of a run.
const (
	// NotCrashed means that the worker left as announced, or has answered again.
	NotCrashed CrashVerdict = iota
	// NeverStarted means that the run had not started.
	NeverStarted
	// Crashed means that the worker crashed while the run was on it.
	Crashed
	// MaybeCrashed means that it is uncertain whether the run was on the worker, or whether the
	// worker crashed because of what ran on it.
	MaybeCrashed
	// Unresolved means that the worker does not respond and the run is given up. Whether the
	// worker crashed is known once it is back in contact.
	Unresolved
	// UnresolvedStartUnknown is like Unresolved, but the run may never have started.
	UnresolvedStartUnknown
)

// RunLoss describes the loss of a run because its worker's incarnation ended or stopped
// responding.
type RunLoss struct {
	Verdict CrashVerdict
	// SoleSuspect reports whether the task, or its gang, is the only possible cause of a crash:
	// nothing else ran on the worker, the worker had not crashed shortly before, and others did
	// not crash at the same time.
	SoleSuspect bool
	// Unresponsive reports, for an unresolved loss, whether the worker did not answer its agent,
	// so that it has most likely crashed. At is when the run was given up.
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

// crashes returns the number of workers that certainly or possibly crashed while they ran the task,
// without those that are unresolved.
func (t *Task) crashes() int { return t.Crashes + t.UncertainCrashes }

// SuspectedCrashes returns the number of workers that crashed, or most likely crashed, while they
// ran the task.
func (t *Task) SuspectedCrashes() int {
	n := t.crashes()
	for _, u := range t.Unresolved {
		if u.Unresponsive {
			n++
		}
	}
	return n
}

// possibleCrashes returns the number of workers that may have crashed while they ran the task,
// including recent unresolved incarnations.
func (t *Task) possibleCrashes(now time.Time) int {
	n := t.crashes()
	for _, u := range t.Unresolved {
		if now.Sub(u.At) < unresolvedTTL {
			n++
		}
	}
	return n
}

// mustGiveUp reports whether the task has crashed so many workers that it must not start again.
// During its last permitted run it may still succeed.
func (t *Task) mustGiveUp() bool {
	if t.crashes() < giveUpCrashes {
		return false
	}
	confirmed := t.SoleCrashes >= giveUpSoleCrashes && t.Crashes >= giveUpConfirmedCrashes
	return confirmed || t.ExtraStarts >= maxExtraStarts && !t.Placed()
}

// GivenUpForCrashes reports whether the task is given up because it has crashed too many workers.
func (t *Task) GivenUpForCrashes() bool { return !t.Done && t.mustGiveUp() }

// AwaitsVerdict reports whether the task must not start until it is known whether its unresolved
// incarnations crashed, or until unresolvedTTL has passed, because it may already have used its
// last start.
func (t *Task) AwaitsVerdict(now time.Time) bool {
	return t.ExtraStarts >= maxExtraStarts && t.possibleCrashes(now) >= giveUpCrashes
}

// HasExtraStarts reports whether the task has used extra starts. Each further start may be its
// last, so it must not be stopped without need.
func (t *Task) HasExtraStarts() bool { return t.ExtraStarts > 0 }

// OneCrashFromGiveUp reports whether the task may be given up at its next crash.
func (t *Task) OneCrashFromGiveUp() bool { return t.SuspectedCrashes() >= giveUpCrashes-1 }

// countStart counts the start as an extra one if the task may have reached giveUpCrashes, the
// number of crashes that callers accept.
func (t *Task) countStart(now time.Time) {
	if t.possibleCrashes(now) >= giveUpCrashes {
		t.ExtraStarts++
	}
}

// uncountStart reverts countStart for a start that was not carried out.
func (t *Task) uncountStart() { t.ExtraStarts = max(t.ExtraStarts-1, 0) }

// recordLoss records the loss of the task's run on an incarnation.
func (t *Task) recordLoss(worker string, on incarnation.ID, l RunLoss) {
	switch l.Verdict {
	case Crashed, MaybeCrashed:
		t.countCrash(l)
	case NeverStarted:
		t.uncountStart()
	case Unresolved, UnresolvedStartUnknown:
		if t.Unresolved == nil {
			t.Unresolved = map[incarnation.ID]unresolvedRun{}
		}
		if t.Unresolved[on].Started {
			// A later run on the same unresponsive incarnation must not replace the one that is
			// known to have started there.
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

// countCrash counts a crash. The first crash never counts as a sole one, because an unsuspected
// task shares its worker with others.
func (t *Task) countCrash(l RunLoss) {
	if l.SoleSuspect && t.crashes() > 0 {
		t.SoleCrashes++
	}
	if l.Verdict == Crashed {
		t.Crashes++
		return
	}
	t.UncertainCrashes++
}

// ClearCrashes resets the crash counts of a task that has proved sound. It returns false if there
// were no crashes.
func (p *Progress) ClearCrashes(name TaskName) bool {
	t := p.Task(name)
	if t == nil || t.SuspectedCrashes() == 0 {
		return false
	}
	t.Crashes, t.UncertainCrashes, t.SoleCrashes, t.ExtraStarts, t.Unresolved = 0, 0, 0, 0, nil
	p.countSuspects()
	return true
}

// Resolve records how an unresolved incarnation ended. It calls verdict for each run that was
// given up there; started tells whether the run is known to have started. It returns the tasks
// that may have crashed the worker.
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

// EachUnresolved calls f with the worker and ID of each unresolved incarnation of the job's tasks.
func (p *Progress) EachUnresolved(f func(worker string, id incarnation.ID)) {
	for _, t := range p.tasks {
		for id, u := range t.Unresolved {
			f(u.Worker, id)
		}
	}
}
