package estimate

import "math"

const (
	// speedPrior is the weight of the assumption that a worker is average, in samples.
	speedPrior = 1.0
	// speedMemory bounds the weight of older samples, so that a worker that has become slow is
	// found out.
	speedMemory = 8.0
	// notableDeviation is the slowness from which on a worker counts as fast or slow.
	notableDeviation = 0.1
)

// SpeedClass is a worker's speed as decisions use it. Classes are ordered: faster ones are smaller.
type SpeedClass int

// The classes of speed.
const (
	Fast    SpeedClass = -1
	Average SpeedClass = 0
	Slow    SpeedClass = 1
)

// Speed is how much longer than the average a worker takes for the same work. Workers of one kind
// differ for good, by as much as an urgent job has to spare. The zero value is an average worker.
type Speed struct {
	sum, samples float64
}

// Record adds a sample: the logarithm of the time that a run took, divided by the time on an
// average worker.
func (s *Speed) Record(deviation float64) {
	if s.samples >= speedMemory {
		s.sum *= (speedMemory - 1) / s.samples
		s.samples = speedMemory - 1
	}
	s.sum += deviation
	s.samples++
}

// Slowness is the logarithm of the worker's time divided by the average: at 0.22 it takes a quarter
// longer, at -0.22 a fifth less.
func (s Speed) Slowness() float64 { return s.sum / (s.samples + speedPrior) }

// Class is the class of the worker's slowness.
func (s Speed) Class() SpeedClass {
	switch x := s.Slowness(); {
	case x < -notableDeviation:
		return Fast
	case x > notableDeviation:
		return Slow
	}
	return Average
}

// Pace is how long the tasks of a step take for each percent of their work on an average worker.
// The zero value knows nothing.
type Pace struct {
	sum, samples float64
}

// Compare records in the worker's speed how a run of the step came on, compared with earlier
// runs of the step, and adds the run to the pace. Both millis and percent must be positive.
func (p *Pace) Compare(worker *Speed, millis int64, percent int) {
	took := math.Log(float64(millis) / float64(percent))
	if p.samples > 0 {
		worker.Record(took - p.sum/p.samples)
	}
	p.sum += took - worker.Slowness()
	p.samples++
}
