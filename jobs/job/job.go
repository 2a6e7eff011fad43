// Package job defines the model of a batch job: steps of tasks with dependencies, the resources
// that tasks require, and the progress of each task. It also holds the rule by which a task that
// crashes its workers is given up (crashes.go), because the crash counts are part of the progress.
//
// The package owns the stored forms of Job and Progress. It uses no clock, network or store:
// callers pass in the time. A Job is what a caller submitted and is immutable. A Progress is the
// state of its execution; only the leader changes it.
//
// # Usage
//
//	if err := j.Validate(); err != nil { ... } // *fault.Field
//	p := job.NewProgress()
//	for _, unit := range j.ReadyUnits(p, now) {
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

// Limits of a job.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	MaxTasks     = 2000
	MaxRounds    = 10_000
	// MaxAmount limits each amount that a task requires: a million cores, a petabyte.
	MaxAmount = 1_000_000_000
	// MaxDuration limits the estimate and the latency target of a task. Sums over all steps, and
	// multiples of them, fit into a time.Duration.
	MaxDuration = 90 * 24 * time.Hour
	// MaxSchedule limits the time from the first round to the last one.
	MaxSchedule = 100 * 365 * 24 * time.Hour
)

// firstDueBefore is the time before which the first round must be due.
var firstDueBefore = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// ID identifies a job. It consists of 16 hexadecimal digits and is chosen by the caller.
type ID string

// Validate returns a *fault.Field if id is malformed.
func (id ID) Validate() error {
	if len(id) != 16 {
		return fault.BadField("id", "want 16 hexadecimal digits, got %d characters", len(id))
	}
	for _, c := range id {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
			return fault.BadField("id", "want 16 hexadecimal digits, got %q", string(id))
		}
	}
	return nil
}

