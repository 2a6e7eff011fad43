package dispatch

import (
	"math"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Workers of one kind differ in speed for good: on the users' largest site a third takes 0.8 times, and a third 1.22 times, as long as the
// others for the same work (89 workers of one calm day, fitted to 1,061 tasks of 29 jobs, of which each deviates by 0.14 for itself). An urgent job
// has half of its length and a quarter of a second to spare, and a gang is as slow as its slowest member. So the speed of each worker is
// learnt from how its runs come on, compared with others of the same step.
const (
	// sampleMinPercent is the percentage from which on a run says how fast its worker is: below it rounding weighs too much.
	sampleMinPercent = 40
	// speedPrior is the number of samples of an average worker that a new one begins with.
	speedPrior = 1.0
	// speedMemory bounds the weight of what was seen before, in samples, so that a worker which has become slow is known for it.
	speedMemory = 8.0
	// notableDeviation is from which deviation on (the logarithm of time for the same work) a worker counts as fast or slow.
	notableDeviation = 0.1
)

// speed is how much longer than others a worker takes for the same work, as a logarithm. The zero value knows nothing.
type speed struct {
	sum, samples float64
}

// record takes a sample.
func (s *speed) record(deviation float64) {
	if s.samples >= speedMemory {
		s.sum *= (speedMemory - 1) / s.samples
		s.samples = speedMemory - 1
	}
	s.sum += deviation
	s.samples++
}

// slowness is the estimate: 0.22 takes a quarter longer than the average, -0.22 a fifth less.
func (s speed) slowness() float64 { return s.sum / (s.samples + speedPrior) }

// class is -1 for a fast worker, 1 for a slow one, and 0 for all others.
func (s speed) class() int {
	switch x := s.slowness(); {
	case x < -notableDeviation:
		return -1
	case x > notableDeviation:
		return 1
	}
	return 0
}

// stepPace is how long the tasks of a step take for a hundredth of their work on an average worker, as a sum of logarithms.
type stepPace struct {
	sum, samples float64
}

// recordSpeed compares how a run has come on with others of its step. Each run is a sample once.
func (c *Controller) recordSpeed(w *worker, id assignment.RunID, percent int, millis int64) {
	t := c.jobs[id.Task.Job]
	if t == nil || millis <= 0 || percent <= 0 || id.Task.Step >= len(t.job.Steps) || t.job.Steps[id.Task.Step].LongRunning {
		return
	}
	key := job.TaskName{Job: id.Task.Job, Round: id.Task.Round, Step: id.Task.Step}
	pace := t.paces[key]
	if pace == nil {
		pace = &stepPace{}
		t.paces[key] = pace
	}
	took := math.Log(float64(millis) / float64(percent))
	if pace.samples > 0 {
		w.speed.record(took - pace.sum/pace.samples)
	}
	pace.sum += took - w.speed.slowness()
	pace.samples++
}

// sampleRunningSpeed takes a run as a sample of its worker's speed, if it has come far enough and has not been one. Runs that go on from a
// checkpoint are none.
func (c *Controller) sampleRunningSpeed(w *worker, r assignment.Run, o *observedRun) {
	if o.sampled || r.Percent < sampleMinPercent || r.Percent >= stalledBelowPercent || r.ListedMillis <= 0 || !c.startedFresh(r.RunID) {
		return
	}
	o.sampled = true
	c.recordSpeed(w, r.RunID, r.Percent, r.ListedMillis)
}

// sampleEndedSpeed takes a run that has ended done as a sample, if it was none on its way. The end of a gang is that of its slowest member.
func (c *Controller) sampleEndedSpeed(w *worker, e assignment.End, o observedRun) {
	t := c.jobs[e.Task.Job]
	if t == nil || o.sampled || e.Reason != job.EndDone || e.Task.Step >= len(t.job.Steps) {
		return
	}
	if t.job.Steps[e.Task.Step].Gang || !c.startedFresh(e.RunID) {
		return
	}
	c.recordSpeed(w, e.RunID, 100, e.TookMillis)
}

// startedFresh reports whether a run began without a checkpoint: only the first run of a task is sure to.
func (c *Controller) startedFresh(id assignment.RunID) bool { return id.Run == 1 }
