package job

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Phase is the state of a job that callers see.
type Phase byte

// Phases of a job. Queued and Running may still change; the others are final.
const (
	Queued    Phase = 'q'
	Running   Phase = 'r'
	Completed Phase = 'c'
	Failed    Phase = 'f'
	Cancelled Phase = 'x'
)

// Final reports whether the phase can no longer change.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// String returns the name of the phase.
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

// taskKey identifies a task within its job.
type taskKey struct{ round, step, index int }

// Progress is the execution state of a job. The zero value is not usable; see NewProgress.
type Progress struct {
	Phase Phase
	// EndedAt is when the phase became final, by the leader's clock.
	EndedAt time.Time
	tasks   map[taskKey]*Task
	// placed lists the placed tasks, in the order in which they were placed.
	placed []placedTask
	// suspects counts the unfinished tasks that may have crashed workers.
	suspects int
	// rackWaits holds the times from which gangs wait for a rack only; see AwaitRack.
	rackWaits map[gangKey]time.Time
}

// placedTask is a task that has a placed run.
type placedTask struct {
	taskKey
	task *Task
}

// gangKey identifies a gang within its job.
type gangKey struct{ round, step int }

// NewProgress returns the progress of a job that has not started.
func NewProgress() *Progress { return &Progress{Phase: Queued, tasks: map[taskKey]*Task{}} }

// Task returns the state of a task, or nil if it was never placed.
func (p *Progress) Task(t TaskName) *Task { return p.tasks[taskKey{t.Round, t.Step, t.Index}] }

func (p *Progress) ensureTask(t TaskName) *Task {
	s := taskKey{t.Round, t.Step, t.Index}
	if p.tasks[s] == nil {
		p.tasks[s] = &Task{}
	}
	return p.tasks[s]
}

// EachTask calls f for each task that has been placed at least once, in no particular order.
func (p *Progress) EachTask(id ID, f func(TaskName, *Task)) {
	for s, t := range p.tasks {
		f(TaskName{Job: id, Round: s.round, Step: s.step, Index: s.index}, t)
	}
}

// EachPlaced calls f for each placed task, in the order in which they were placed. f may record
// the ends of runs.
func (p *Progress) EachPlaced(id ID, f func(TaskName, *Task)) {
	for _, t := range p.placed {
		if t.task.Placed() {
			f(TaskName{Job: id, Round: t.round, Step: t.step, Index: t.index}, t.task)
		}
	}
}

// PlacedTasks returns the number of placed tasks.
func (p *Progress) PlacedTasks() int { return len(p.placed) }

// AnyPlaced reports whether any task is placed.
func (p *Progress) AnyPlaced() bool { return len(p.placed) > 0 }

// removePlaced removes a task from the list of placed tasks. It copies the list because
// EachPlaced may be iterating over it.
func (p *Progress) removePlaced(s taskKey) {
	p.placed = slices.DeleteFunc(slices.Clone(p.placed), func(t placedTask) bool { return t.taskKey == s })
}

// Assign places a new run of the task on an incarnation of a worker.
func (p *Progress) Assign(now time.Time, name TaskName, run int, worker string, on incarnation.ID) {
	t := p.ensureTask(name)
	t.countStart(now)
	if !t.Placed() {
		p.placed = append(p.placed, placedTask{taskKey: taskKey{name.Round, name.Step, name.Index}, task: t})
	}
	t.unmarkGivenUp(run)
	delete(p.rackWaits, gangKey{name.Round, name.Step})
	t.Run, t.Worker, t.Incarnation = run, worker, on
	if p.Phase == Queued {
		p.Phase = Running
	}
}

// NextRun returns the number of the next run of tasks that are placed together. It is higher than
// that of any of their earlier runs.
func (p *Progress) NextRun(names []TaskName) int {
	run := 0
	for _, n := range names {
		if t := p.Task(n); t != nil {
			run = max(run, t.Run)
		}
	}
	return run + 1
}

