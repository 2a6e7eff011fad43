// Package job holds the model of a batch job: steps of tasks with dependencies, what a task needs of a worker, and what
// has become of each task so far. It is pure: it knows no clock, no network and no store.
//
// A Job is what a caller submitted and never changes. A Progress is what has become of it; only the leader that
// leads changes it. Both have a stored form of their own (JSON), and an ID that the caller has chosen.
//
// # Usage
//
//	if err := j.Validate(); err != nil { ... }            // *fault.Field
//	p := job.NewProgress()
//	for _, t := range j.Ready(p, now) { p.Assign(now, t, run, worker, life) }
//	p.End(j, task, run, job.Done, "")
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

// Resources is what one task takes of a worker, or what a worker has.
type Resources struct {
	// CPU is in thousandths of a core, Memory in MB, Accelerators in whole ones.
	CPU          int `json:"cpu,omitempty"`
	Memory       int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// FitsIn reports whether a task of need n goes into free.
func (n Resources) FitsIn(free Resources) bool {
	return n.CPU <= free.CPU && n.Memory <= free.Memory && n.Accelerators <= free.Accelerators
}

// Plus returns n with o times k added.
func (n Resources) Plus(o Resources, k int) Resources {
	return Resources{CPU: n.CPU + k*o.CPU, Memory: n.Memory + k*o.Memory, Accelerators: n.Accelerators + k*o.Accelerators}
}

// Min returns the smaller of both amounts of each kind.
func (n Resources) Min(o Resources) Resources {
	return Resources{CPU: min(n.CPU, o.CPU), Memory: min(n.Memory, o.Memory), Accelerators: min(n.Accelerators, o.Accelerators)}
}

// Step is a number of alike tasks.
type Step struct {
	Tasks     int       `json:"tasks"`
	Resources Resources `json:"need"`
	// Estimate is a rough guess of a task's time.
	Estimate time.Duration `json:"est,omitempty"`
	// DependsOn holds the numbers of earlier steps, all of whose tasks must be done first.
	DependsOn []int `json:"after,omitempty"`
	// Gang says that the tasks work only together. SameRack: spread over several racks they are slow.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// RequiredLabel must be among those of the worker. DataRack is the rack near the data; elsewhere a task is slow.
	RequiredLabel string `json:"label,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step (of one time) on a worker; zero is no bound.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Checkpoint says that a task's progress is saved, and that it can go on elsewhere.
	Checkpoint bool `json:"ckpt,omitempty"`
	// Speculative allows several copies of a task at once; the first that ends counts.
	Speculative bool `json:"racing,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// Image names what the tasks run. Target bounds the tail of the answers of a task that lasts.
	Image         string        `json:"image,omitempty"`
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort says that the tasks take what processor time others leave; their CPU is not reserved.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step may be away at once through the scheduler's doing.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// HasMaxUnavailable says that MayMiss was given.
	HasMaxUnavailable bool `json:"bounded,omitempty"`
}

// Reserved is what a task of the step takes of its worker's room.
func (s Step) Reserved() Resources {
	n := s.Resources
	if s.BestEffort {
		n.CPU = 0
	}
	return n
}

// Job is what a caller submitted.
type Job struct {
	ID ID `json:"-"`
	// Queue names the queue, Team who submitted it (empty on an open queue), Service whose workers run it.
	Queue   string `json:"queue"`
	Team    string `json:"team,omitempty"`
	Service string `json:"service"`
	// Priority 0 goes first. Attempts bounds the failed runs of a task.
	Priority    int `json:"prio"`
	MaxAttempts int `json:"attempts"`
	// ObjectiveFactor and Aim give when the job is to be completed: Stretch times its longest chain, plus Aim.
	ObjectiveFactor float64       `json:"stretch"`
	ObjectiveSlack  time.Duration `json:"aim"`
	// NeedsPermit says that a start on this queue needs the advice service's ticket.
	NeedsPermit bool `json:"advised,omitempty"`
	// Spec is handed to the worker as it is.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// RoundCount is how often the steps run; time K is due at First + K x Every. Zero is once, at once.
	RoundCount    int           `json:"times,omitempty"`
	FirstRound    time.Time     `json:"first,omitzero"`
	RoundInterval time.Duration `json:"every,omitempty"`
	// Accepted is when an entry took it, by that entry's clock.
	Accepted time.Time `json:"accepted"`
}

// Validate returns a *fault.Field for the first field that will not do.
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

// DueAt is when round k may start.
func (j *Job) DueAt(k int) time.Time {
	if j.RoundCount == 0 {
		return time.Time{}
	}
	return j.FirstRound.Add(time.Duration(k) * j.RoundInterval)
}

// Chain is the longest chain of work, with the time that length gives for a task of each step.
func (j *Job) Chain(length func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		for _, a := range s.DependsOn {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += length(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective is when round k is to be completed if its longest chain of work is that long.
func (j *Job) Objective(k int, chain time.Duration) time.Time {
	from := j.Accepted
	if j.RoundCount > 0 {
		from = j.DueAt(k)
	}
	return from.Add(time.Duration(j.ObjectiveFactor*float64(chain)) + j.ObjectiveSlack)
}

// LongRunning reports whether a step of the job lasts until it is cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}
