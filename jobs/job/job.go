// Package job holds the model of a batch job: steps of tasks with dependencies, the resources
// that tasks take, and what has become of each task so far. The rule by which a task is given
// up that crashes its workers stands here too (crashes.go), since its counts are part of the
// progress.
//
// It owns the stored forms of a Job and of a Progress, and relies on no clock, network or
// store: callers give the time. A Job is what a caller submitted and never changes. A Progress
// is what has become of it; only the leader changes it.
//
// # Usage
//
//	if err := j.Validate(); err != nil { ... } // *fault.Field
//	p := job.NewProgress()
//	for _, unit := range j.Waiting(p, now) {
//		run := p.NextRun(unit.Tasks)
//		for _, task := range unit.Tasks {
//			p.Assign(now, task, run, worker, incarnation)
//		}
//	}
//	p.RecordEnd(j, task, run, incarnation, job.EndDone, "")
package job

import (
	"fmt"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Bounds of a job.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	MaxTasks     = 2000
	MaxRounds    = 10_000
)

// ID names a job. Its caller chooses it: 16 hexadecimal digits.
type ID string

// Validate returns a *fault.Field unless id is well formed.
func (id ID) Validate() error {
	if len(id) != 16 {
		return fault.BadField("id", "want 16 hexadecimal digits, got %d signs", len(id))
	}
	for _, c := range id {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return fault.BadField("id", "want 16 hexadecimal digits, got %q", string(id))
		}
	}
	return nil
}

