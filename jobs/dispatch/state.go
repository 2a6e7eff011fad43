package dispatch

import (
	"math"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// tracked is a job as the control goroutine holds it.
type tracked struct {
	job      *job.Job
	progress *job.Progress
	// dirty says that the progress has changes which are not kept yet.
	dirty bool
	// stopping holds the runs that were told to stop.
	stopping map[job.TaskName]int
	// took is how long a task of a step was seen to take.
	took map[int]time.Duration
	// failedOn is when a run of the job last failed on a worker.
	failedOn map[string]time.Time
	// preemptedFor is when work was last told to stop for a unit, by its first task.
	preemptedFor map[job.TaskName]time.Time
	// stoppedAt is when runs were told to stop, by their tasks.
	stoppedAt map[job.TaskName]time.Time
	// causes is why runs were told to stop, by their tasks; broken is why the newest broken run of a gang broke, by its first task.
	causes map[job.TaskName]lossCause
	broken map[job.TaskName]brokenGang
	// crashedAt is when a worker last crashed under a task, as far as this leader knows.
	crashedAt map[job.TaskName]time.Time
	// paces is how its steps come on, by a name with the index 0.
	paces map[job.TaskName]*stepPace
	// waits is why its units were last logged to wait, by their first tasks.
	waits map[job.TaskName]string
	// wantedOn are the workers on which runs of it were placed when what workers should run was told last.
	wantedOn []string
}

// worker is a worker as the control goroutine knows it.
type worker struct {
	name string
	// life is nil until the agent has reported one.
	life *assignment.WorkerState
	// closing says that its agent knows the life to be over, and that its end is not told yet.
	closing bool
	// heard is when the newest poll was taken.
	heard time.Time
	// leaves is the earliest time at which a leaving worker goes.
	leaves time.Time
	// runs are those that the worker has reported, ends the number up to which its ends are taken note of.
	runs map[assignment.RunID]observed
	ends int64
	// silent says that its agent gets no answer from it, failing since when it gets none; zero while it does.
	silent  bool
	failing time.Time
	// crashed is when a life of it last crashed, as far as this leader knows.
	crashed time.Time
	health  health
	speed   speed
}

func newTracked(j *job.Job) *tracked {
	return &tracked{
		job: j, progress: job.NewProgress(), stopping: map[job.TaskName]int{}, took: map[int]time.Duration{},
		failedOn: map[string]time.Time{}, preemptedFor: map[job.TaskName]time.Time{}, waits: map[job.TaskName]string{},
		paces: map[job.TaskName]*stepPace{}, stoppedAt: map[job.TaskName]time.Time{}, causes: map[job.TaskName]lossCause{}, broken: map[job.TaskName]brokenGang{},
		crashedAt: map[job.TaskName]time.Time{},
	}
}

// length predicts how long a task of a step works.
func (c *Controller) length(t *tracked, step int) time.Duration {
	if !c.has(Forecasts) {
		return t.job.Steps[step].Estimate
	}
	if took, ok := t.took[step]; ok {
		return took
	}
	return c.forecast.of(t.job.Queue, t.job.Steps[step].Estimate)
}

// work is what all tasks of a job do, in core-seconds.
func (c *Controller) work(t *tracked) float64 {
	sum := 0.0
	for i, s := range t.job.Steps {
		sum += float64(s.Tasks) * c.length(t, i).Seconds() * weight(s.Resources)
	}
	return sum
}

// noteLength takes note of how long a run took that has ended done, unless it went on from a checkpoint.
func (c *Controller) noteLength(e assignment.End) {
	t := c.jobs[e.Task.Job]
	if t == nil || e.Reason != job.EndDone || e.Took() <= 0 {
		return
	}
	task := t.progress.Task(e.Task)
	if _, known := t.took[e.Task.Step]; known || task == nil || task.Run != e.Run || task.Checkpoint != "" {
		return
	}
	took := e.Took()
	if c.has(NominalLengths) {
		took = time.Duration(float64(took) / math.Exp(c.slownessOf(t, e)))
	}
	t.took[e.Task.Step] = took
	c.forecast.note(t.job.Queue, t.job.Steps[e.Task.Step].Estimate, took)
}

// slownessOf is how much longer a run took for its workers than it would have on average ones, as a logarithm: a gang takes as long as its
// slowest member.
func (c *Controller) slownessOf(t *tracked, e assignment.End) float64 {
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

// observed is what is known of a run that a worker has reported.
type observed struct {
	percent int
	// since is when the run began, as far as is known; advanced when the percentage last rose.
	since    time.Time
	advanced time.Time
	// base is the percentage that was first reported, at the time baseAt: a run may go on from a checkpoint.
	base   int
	baseAt time.Time
	// sampled says that the run has said how fast its worker is.
	sampled bool
}

// begun reports whether the worker has said that the run is there.
func (o observed) begun() bool { return !o.since.IsZero() && o.percent >= 0 }

// firstSeen is the first report of a run.
func firstSeen(now time.Time, r assignment.Run) observed {
	o := observed{percent: -1, since: now, advanced: now, base: max(r.Percent, 0), baseAt: now}
	if r.AgeMillis > 0 {
		o.since = now.Add(-r.Age())
	}
	return o
}

// left is how long the run still works if it goes on as it has since the first report; false as long as that says nothing.
func (o observed) left(now time.Time) (time.Duration, bool) {
	done := o.percent - o.base
	if done <= 0 {
		return 0, false
	}
	left := o.advanced.Sub(o.baseAt) * time.Duration(100-o.percent) / time.Duration(done)
	return max(left-now.Sub(o.advanced), 0), true
}
