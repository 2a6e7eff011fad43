package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// trackedJob is a job with its progress and the state known only to this leader.
type trackedJob struct {
	job      *job.Job
	progress *job.Progress
	// dirty reports whether the progress has changes that are not stored yet.
	dirty bool

	// unsent holds the placed runs that were not sent to any agent, keyed by task.
	unsent map[job.TaskName]int
	// stops holds the placed runs that were requested to stop, keyed by task.
	stops map[job.TaskName]stopOrder
	// gangEnds holds why the latest ended run of a gang ended, keyed by the gang's first task.
	gangEnds map[job.TaskName]gangEnd
	// failedAt is when a run of the job last failed on a worker.
	failedAt map[string]time.Time
	// crashedAt is when a worker last crashed under a task.
	crashedAt map[job.TaskName]time.Time

	// durations holds the first observed duration of a task of each step.
	durations map[int]time.Duration
	// paces holds the pace of the tasks of a step, keyed by the first task of the step and round.
	paces map[job.TaskName]*estimate.StepPace

	// preemptedAt is when work was last stopped for a unit, keyed by the unit's first task.
	preemptedAt map[job.TaskName]time.Time
	// movedAt is when a unit was last moved from a slowed worker, keyed by the unit's first task.
	movedAt map[job.TaskName]time.Time
	// lagRuns holds the first run of a task that lagged behind its step.
	lagRuns map[job.TaskName]int
	// leftAt is when a run of the job that did not keep pace with its gang was moved from a worker.
	leftAt map[string]time.Time
	// yieldedAt is when a run of a unit was last stopped for an urgent unit, keyed by the unit's first
	// task.
	yieldedAt map[job.TaskName]time.Time
	// waitReasons holds the last logged reason why a unit waits, keyed by the unit's first task.
	waitReasons map[job.TaskName]waitReason

	// rolloutWaits holds since when a unit waits for capacity on workers that stay, keyed by the
	// unit's first task.
	rolloutWaits map[job.TaskName]time.Time

	// desiredOn holds the workers whose desired state contains runs of the job.
	desiredOn []string
}

// stopOrder is a request to stop a run. A stop that was not decided by a plan has neither cause nor
// time.
type stopOrder struct {
	run   int
	cause lossCause
	at    time.Time
}

func newTrackedJob(j *job.Job) *trackedJob {
	return &trackedJob{
		job:          j,
		progress:     job.NewProgress(),
		unsent:       map[job.TaskName]int{},
		stops:        map[job.TaskName]stopOrder{},
		gangEnds:     map[job.TaskName]gangEnd{},
		failedAt:     map[string]time.Time{},
		crashedAt:    map[job.TaskName]time.Time{},
		durations:    map[int]time.Duration{},
		paces:        map[job.TaskName]*estimate.StepPace{},
		preemptedAt:  map[job.TaskName]time.Time{},
		movedAt:      map[job.TaskName]time.Time{},
		yieldedAt:    map[job.TaskName]time.Time{},
		waitReasons:  map[job.TaskName]waitReason{},
		rolloutWaits: map[job.TaskName]time.Time{},
		lagRuns:      map[job.TaskName]int{},
		leftAt:       map[string]time.Time{},
	}
}

// stopping reports whether a run of a task was requested to stop.
func (t *trackedJob) stopping(name job.TaskName, run int) bool { return t.stops[name].run == run }

// stop requests that a run of a task stops; an earlier request keeps its cause.
func (t *trackedJob) stop(name job.TaskName, run int) {
	order := t.stops[name]
	order.run = run
	t.stops[name] = order
}

// step returns the step of a task of the job.
func (t *trackedJob) step(name job.TaskName) *job.Step { return &t.job.Steps[name.Step] }

// inGang reports whether a task is a member of a gang.
func (t *trackedJob) inGang(name job.TaskName) bool { return t.step(name).Gang }

// firstOf returns the name of the first task of a task's step and round, which identifies a gang as
// a whole.
func firstOf(name job.TaskName) job.TaskName {
	name.Index = 0
	return name
}

// coresPerAccelerator is how many cores an accelerator counts as when work is compared.
const coresPerAccelerator = 8

// weight returns the work that a task with these resources does per second, in core-seconds.
func weight(r job.Resources) float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}
