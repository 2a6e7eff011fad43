package job

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Phase is what a caller sees of a job.
type Phase byte

// The phases. The first two may still change.
const (
	Queued    Phase = 'q'
	Running   Phase = 'r'
	Completed Phase = 'c'
	Failed    Phase = 'f'
	Cancelled Phase = 'x'
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// String is the phase in words.
func (p Phase) String() string {
	switch p {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// slot is a task within its job.
type slot struct{ round, step, index int }

// Progress is what has become of a job. The zero value is not usable; see NewProgress.
type Progress struct {
	Phase Phase
	// EndedAt is when the phase became final, by the leader's clock.
	EndedAt time.Time
	tasks   map[slot]*Task
	// placed lists the placed tasks, in the order in which they were placed.
	placed []placedTask
	// suspects counts the tasks that are not done and under which workers may have crashed.
	suspects int
}

// placedTask is a task of which a run is placed.
type placedTask struct {
	slot
	task *Task
}

// NewProgress is the progress of a job of which nothing has started.
func NewProgress() *Progress { return &Progress{Phase: Queued, tasks: map[slot]*Task{}} }

// Task returns what has become of a task, or nil if it was never placed.
func (p *Progress) Task(t TaskName) *Task { return p.tasks[slot{t.Round, t.Step, t.Index}] }

func (p *Progress) ensureTask(t TaskName) *Task {
	s := slot{t.Round, t.Step, t.Index}
	if p.tasks[s] == nil {
		p.tasks[s] = &Task{}
	}
	return p.tasks[s]
}

// Each calls f for each task that has been placed at least once, in no order.
func (p *Progress) Each(id ID, f func(TaskName, *Task)) {
	for s, t := range p.tasks {
		f(TaskName{Job: id, Round: s.round, Step: s.step, Index: s.index}, t)
	}
}

// Placed calls f for each placed task, in the order in which they were placed. f may record ends.
func (p *Progress) Placed(id ID, f func(TaskName, *Task)) {
	for _, t := range p.placed {
		if t.task.Placed() {
			f(TaskName{Job: id, Round: t.round, Step: t.step, Index: t.index}, t.task)
		}
	}
}

// PlacedTasks is how many tasks of the job are placed.
func (p *Progress) PlacedTasks() int { return len(p.placed) }

// AnyPlaced reports whether a task of the job is placed.
func (p *Progress) AnyPlaced() bool { return len(p.placed) > 0 }

// removePlaced takes a task off the list. It makes a new list, since Placed may be going
// through the old one.
func (p *Progress) removePlaced(s slot) {
	p.placed = slices.DeleteFunc(slices.Clone(p.placed), func(t placedTask) bool { return t.slot == s })
}

// Assign places a new run of the task on an incarnation of a worker.
func (p *Progress) Assign(now time.Time, name TaskName, run int, worker string, on incarnation.ID) {
	t := p.ensureTask(name)
	t.countStart(now)
	if !t.Placed() {
		p.placed = append(p.placed, placedTask{slot: slot{name.Round, name.Step, name.Index}, task: t})
	}
	t.unmarkGivenUp(run)
	t.Run, t.Worker, t.Incarnation = run, worker, on
	if p.Phase == Queued {
		p.Phase = Running
	}
}

// NextRun is the number of the next run of tasks that are placed together: above all that they
// have had.
func (p *Progress) NextRun(names []TaskName) int {
	run := 0
	for _, n := range names {
		if t := p.Task(n); t != nil {
			run = max(run, t.Run)
		}
	}
	return run + 1
}

// Hold keeps a task from starting again before a time, for a start on a worker. It returns false if
// the task is done, or is held for as long and for that worker already.
func (p *Progress) Hold(now time.Time, name TaskName, until time.Time, worker string) bool {
	t := p.Task(name)
	if t == nil || t.Done {
		return false
	}
	if !now.Before(t.HeldUntil) {
		p.Release(name)
	}
	unknown := !t.HeldUntil.IsZero() && len(t.HeldOn) == 0
	another := !unknown && !slices.Contains(t.HeldOn, worker)
	if !another && !until.After(t.HeldUntil) {
		return false
	}
	if another {
		t.HeldOn = append(slices.Clone(t.HeldOn), worker)
	}
	if until.After(t.HeldUntil) {
		t.HeldUntil = until
	}
	return true
}

// Held reports whether a task is kept from starting again.
func (p *Progress) Held(name TaskName, now time.Time) bool {
	t := p.Task(name)
	return t != nil && now.Before(t.HeldUntil)
}

// CloseStart notes that no start of a held task on a worker is open any more. It returns false if one
// on another worker is, by what the task says.
func (p *Progress) CloseStart(name TaskName, worker string) bool {
	t := p.Task(name)
	if t == nil {
		return false
	}
	t.HeldOn = slices.DeleteFunc(slices.Clone(t.HeldOn), func(on string) bool { return on == worker })
	return len(t.HeldOn) == 0
}

// Release lets a task start again.
func (p *Progress) Release(name TaskName) {
	if t := p.Task(name); t != nil {
		t.HeldUntil, t.HeldOn = time.Time{}, nil
	}
}

// LimitHolds lets no task be held longer than until a time: the leader that has stored the hold
// may have had another time of day.
func (p *Progress) LimitHolds(until time.Time) {
	for _, t := range p.tasks {
		if t.HeldUntil.After(until) {
			t.HeldUntil = until
		}
	}
}

// Cancel makes the job cancelled unless its phase is final.
func (p *Progress) Cancel() {
	if !p.Phase.Final() {
		p.Phase = Cancelled
	}
}

// MarkEnded sets EndedAt once the phase is final. It returns false if there is nothing to set.
func (p *Progress) MarkEnded(now time.Time) bool {
	if !p.Phase.Final() || !p.EndedAt.IsZero() {
		return false
	}
	p.EndedAt = now
	return true
}

// updatePhase derives the phase from the tasks.
func (p *Progress) updatePhase(j *Job) {
	if p.Phase.Final() {
		return
	}
	p.countSuspects()
	for _, t := range p.tasks {
		if !t.Done && j.MaxAttempts > 0 && t.Failures >= j.MaxAttempts || t.GivenUpForCrashes() {
			p.Phase = Failed
			return
		}
	}
	if p.allDone(j) {
		p.Phase = Completed
	}
}

func (p *Progress) allDone(j *Job) bool {
	for round := range j.Rounds() {
		for step := range j.Steps {
			if !p.stepDone(j, round, step) {
				return false
			}
		}
	}
	return true
}

func (p *Progress) stepDone(j *Job, round, step int) bool {
	for i := range j.Steps[step].Tasks {
		t := p.tasks[slot{round, step, i}]
		if t == nil || !t.Done {
			return false
		}
	}
	return true
}

// Suspects counts the tasks that are not done and under which workers have crashed, or may have.
func (p *Progress) Suspects() int { return p.suspects }

func (p *Progress) countSuspects() {
	p.suspects = 0
	for _, t := range p.tasks {
		if !t.Done && (t.SuspectedCrashes() > 0 || len(t.Unresolved) > 0) {
			p.suspects++
		}
	}
}