// Resources is what a task takes, or what a worker has.
type Resources struct {
	// CPU is in thousandths of a core, Memory in MB; accelerators are whole.
	CPU          int `json:"cpu,omitempty"`
	Memory       int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// FitsIn reports whether r fits into free.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Plus returns r with k times o added; k may be negative.
func (r Resources) Plus(o Resources, k int) Resources {
	return Resources{
		CPU:          r.CPU + k*o.CPU,
		Memory:       r.Memory + k*o.Memory,
		Accelerators: r.Accelerators + k*o.Accelerators,
	}
}

// Min returns the smaller amount of each kind.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		CPU:          min(r.CPU, o.CPU),
		Memory:       min(r.Memory, o.Memory),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// Step is a number of equal tasks.
type Step struct {
	Tasks     int       `json:"tasks"`
	Resources Resources `json:"need"`
	// Estimate is the caller's rough guess of a task's duration.
	Estimate time.Duration `json:"est,omitempty"`
	// DependsOn holds the numbers of earlier steps, all of whose tasks must be done first.
	DependsOn []int `json:"after,omitempty"`
	// Gang says that the tasks only work together. SameRack says that they are slow across racks.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel must be among the worker's labels. DataRack is the rack near the data;
	// elsewhere tasks are slow.
	RequiredLabel string `json:"label,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of one round of the step on a worker; zero is no bound.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Checkpoint says that tasks save their progress, and can continue elsewhere.
	Checkpoint bool `json:"ckpt,omitempty"`
	// Speculative allows several copies of a task at once. It is stored and shown; copies are
	// not started.
	Speculative bool `json:"racing,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// Image names what the tasks run. LatencyTarget bounds the tail latency of a long-running task.
	Image         string        `json:"image,omitempty"`
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort says that the tasks take what processor time others leave; their CPU is not
	// reserved.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be away at once because of the
	// scheduler, if HasMaxUnavailable says that it was given. It is stored and shown.
	MaxUnavailable    int  `json:"may_miss,omitempty"`
	HasMaxUnavailable bool `json:"bounded,omitempty"`
}

// Reserved is what a task of the step reserves on its worker.
func (s Step) Reserved() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Job is what a caller submitted.
type Job struct {
	ID ID `json:"-"`
	// Team submitted the job; it is empty on a public queue. Service is whose workers run it.
	Queue   string `json:"queue"`
	Team    string `json:"team,omitempty"`
	Service string `json:"service"`
	// Priority 0 is the highest: jobs with it are urgent. MaxAttempts bounds the failed runs of
	// a task.
	Priority    int `json:"prio"`
	MaxAttempts int `json:"attempts"`
	// ObjectiveFactor and ObjectiveSlack say when the job should be completed: the factor times its
	// longest chain of work, plus the slack, after its acceptance.
	ObjectiveFactor float64       `json:"stretch"`
	ObjectiveSlack  time.Duration `json:"aim"`
	// NeedsPermit says that starts on the queue need a permit of the permit issuer.
	NeedsPermit bool `json:"advised,omitempty"`
	// Spec is handed to the worker as it is.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// RoundCount is how often the steps run; round K is due at FirstRound + K x RoundInterval.
	// Zero is once, at once.
	RoundCount    int           `json:"times,omitempty"`
	FirstRound    time.Time     `json:"first,omitzero"`
	RoundInterval time.Duration `json:"every,omitempty"`
	// Accepted is when an entry took the job, by that entry's clock.
	Accepted time.Time `json:"accepted"`
}

// Validate returns a *fault.Field for the first invalid field.
func (j *Job) Validate() error {
	if err := j.ID.Validate(); err != nil {
		return err
	}
	if len(j.Spec) > MaxSpecBytes {
		return fault.BadField("spec", "want at most %d bytes, got %d", MaxSpecBytes, len(j.Spec))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fault.BadField("steps", "want 1 to %d, got %d", MaxSteps, len(j.Steps))
	}
	if j.RoundCount < 0 || j.RoundCount > MaxRounds {
		return fault.BadField("times", "want 0 to %d, got %d", MaxRounds, j.RoundCount)
	}
	if j.RoundCount > 1 && j.RoundInterval < 0 {
		return fault.BadField("every", "want 0 or more, got %v", j.RoundInterval)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		tasks += s.Tasks
	}
	if tasks > MaxTasks {
		return fault.BadField("steps", "want at most %d tasks in all, got %d", MaxTasks, tasks)
	}
	return nil
}

func (s Step) validate(number int) error {
	field := func(name, format string, args ...any) error {
		return fault.BadField(fmt.Sprintf("steps.%d.%s", number, name), format, args...)
	}
	if s.Tasks < 1 {
		return field("tasks", "want 1 or more, got %d", s.Tasks)
	}
	if s.Resources.CPU < 0 || s.Resources.Memory < 0 || s.Resources.Accelerators < 0 {
		return field("need", "want no negative amounts, got %+v", s.Resources)
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return field("estimate", "want no negative amounts")
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= number {
			return field("after", "want numbers of earlier steps, got %d", a)
		}
	}
	return nil
}

// Rounds is how often the steps run.
func (j *Job) Rounds() int { return max(j.RoundCount, 1) }

// DueAt is when round k is due; zero for a job that runs once, at once.
func (j *Job) DueAt(k int) time.Time {
	if j.RoundCount == 0 {
		return time.Time{}
	}
	return j.FirstRound.Add(time.Duration(k) * j.RoundInterval)
}

// RoundStart is when round k may begin to run: when it is due, or when the job was accepted.
func (j *Job) RoundStart(k int) time.Time {
	if j.RoundCount == 0 {
		return j.Accepted
	}
	return j.DueAt(k)
}

// Chain is the duration of the longest chain of dependent steps, given that of a task of each step.
func (j *Job) Chain(duration func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective is when round k should be completed if its longest chain takes that long.
func (j *Job) Objective(k int, chain time.Duration) time.Time {
	return j.RoundStart(k).Add(time.Duration(j.ObjectiveFactor*float64(chain)) + j.ObjectiveSlack)
}

// LongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// tasks is how many tasks all rounds of the job have.
func (j *Job) tasks() int {
	sum := 0
	for _, s := range j.Steps {
		sum += s.Tasks
	}
	return sum * j.Rounds()
}

// unitMembers are the tasks that share a task's fate: all of its gang, or the task alone.
func (j *Job) unitMembers(name TaskName) []TaskName {
	if j.Steps[name.Step].Gang {
		return j.stepNames(name.Round, name.Step)
	}
	return []TaskName{name}
}

// stepNames lists the tasks of a step.
func (j *Job) stepNames(round, step int) []TaskName {
	names := make([]TaskName, j.Steps[step].Tasks)
	for i := range names {
		names[i] = TaskName{Job: j.ID, Round: round, Step: step, Index: i}
	}
	return names
}
