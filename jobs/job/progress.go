package job

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// TaskName names a task: job, round, step and index.
type TaskName struct {
	Job   ID
	Round int
	Step  int
	Index int
}

// String is the form in which workers and logs know the task.
func (t TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskName) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskName) UnmarshalText(text []byte) error {
	parsed, err := ParseTaskName(string(text))
	if err == nil {
		*t = parsed
	}
	return err
}

// ParseTaskName is the reverse of String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, fmt.Errorf("job.ParseTaskName: %q has %d parts, want 4", text, len(parts))
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, fmt.Errorf("job.ParseTaskName: %q is not a number", p)
		}
		numbers[i] = n
	}
	return TaskName{Job: ID(parts[0]), Round: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Phase is what a caller is told of a job.
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

// EndReason is how a run ended.
type EndReason string

// The endings. Only Done counts as success and only Failed as an attempt; the others are the system's or a worker's doing.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"
	EndGangBroken     EndReason = "broken"
	EndGangIncomplete EndReason = "alone"
	// EndLost is the ending of a run whose worker is gone or whose lease is surely over.
	EndLost EndReason = "lost"
	// EndRefused is the ending of a run that a worker did not start and never will.
	EndRefused EndReason = "refused"
)

// Task is what has become of a task.
type Task struct {
	// Run is the number of its newest run, from 1; the members of a gang share it.
	Run int `json:"r"`
	// Worker and Life say where that run is; both are empty when the task is not placed. It takes room there until its
	// end is known.
	Worker      string         `json:"w,omitempty"`
	Incarnation incarnation.ID `json:"l,omitzero"`
	// Failures counts runs that failed; FailedRun is the newest of them.
	Failures  int  `json:"f,omitempty"`
	FailedRun int  `json:"fr,omitempty"`
	Done      bool `json:"d,omitempty"`
	// GivenUp holds the newest runs of which nobody knows how they ended: their worker was gone, or the run from its list.
	GivenUp []int `json:"gu,omitempty"`
	// Checkpoint is the newest checkpoint; it is opaque.
	Checkpoint string `json:"s,omitempty"`
	// Avoid is the worker on which it last failed.
	Avoid string `json:"a,omitempty"`
	// Crashes counts the workers that crashed under it, Doubts those of which that is not sure, Alone those of both for which nothing else could be
	// blamed.
	Crashes          int `json:"c,omitempty"`
	UncertainCrashes int `json:"cd,omitempty"`
	SoleCrashes      int `json:"ca,omitempty"`
	// ExtraStarts counts the starts since it may have crashed so many workers that users count them.
	ExtraStarts int `json:"ce,omitempty"`
	// Unresolved holds the lives of workers of which nothing was heard when its runs there were given up.
	Unresolved map[incarnation.ID]unresolvedRun `json:"co,omitempty"`
}

// Placed reports whether a run of the task takes room on a worker.
func (t *Task) Placed() bool { return t.Worker != "" }

// slot is a task within its job.
type slot struct{ round, step, index int }

// Progress is what has become of a job. The zero value won't do; use NewProgress.
type Progress struct {
	Phase Phase
	// EndedAt is when the phase became final, by the leader's clock.
	EndedAt time.Time
	tasks   map[slot]*Task
	// placed lists the tasks that take room on a worker, in the order in which they were placed.
	placed []placedTask
	// suspects counts the tasks that are not done and under which workers have crashed.
	suspects int
}

// placedTask is a task that takes room on a worker.
type placedTask struct {
	slot
	task *Task
}

// NewProgress is the progress of a job of which nothing has begun.
func NewProgress() *Progress { return &Progress{Phase: Queued, tasks: map[slot]*Task{}} }

// Task returns what has become of a task, or nil if nothing has.
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

// Placed calls f for each task that takes room on a worker, in the order in which they were placed. Ends may be noted meanwhile.
func (p *Progress) Placed(id ID, f func(TaskName, *Task)) {
	for _, t := range p.placed {
		if t.task.Placed() {
			f(TaskName{Job: id, Round: t.round, Step: t.step, Index: t.index}, t.task)
		}
	}
}

