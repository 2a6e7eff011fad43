package dispatch

import (
	"math"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// predictor predicts how long work takes.
type predictor struct {
	policy    Policy
	durations *estimate.Durations
}

func (c *Controller) predictor() predictor {
	return predictor{policy: c.settings.Policy, durations: c.durations}
}

// duration predicts how long a task of a step works.
func (p predictor) duration(t *trackedJob, step int) time.Duration {
	estimated := t.job.Steps[step].Estimate
	if !p.policy.Has(Forecasts) {
		return estimated
	}
	if actual, ok := t.durations[step]; ok {
		return actual
	}
	return p.durations.Expected(t.job.Queue, estimated)
}

// longestChain predicts how long the longest chain of dependent steps of a job works.
func (p predictor) longestChain(t *trackedJob) time.Duration {
	return t.job.Chain(func(step int) time.Duration { return p.duration(t, step) })
}

// objective is when the last round of a job should be completed.
func (p predictor) objective(t *trackedJob) time.Time {
	return t.job.Objective(t.job.Rounds()-1, p.longestChain(t))
}

// work predicts the work of all tasks of a job, in core-seconds.
func (p predictor) work(t *trackedJob) float64 {
	sum := 0.0
	for i, s := range t.job.Steps {
		sum += float64(s.Tasks) * p.duration(t, i).Seconds() * weight(s.Resources)
	}
	return sum
}

// recordDuration learns from the first run of a step that has succeeded, unless it continued
// from a checkpoint.
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
	c.durations.Record(t.job.Queue, t.step(e.Task).Estimate, took)
}

// slownessOfRun is the slowness of a run's worker; a gang is as slow as its slowest worker.
func (c *Controller) slownessOfRun(t *trackedJob, e assignment.End) float64 {
	slowest := math.Inf(-1)
	gang := t.inGang(e.Task)
	t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
		w := c.workers[task.Worker]
		if w != nil && (name == e.Task || gang && firstOf(name) == firstOf(e.Task)) {
			slowest = max(slowest, w.speed.Slowness())
		}
	})
	if math.IsInf(slowest, -1) {
		return 0
	}
	return slowest
}

// sampleMinPercent is the percentage from which on a run says how fast its worker is: below it
// rounding weighs too much.
const sampleMinPercent = 40

// sampleRunningSpeed learns a worker's speed from a run that has come far enough. Each run
// counts once.
func (c *Controller) sampleRunningSpeed(w *worker, r assignment.Run, o *observedRun) {
	if o.sampled || r.Percent < sampleMinPercent || r.Percent >= donePercent || r.ListedMillis <= 0 {
		return
	}
	if !startedFresh(r.RunID) {
		return
	}
	o.sampled = true
	c.recordSpeed(w, r.RunID, r.Percent, r.ListedMillis)
}

// sampleEndedSpeed learns a worker's speed from a run that has succeeded, if the run has not
// counted before. The end of a gang only shows the speed of its slowest member.
func (c *Controller) sampleEndedSpeed(w *worker, e assignment.End, o observedRun) {
	t := c.jobs[e.Task.Job]
	if t == nil || o.sampled || e.Reason != job.EndDone || e.Task.Step >= len(t.job.Steps) {
		return
	}
	if t.inGang(e.Task) || !startedFresh(e.RunID) {
		return
	}
	c.recordSpeed(w, e.RunID, 100, e.TookMillis)
}

// recordSpeed compares how a run has come on with others of its step.
func (c *Controller) recordSpeed(w *worker, id assignment.RunID, percent int, millis int64) {
	t := c.jobs[id.Task.Job]
	if t == nil || millis <= 0 || percent <= 0 || id.Task.Step >= len(t.job.Steps) || t.step(id.Task).LongRunning {
		return
	}
	first := firstOf(id.Task)
	pace := t.paces[first]
	if pace == nil {
		pace = &estimate.Pace{}
		t.paces[first] = pace
	}
	pace.Compare(&w.speed, millis, percent)
}

// startedFresh reports whether a run began without a checkpoint: only the first run of a task
// is sure to.
func startedFresh(id assignment.RunID) bool { return id.Run == 1 }
