package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// trackedJob is a job with its progress and what only this leader knows of it.
type trackedJob struct {
	job      *job.Job
	progress *job.Progress
	// dirty says that the progress has changes that are not stored yet.
	dirty bool

	// unsent are the placed runs that no agent was told of, by their tasks.
	unsent map[job.TaskName]int
	// stops are the placed runs that were told to stop, by their tasks.
	stops map[job.TaskName]stopOrder
	// gangEnds says why the newest run of a gang that ended did so, by the gang's first task.
	gangEnds map[job.TaskName]gangEnd
	// failedAt is when a run of the job last failed on a worker.
	failedAt map[string]time.Time
	// crashedAt is when a worker last crashed under a task.
	crashedAt map[job.TaskName]time.Time

	// durations is how long a task of a step took, as first observed.
	durations map[int]time.Duration
	// paces is how fast the tasks of a step come on, by the first task of the step and round.
	paces map[job.TaskName]*estimate.Pace

	// preemptedAt is when work was last told to stop for a unit, by the unit's first task.
	preemptedAt map[job.TaskName]time.Time
	// waitReasons is why a unit was last logged to wait, by the unit's first task.
	waitReasons map[job.TaskName]waitReason

	// desiredOn are the workers whose desired state names runs of the job.
	desiredOn []string
}

// stopOrder is a run that was told to stop. A stop that was not decided by a plan has neither
// cause nor time.
type stopOrder struct {
	run   int
	cause lossCause
	at    time.Time
}

func newTrackedJob(j *job.Job) *trackedJob {
	return &trackedJob{
		job:         j,
		progress:    job.NewProgress(),
		unsent:      map[job.TaskName]int{},
		stops:       map[job.TaskName]stopOrder{},
		gangEnds:    map[job.TaskName]gangEnd{},
		failedAt:    map[string]time.Time{},
		crashedAt:   map[job.TaskName]time.Time{},
		durations:   map[int]time.Duration{},
		paces:       map[job.TaskName]*estimate.Pace{},
		preemptedAt: map[job.TaskName]time.Time{},
		waitReasons: map[job.TaskName]waitReason{},
	}
}

// stopping reports whether a run of a task was told to stop.
func (t *trackedJob) stopping(name job.TaskName, run int) bool { return t.stops[name].run == run }

// stop tells a run of a task to stop; an earlier order keeps its cause.
func (t *trackedJob) stop(name job.TaskName, run int) {
	order := t.stops[name]
	order.run = run
	t.stops[name] = order
}

// step is the step of a task of the job.
func (t *trackedJob) step(name job.TaskName) *job.Step { return &t.job.Steps[name.Step] }

// inGang reports whether a task is a member of a gang.
func (t *trackedJob) inGang(name job.TaskName) bool { return t.step(name).Gang }

// firstOf names the first task of a task's step and round; it stands for a gang as a whole.
func firstOf(name job.TaskName) job.TaskName {
	name.Index = 0
	return name
}

// peakAccelerators is the most accelerators that a step of the job takes at once.
func peakAccelerators(j *job.Job) int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Tasks*s.Resources.Accelerators)
	}
	return most
}

// coresPerAccelerator is how many cores an accelerator counts for where work is compared.
const coresPerAccelerator = 8

// weight is the work that a task with these resources does in a second, in core-seconds.
func weight(r job.Resources) float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}