// PlacedTasks is how many tasks of the job take room on a worker.
func (p *Progress) PlacedTasks() int { return len(p.placed) }

// AnyPlaced reports whether a task of the job takes room on a worker.
func (p *Progress) AnyPlaced() bool { return len(p.placed) > 0 }

// removePlaced takes a task off the list. The list that Placed goes through at this moment stays as it is.
func (p *Progress) removePlaced(s slot) {
	p.placed = slices.DeleteFunc(slices.Clone(p.placed), func(t placedTask) bool { return t.slot == s })
}

// Assign places a new run of the task on a life of a worker.
func (p *Progress) Assign(now time.Time, name TaskName, run int, worker string, l incarnation.ID) {
	t := p.ensureTask(name)
	t.countStart(now)
	if !t.Placed() {
		p.placed = append(p.placed, placedTask{slot: slot{name.Round, name.Step, name.Index}, task: t})
	}
	t.unmarkGivenUp(run)
	t.Run, t.Worker, t.Incarnation = run, worker, l
	if p.Phase == Queued {
		p.Phase = Running
	}
}

// NextRun is the number of the next run of a step's waiting tasks: above each that any of them has had.
func (p *Progress) NextRun(names []TaskName) int {
	run := 0
	for _, n := range names {
		if t := p.Task(n); t != nil {
			run = max(run, t.Run)
		}
	}
	return run + 1
}

// stepNames lists the tasks of a step.
func (j *Job) stepNames(round, step int) []TaskName {
	names := make([]TaskName, j.Steps[step].Tasks)
	for i := range names {
		names[i] = TaskName{Job: j.ID, Round: round, Step: step, Index: i}
	}
	return names
}

// runEnd is how a run ended, what it saved, and what it means for the task if it ended with its worker.
type runEnd struct {
	reason     EndReason
	checkpoint string
	loss       RunLoss
}

// RecordEnd takes note of the end of a run. It returns false, and changes nothing, unless that run is the one that is placed on
// that life.
func (p *Progress) RecordEnd(j *Job, name TaskName, run int, l incarnation.ID, how EndReason, saved string) bool {
	return p.recordEnd(j, name, run, l, runEnd{reason: how, checkpoint: saved})
}

// maxGivenUp bounds the runs of a task that are remembered as given up. Ends are read within seconds once their worker can be reached.
const maxGivenUp = 8

// markGivenUp notes that nobody knows how a run ended.
func (t *Task) markGivenUp(run int) {
	t.GivenUp = append(t.GivenUp, run)
	if excess := len(t.GivenUp) - maxGivenUp; excess > 0 {
		t.GivenUp = slices.Clone(t.GivenUp[excess:])
	}
}

// unmarkGivenUp notes that it is known what became of a run that had been given up.
func (t *Task) unmarkGivenUp(run int) {
	t.GivenUp = slices.DeleteFunc(t.GivenUp, func(r int) bool { return r == run })
}

// RecordLateEnd takes note of the end of a run that had been given up: its worker was silent until its lease was over, or a later start of it carried the run out. A task
// is done whichever of its runs did it, and a failure counts as one attempt. It returns false, and changes nothing, for all other
// ends, and for what had been noted.
func (p *Progress) RecordLateEnd(j *Job, name TaskName, run int, how EndReason) bool {
	t := p.Task(name)
	if t == nil || t.Done || !slices.Contains(t.GivenUp, run) || p.Phase.Final() || name.Step >= len(j.Steps) || j.Steps[name.Step].LongRunning {
		return false
	}
	members := []TaskName{name}
	if j.Steps[name.Step].Gang {
		members = j.stepNames(name.Round, name.Step)
	}
	switch {
	case how == EndDone:
		for _, m := range members {
			p.ensureTask(m).Done = true
		}
	case how == EndFailed:
		for _, m := range members {
			p.ensureTask(m).Failures++
		}
	default:
		return false
	}
	for _, m := range members {
		// Other members of the gang list the same end.
		p.ensureTask(m).unmarkGivenUp(run)
	}
	p.updatePhase(j)
	return true
}

