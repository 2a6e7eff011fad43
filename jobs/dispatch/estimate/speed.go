package estimate

import "math"

const (
	// speedPrior is the weight of the assumption that a worker is average, in samples.
	speedPrior = 1.0
	// speedMemory bounds the weight of older samples, so that a worker that becomes slow is
	// detected.
	speedMemory = 8.0
	// notableDeviation is the slowness beyond which a worker counts as fast or slow.
	notableDeviation = 0.1
)

// SpeedClass is a coarse worker speed for use in decisions. Classes are ordered: faster ones are
// smaller.
type SpeedClass int

// The speed classes.
const (
	Fast    SpeedClass = -1
	Average SpeedClass = 0
	Slow    SpeedClass = 1
)

// Speed estimates how much longer than average a worker takes for the same work. Workers of one
// kind differ permanently, by as much as the slack of an urgent job. The zero value is an average
// worker.
type Speed struct {
	sum, samples float64
}

// Record adds a sample: the logarithm of the ratio of a run's duration to its duration on an
// average worker.
func (s *Speed) Record(deviation float64) {
	if s.samples >= speedMemory {
		s.sum *= (speedMemory - 1) / s.samples
		s.samples = speedMemory - 1
	}
	s.sum += deviation
	s.samples++
}

// Slowness returns the logarithm of the ratio of the worker's time to the average: at 0.22 it takes
// a quarter longer, at -0.22 a fifth less.
func (s Speed) Slowness() float64 { return s.sum / (s.samples + speedPrior) }

// Class returns the speed class of the worker's slowness.
func (s Speed) Class() SpeedClass {
	switch x := s.Slowness(); {
	case x < -notableDeviation:
		return Fast
	case x > notableDeviation:
		return Slow
	}
	return Average
}

// Pace estimates how long the tasks of a step take for each percent of their work on an average
// worker. The zero value has no samples.
type Pace struct {
	sum, samples float64
}

// RecordRun compares a run's progress with earlier runs of the step, records the deviation in the
// worker's speed, and adds the run to the pace. Both millis and percent must be positive.
func (p *Pace) RecordRun(worker *Speed, millis int64, percent int) {
	took := math.Log(float64(millis) / float64(percent))
	if p.samples > 0 {
		worker.Record(took - p.sum/p.samples)
	}
	p.sum += took - worker.Slowness()
	p.samples++
}