// Resources is the amount of resources that a task requires or a worker provides.
type Resources struct {
	// CPU is in thousandths of a core, Memory is in MB, and Accelerators counts whole devices.
	CPU          int `json:"cpu,omitempty"`
	Memory       int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// FitsIn reports whether r fits into free.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Plus returns r plus k times o; k may be negative.
func (r Resources) Plus(o Resources, k int) Resources {
	return Resources{
		CPU:          r.CPU + k*o.CPU,
		Memory:       r.Memory + k*o.Memory,
		Accelerators: r.Accelerators + k*o.Accelerators,
	}
}

// Min returns the element-wise minimum of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		CPU:          min(r.CPU, o.CPU),
		Memory:       min(r.Memory, o.Memory),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// DominantShare returns the largest fraction of a capacity that r takes, over all resources. It
// returns false if r takes a resource that the capacity lacks, which doesn't count in the share.
func (r Resources) DominantShare(capacity Resources) (share float64, ok bool) {
	ok = true
	for _, part := range [...]struct{ taken, of int }{
		{r.CPU, capacity.CPU},
		{r.Memory, capacity.Memory},
		{r.Accelerators, capacity.Accelerators},
	} {
		switch {
		case part.of > 0:
			share = max(share, float64(part.taken)/float64(part.of))
		case part.taken > 0:
			ok = false
		}
	}
	return share, ok
}

// Step is a group of identical tasks.
type Step struct {
	Tasks     int       `json:"tasks"`
	Resources Resources `json:"need"`
	// Estimate is the caller's rough estimate of the duration of a task.
	Estimate time.Duration `json:"est,omitempty"`
	// DependsOn lists the indexes of earlier steps whose tasks must all be done first.
	DependsOn []int `json:"after,omitempty"`
	// Gang means that the tasks must run simultaneously. SameRack means that they are slow when
	// spread across racks.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel must be among the worker's labels. DataRack is the rack close to the data;
	// tasks are slow elsewhere.
	RequiredLabel string `json:"label,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	// MaxPerWorker limits how many tasks of one round of the step may run on a worker; zero means
	// no limit.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Checkpoint means that tasks save checkpoints and can resume from them on another worker.
	Checkpoint bool `json:"ckpt,omitempty"`
	// Speculative allows several copies of a task to run at once. It is stored and displayed only;
	// the scheduler does not start copies.
	Speculative bool `json:"racing,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// Image is the image that the tasks run. LatencyTarget is the upper bound for the tail latency
	// of a long-running task.
	Image         string        `json:"image,omitempty"`
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort means that the tasks use CPU time left over by others; their CPU is not reserved.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the scheduler may make unavailable
	// at once. It is set only if HasMaxUnavailable is true. It is stored and displayed only.
	MaxUnavailable    int  `json:"may_miss,omitempty"`
	HasMaxUnavailable bool `json:"bounded,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its worker.
func (s Step) Reserved() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Job is a job as submitted by its caller.
type Job struct {
	ID ID `json:"-"`
	// Team is the team that submitted the job; it is empty on a public queue. Service is the
	// service whose workers run the job.
	Queue   string `json:"queue"`
	Team    string `json:"team,omitempty"`
	Service string `json:"service"`
	// Priority 0 is the highest and marks urgent jobs. MaxAttempts limits the number of failed
	// runs of a task.
	Priority    int `json:"prio"`
	MaxAttempts int `json:"attempts"`
	// ObjectiveFactor and ObjectiveSlack define the completion objective: the factor times the
	// duration of the job's critical path, plus the slack, after the start of the round; see
	// Objective.
	ObjectiveFactor float64       `json:"stretch"`
	ObjectiveSlack  time.Duration `json:"aim"`
	// NeedsPermit means that each start requires a permit from the permit issuer.
	NeedsPermit bool `json:"advised,omitempty"`
	// Spec is passed to the worker unchanged.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// RoundCount is how many times the steps run; round K is due at FirstRound + K x
	// RoundInterval. Zero means once, immediately.
	RoundCount    int           `json:"times,omitempty"`
	FirstRound    time.Time     `json:"first,omitzero"`
	RoundInterval time.Duration `json:"every,omitempty"`
	// Accepted is when an entry accepted the job, by that entry's clock.
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
	if j.RoundCount > 1 && (j.RoundInterval < 0 || j.RoundInterval > MaxSchedule/time.Duration(j.RoundCount)) {
		return fault.BadField("every", "want 0 or more, and at most %v for all rounds, got %v", MaxSchedule, j.RoundInterval)
	}
	if j.RoundCount > 0 && (j.FirstRound.Before(time.Unix(0, 0)) || !j.FirstRound.Before(firstDueBefore)) {
		return fault.BadField("first", "want a time from 1970 to %d", firstDueBefore.Year())
	}
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
	}
	return j.validateTasks()
}

// validateTasks returns a *fault.Field if the job has too many tasks.
func (j *Job) validateTasks() error {
	tasks := 0
	for _, s := range j.Steps {
		// The sum of numbers that are not limited may be negative.
		if s.Tasks < 0 || s.Tasks > MaxTasks-tasks {
			return fault.BadField("steps", "want at most %d tasks in total", MaxTasks)
		}
		tasks += s.Tasks
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
	for _, amount := range []int{s.Resources.CPU, s.Resources.Memory, s.Resources.Accelerators} {
		if amount < 0 || amount > MaxAmount {
			return field("need", "want amounts from 0 to %d, got %+v", MaxAmount, s.Resources)
		}
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return field("estimate", "want non-negative amounts")
	}
	if s.Estimate > MaxDuration {
		return field("estimate", "want at most %v, got %v", MaxDuration, s.Estimate)
	}
	if s.LatencyTarget < 0 || s.LatencyTarget > MaxDuration {
		return field("target", "want 0 to %v, got %v", MaxDuration, s.LatencyTarget)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= number {
			return field("after", "want indexes of earlier steps, got %d", a)
		}
	}
	return nil
}

// Rounds returns how many times the steps run.
func (j *Job) Rounds() int { return max(j.RoundCount, 1) }

// DueAt returns when round k is due. It is zero for a job that runs once, immediately.
func (j *Job) DueAt(k int) time.Time {
	if j.RoundCount == 0 {
		return time.Time{}
	}
	return j.FirstRound.Add(time.Duration(k) * j.RoundInterval)
}

// RoundStart returns when round k may start: when it is due or, for a job that runs once
// immediately, when the job was accepted.
func (j *Job) RoundStart(k int) time.Time {
	if j.RoundCount == 0 {
		return j.Accepted
	}
	return j.DueAt(k)
}

// CriticalPath returns the duration of the longest chain of dependent steps. The duration
// function returns the duration of a task of each step.
func (j *Job) CriticalPath(duration func(step int) time.Duration) time.Duration {
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

// Objective returns when round k should be completed, given the duration of its critical path.
func (j *Job) Objective(k int, chain time.Duration) time.Time {
	return j.RoundStart(k).Add(time.Duration(j.ObjectiveFactor*float64(chain)) + j.ObjectiveSlack)
}

// LongRunning reports whether any step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// PeakAccelerators returns the maximum number of accelerators that a step of the job uses at once.
func (j *Job) PeakAccelerators() int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Tasks*s.Resources.Accelerators)
	}
	return most
}

// taskCount returns the number of tasks in all rounds of the job.
func (j *Job) taskCount() int {
	sum := 0
	for _, s := range j.Steps {
		sum += s.Tasks
	}
	return sum * j.Rounds()
}

// unitMembers returns the tasks that start and complete together with a task: its whole gang, or
// the task alone.
func (j *Job) unitMembers(name TaskName) []TaskName {
	if j.Steps[name.Step].Gang {
		return j.stepTasks(name.Round, name.Step)
	}
	return []TaskName{name}
}

// stepTasks returns the names of the tasks of a step in a round.
func (j *Job) stepTasks(round, step int) []TaskName {
	names := make([]TaskName, j.Steps[step].Tasks)
	for i := range names {
		names[i] = TaskName{Job: j.ID, Round: round, Step: step, Index: i}
	}
	return names
}
