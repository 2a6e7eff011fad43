package dispatch

import (
	"math"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// trackedJob is a job as the control goroutine holds it.
type trackedJob struct {
	job      *job.Job
	progress *job.Progress
	// dirty says that the progress has changes which are not kept yet.
	dirty bool
	// stopping holds the runs that were told to stop.
	stopping map[job.TaskName]int
	// durations is how long a task of a step was seen to take.
	durations map[int]time.Duration
	// failedAt is when a run of the job last failed on a worker.
	failedAt map[string]time.Time
	// preemptedAt is when work was last told to stop for a unit, by its first task.
	preemptedAt map[job.TaskName]time.Time
	// stoppedAt is when runs were told to stop, by their tasks.
	stoppedAt map[job.TaskName]time.Time
	// causes is why runs were told to stop, by their tasks; broken is why the newest broken run of a gang broke, by its first task.
	causes   map[job.TaskName]lossCause
	gangEnds map[job.TaskName]gangEnd
	// crashedAt is when a worker last crashed under a task, as far as this leader knows.
	crashedAt map[job.TaskName]time.Time
	// paces is how its steps come on, by a name with the index 0.
	paces map[job.TaskName]*stepPace
	// waitReasons is why its units were last logged to wait, by their first tasks.
	waitReasons map[job.TaskName]string
	// desiredOn are the workers on which runs of it were placed when what workers should run was told last.
	desiredOn []string
}

// worker is a worker as the control goroutine knows it.
type worker struct {
	name string
	// state is nil until the agent has reported one.
	state *assignment.WorkerState
	// closing says that its agent knows the life to be over, and that its end is not told yet.
	closing bool
	// heardAt is when the newest poll was taken.
	heardAt time.Time
	// leavesAt is the earliest time at which a leaving worker goes.
	leavesAt time.Time
	// runs are those that the worker has reported, ends the number up to which its ends are taken note of.
	runs     map[assignment.RunID]observedRun
	ackedEnd int64
	// unresponsive says that its agent gets no answer from it, failing since when it gets none; zero while it does.
	unresponsive bool
	failingSince time.Time
	// crashedAt is when a life of it last crashed, as far as this leader knows.
	crashedAt time.Time
	health    health
	speed     speed
}

func newTrackedJob(j *job.Job) *trackedJob {
	return &trackedJob{
		job: j, progress: job.NewProgress(), stopping: map[job.TaskName]int{}, durations: map[int]time.Duration{},
		failedAt: map[string]time.Time{}, preemptedAt: map[job.TaskName]time.Time{}, waitReasons: map[job.TaskName]string{},
		paces: map[job.TaskName]*stepPace{}, stoppedAt: map[job.TaskName]time.Time{}, causes: map[job.TaskName]lossCause{}, gangEnds: map[job.TaskName]gangEnd{},
		crashedAt: map[job.TaskName]time.Time{},
	}
}

// expectedDuration predicts how long a task of a step works.
func (c *Controller) expectedDuration(t *trackedJob, step int) time.Duration {
	if !c.has(Forecasts) {
		return t.job.Steps[step].Estimate
	}
	if took, ok := t.durations[step]; ok {
		return took
	}
	return c.forecast.expected(t.job.Queue, t.job.Steps[step].Estimate)
}

// expectedWork is what all tasks of a job do, in core-seconds.
func (c *Controller) expectedWork(t *trackedJob) float64 {
	sum := 0.0
	for i, s := range t.job.Steps {
		sum += float64(s.Tasks) * c.expectedDuration(t, i).Seconds() * weight(s.Resources)
	}
	return sum
}

// recordDuration takes note of how long a run took that has ended done, unless it went on from a checkpoint.
func (c *Controller) recordDuration(e assignment.End) {
	t := c.jobs[e.Task.Job]
	if t == nil || e.Reason != job.EndDone || e.Took() <= 0 {
		return
	}
	task := t.progress.Task(e.Task)
	if _, known := t.durations[e.Task.Step]; known || task == nil || task.Run != e.Run || task.Checkpoint != "" {
		return
	}
	took := e.Took()
	if c.has(NominalLengths) {
		took = time.Duration(float64(took) / math.Exp(c.slownessOfRun(t, e)))
	}
	t.durations[e.Task.Step] = took
	c.forecast.record(t.job.Queue, t.job.Steps[e.Task.Step].Estimate, took)
}

// slownessOfRun is how much longer a run took for its workers than it would have on average ones, as a logarithm: a gang takes as long as its
// slowest member.
func (c *Controller) slownessOfRun(t *trackedJob, e assignment.End) float64 {
	slowest := math.Inf(-1)
	gang := t.job.Steps[e.Task.Step].Gang
	t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
		if w := c.workers[task.Worker]; w != nil && (name == e.Task || gang && firstOf(name) == firstOf(e.Task)) {
			slowest = max(slowest, w.speed.slowness())
		}
	})
	if math.IsInf(slowest, -1) {
		return 0
	}
	return slowest
}

// observedRun is what is known of a run that a worker has reported.
type observedRun struct {
	percent int
	// startedAt is when the run began, as far as is known; advanced when the percentage last rose.
	startedAt  time.Time
	advancedAt time.Time
	// basePercent is the percentage that was first reported, at the time baseAt: a run may go on from a checkpoint.
	basePercent int
	baseAt      time.Time
	// sampled says that the run has said how fast its worker is.
	sampled bool
}

// started reports whether the worker has said that the run is there.
func (o observedRun) started() bool { return !o.startedAt.IsZero() && o.percent >= 0 }

// newObservedRun is the first report of a run.
func newObservedRun(now time.Time, r assignment.Run) observedRun {
	o := observedRun{percent: -1, startedAt: now, advancedAt: now, basePercent: max(r.Percent, 0), baseAt: now}
	if r.AgeMillis > 0 {
		o.startedAt = now.Add(-r.Age())
	}
	return o
}

// remaining is how long the run still works if it goes on as it has since the first report; false as long as that says nothing.
func (o observedRun) remaining(now time.Time) (time.Duration, bool) {
	done := o.percent - o.basePercent
	if done <= 0 {
		return 0, false
	}
	left := o.advancedAt.Sub(o.baseAt) * time.Duration(100-o.percent) / time.Duration(done)
	return max(left-now.Sub(o.advancedAt), 0), true
}
