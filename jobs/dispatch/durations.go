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

// duration predicts the duration of a task of a step.
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

// longestChain predicts the duration of the longest chain of dependent steps of a job.
func (p predictor) longestChain(t *trackedJob) time.Duration {
	return t.job.CriticalPath(func(step int) time.Duration { return p.duration(t, step) })
}

// objective returns when the last round of a job should be completed.
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

// recordDuration records the duration of the first successful run of a step, unless the run resumed
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
	if c.has(NormalizedDurations) {
		took = time.Duration(float64(took) / math.Exp(c.slownessOfRun(t, e)))
	}
	t.durations[e.Task.Step] = took
	c.durations.Record(t.job.Queue, t.step(e.Task).Estimate, took, c.sampleBounds())
}

// slownessOfRun returns the slowness of the worker of a run; a gang is as slow as its slowest
// worker.
func (c *Controller) slownessOfRun(t *trackedJob, e assignment.End) float64 {
	slowest := math.Inf(-1)
	gang := t.inGang(e.Task)
	t.progress.EachPlaced(t.job.ID, func(name job.TaskName, task *job.Task) {
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

// sampleMinPercent is the lowest percentage at which a run's progress is used to measure its
// worker's speed. Below it, rounding errors are too large.
const sampleMinPercent = 40

// sampleRunningSpeed samples a worker's speed from a run that has progressed far enough. Each run
// is sampled once.
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

// sampleEndedSpeed samples a worker's speed from a successful run that was not sampled while
// running. The end of a gang only reflects the speed of its slowest member.
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

// recordSpeed compares the progress of a run with other runs of its step.
func (c *Controller) recordSpeed(w *worker, id assignment.RunID, percent int, millis int64) {
	t := c.jobs[id.Task.Job]
	if t == nil || millis <= 0 || percent <= 0 || id.Task.Step >= len(t.job.Steps) || t.step(id.Task).LongRunning {
		return
	}
	first := firstOf(id.Task)
	pace := t.paces[first]
	if pace == nil {
		pace = &estimate.StepPace{}
		t.paces[first] = pace
	}
	pace.RecordRun(&w.speed, millis, percent, c.sampleBounds())
}

// sampleBounds returns whether outliers among the samples are left out.
func (c *Controller) sampleBounds() estimate.Bounds { return estimate.Bounds(c.has(BoundedSamples)) }

// startedFresh reports whether a run began without a checkpoint. Only the first run of a task
// certainly does.
func startedFresh(id assignment.RunID) bool { return id.Run == 1 }