func (p *Progress) recordEnd(j *Job, name TaskName, run int, at incarnation.ID, e runEnd) bool {
	t := p.Task(name)
	if t == nil || !t.Placed() || t.Run != run || t.Incarnation != at || name.Step >= len(j.Steps) {
		return false
	}
	worker := t.Worker
	t.Worker, t.Incarnation = "", incarnation.ID{}
	t.recordLoss(worker, at, e.loss)
	p.removePlaced(slot{name.Round, name.Step, name.Index})
	step := j.Steps[name.Step]
	members := []TaskName{name}
	if step.Gang {
		members = j.stepNames(name.Round, name.Step)
	}
	switch e.reason {
	case EndLost:
		t.markGivenUp(run)
	case EndDone:
		if step.LongRunning {
			break
		}
		for _, m := range members {
			p.ensureTask(m).Done = true
		}
	case EndRefused:
		t.uncountStart()
		t.markGivenUp(run)
	case EndFailed:
		t.Avoid = worker
		p.countFailure(members, run, step)
	}
	if e.checkpoint != "" && !t.Done {
		for _, m := range members {
			p.ensureTask(m).Checkpoint = e.checkpoint
		}
	}
	p.updatePhase(j)
	return true
}

// countFailure counts one attempt of the task, or of its gang.
func (p *Progress) countFailure(members []TaskName, run int, step Step) {
	if step.LongRunning {
		return
	}
	for _, m := range members {
		t := p.ensureTask(m)
		// Several members of a gang may say that they failed in one run, which is one attempt.
		if t.Run != run || t.FailedRun == run {
			continue
		}
		t.FailedRun = run
		t.Failures++
	}
}

// updatePhase sets the phase from the tasks.
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

func (p *Progress) countSuspects() {
	p.suspects = 0
	for _, t := range p.tasks {
		if !t.Done && (t.SuspectedCrashes() > 0 || len(t.Unresolved) > 0) {
			p.suspects++
		}
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

// Cancel makes the job cancelled unless its phase is final.
func (p *Progress) Cancel() {
	if !p.Phase.Final() {
		p.Phase = Cancelled
	}
}

// Unit is what is placed at once: a whole gang, or one task.
type Unit struct {
	Round int
	Step  int
	Tasks []TaskName
}

// Waiting returns the units that may start now: their round is due, their step's dependencies are
// done, and nothing of them is placed.
func (j *Job) Waiting(p *Progress, now time.Time) []Unit {
	if p.Phase.Final() || p.PlacedTasks() == j.tasks() {
		return nil
	}
	var units []Unit
	for round := range j.Rounds() {
		if j.DueAt(round).After(now) {
			break
		}
		for step := range j.Steps {
			if j.dependenciesDone(p, round, step) {
				units = append(units, j.waitingUnits(p, round, step)...)
			}
		}
	}
	return units
}

// tasks is how many tasks all rounds of the job have.
func (j *Job) tasks() int {
	sum := 0
	for _, s := range j.Steps {
		sum += s.Tasks
	}
	return sum * j.Rounds()
}

func (j *Job) dependenciesDone(p *Progress, round, step int) bool {
	for _, a := range j.Steps[step].DependsOn {
		if !p.stepDone(j, round, a) {
			return false
		}
	}
	return true
}

func (j *Job) waitingUnits(p *Progress, round, step int) []Unit {
	names := j.stepNames(round, step)
	if j.Steps[step].Gang {
		for _, n := range names {
			if t := p.Task(n); t != nil && (t.Done || t.Placed()) {
				return nil
			}
		}
		return []Unit{{Round: round, Step: step, Tasks: names}}
	}
	var units []Unit
	for _, n := range names {
		if t := p.Task(n); t == nil || !t.Done && !t.Placed() {
			units = append(units, Unit{Round: round, Step: step, Tasks: []TaskName{n}})
		}
	}
	return units
}
