package estimate

import (
	"math"
	"slices"
)

const (
	// speedPrior is the weight of the assumption that a worker is average, in samples.
	speedPrior = 1.0
	// speedMemory bounds the weight of older samples, so that a worker that becomes slow is
	// detected.
	speedMemory = 8.0
	// notableDeviation is the slowness beyond which a worker counts as fast or slow.
	notableDeviation = 0.1
	// windowSamples is how many runs of a step determine which paces are outliers. It bounds the
	// memory and the time for steps of thousands of tasks; the median of 64 is precise enough.
	windowSamples = 64
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
	// outliers are the latest samples beyond maxDeviation.
	outliers outlierStreak
}

// Record adds a sample: the logarithm of the ratio of a run's duration to its duration on an
// average worker. With bounds, an outlier is left out as the run of a long task. Several in a row
// are those of a worker that has turned slow; then they count, limited to maxDeviation.
func (s *Speed) Record(deviation float64, bounds Bounds) {
	if bounds == Bounded {
		if s.outliers.leavesOut(deviation) {
			return
		}
		deviation = bounded(deviation)
	}
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

// StepPace estimates how long the tasks of a step take for each percent of their work on an average
// worker, as the mean of the runs. The zero value has no samples.
type StepPace struct {
	// sum and samples are those of the runs that count.
	sum, samples float64
	// earliest holds the paces of the first windowSamples runs in ascending order, as logarithms of
	// milliseconds per percent. It is empty without bounds.
	earliest []float64
}

// RecordRun compares a run's progress with earlier runs of the step, records the deviation in the
// worker's speed, and adds the run to the pace. Both millis and percent must be positive. With
// bounds, runs that deviate from the median by more than maxDeviation don't count for the pace,
// whichever came first.
func (p *StepPace) RecordRun(worker *Speed, millis int64, percent int, bounds Bounds) {
	took := math.Log(float64(millis) / float64(percent))
	if p.samples > 0 {
		worker.Record(took-p.sum/p.samples, bounds)
	}
	if bounds == Bounded {
		p.addBounded(took - worker.Slowness())
		return
	}
	p.add(took - worker.Slowness())
}

func (p *StepPace) add(pace float64) {
	p.sum += pace
	p.samples++
}

// addBounded adds a pace if it is near the median. While the median still changes, the paces that
// count are selected again each time.
func (p *StepPace) addBounded(pace float64) {
	if len(p.earliest) == windowSamples {
		if p.nearMedian(pace) {
			p.add(pace)
		}
		return
	}
	i, _ := slices.BinarySearch(p.earliest, pace)
	p.earliest = slices.Insert(p.earliest, i, pace)
	p.sum, p.samples = 0, 0
	for _, earlier := range p.earliest {
		if p.nearMedian(earlier) {
			p.add(earlier)
		}
	}
}

// nearMedian reports whether a pace is within maxDeviation of the median. Of two paces the median
// is the shorter one, since outliers are long tasks.
func (p *StepPace) nearMedian(pace float64) bool {
	median := p.earliest[(len(p.earliest)-1)/2]
	return math.Abs(pace-median) <= maxDeviation
}