// Hold prevents a task from starting again before a time, because an earlier start on a worker may
// still be carried out. It returns false if the task was never placed, is done, or is already held
// at least as long and for that worker.
func (p *Progress) Hold(now time.Time, name TaskName, until time.Time, worker string) bool {
	t := p.Task(name)
	if t == nil || t.Done {
		return false
	}
	if !now.Before(t.HeldUntil) {
		p.Release(name)
	}
	workersUnknown := !t.HeldUntil.IsZero() && len(t.HeldOn) == 0
	newWorker := !workersUnknown && !slices.Contains(t.HeldOn, worker)
	if !newWorker && !until.After(t.HeldUntil) {
		return false
	}
	if newWorker {
		t.HeldOn = append(slices.Clone(t.HeldOn), worker)
	}
	if until.After(t.HeldUntil) {
		t.HeldUntil = until
	}
	return true
}

// Held reports whether a hold prevents a task from starting again.
func (p *Progress) Held(name TaskName, now time.Time) bool {
	t := p.Task(name)
	return t != nil && now.Before(t.HeldUntil)
}

// RemoveHoldWorker removes a worker from the hold on a task, because no start there can still be
// carried out. It reports whether no other worker is left in the hold.
func (p *Progress) RemoveHoldWorker(name TaskName, worker string) bool {
	t := p.Task(name)
	if t == nil {
		return false
	}
	t.HeldOn = slices.DeleteFunc(slices.Clone(t.HeldOn), func(on string) bool { return on == worker })
	return len(t.HeldOn) == 0
}

// Release removes the hold on a task.
func (p *Progress) Release(name TaskName) {
	if t := p.Task(name); t != nil {
		t.HeldUntil, t.HeldOn = time.Time{}, nil
	}
}

// LimitHolds shortens all holds to end at the given time at the latest, because the clock of the
// leader that stored them may have differed.
func (p *Progress) LimitHolds(until time.Time) {
	for _, t := range p.tasks {
		if t.HeldUntil.After(until) {
			t.HeldUntil = until
		}
	}
}

// AwaitRack records the time from which a gang could run if it did not wait for a rack. The time is
// stored, so that a new leader doesn't restart the wait; it is dropped when the gang is placed.
// AwaitRack returns false if the gang waits already.
func (p *Progress) AwaitRack(gang TaskName, since time.Time) bool {
	key := gangKey{gang.Round, gang.Step}
	if _, waits := p.rackWaits[key]; waits {
		return false
	}
	if p.rackWaits == nil {
		p.rackWaits = map[gangKey]time.Time{}
	}
	p.rackWaits[key] = since
	return true
}

// AwaitsRackSince returns the time from which a gang waits for a rack; false if it doesn't.
func (p *Progress) AwaitsRackSince(gang TaskName) (since time.Time, waits bool) {
	since, waits = p.rackWaits[gangKey{gang.Round, gang.Step}]
	return since, waits
}

// LimitRackWaits moves the beginning of all waits for a rack to the given time at the latest, because
// the clock of the leader that stored them may have differed.
func (p *Progress) LimitRackWaits(now time.Time) {
	for key, since := range p.rackWaits {
		if since.After(now) {
			p.rackWaits[key] = now
		}
	}
}

// Cancel sets the phase to Cancelled unless it is final.
func (p *Progress) Cancel() {
	if !p.Phase.Final() {
		p.Phase = Cancelled
	}
}

// MarkEnded sets EndedAt if the phase is final and EndedAt is not set. It reports whether it did.
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
		t := p.tasks[taskKey{round, step, i}]
		if t == nil || !t.Done {
			return false
		}
	}
	return true
}

// Suspects returns the number of unfinished tasks that have crashed workers, or may have.
func (p *Progress) Suspects() int { return p.suspects }

func (p *Progress) countSuspects() {
	p.suspects = 0
	for _, t := range p.tasks {
		if !t.Done && (t.SuspectedCrashes() > 0 || len(t.Unresolved) > 0) {
			p.suspects++
		}
	}
}
