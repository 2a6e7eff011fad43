// Package estimate learns durations from observations: how long tasks of a queue take, how fast
// each worker is, and how long it takes to stop a run.
//
// It keeps only the samples that it is given, and depends on no other package. Its types are not
// safe for concurrent use.
//
// # Usage
//
//	durations := estimate.NewDurations()
//	durations.Record("batch", 2*time.Second, 3*time.Second, estimate.Bounded)
//	durations.Expected("batch", 4*time.Second)
//
//	var speed estimate.Speed // of one worker
//	speed.Record(0.2, estimate.Bounded) // a run took e^0.2, or 1.2 times as long as on average
//	speed.Class()                       // estimate.Average, until there are more such samples
package estimate

import (
	"math"
	"time"
)

const (
	// priorSteps is the weight of the prior, as a number of steps whose estimates were exact.
	priorSteps = 5
	// priorVariance is the variance of the logarithm of the prior's estimates.
	priorVariance = 0.2
	// maxCorrection bounds the factor between a prediction and the caller's estimate.
	maxCorrection = 8
)

// Durations predicts task durations. Callers' estimates can be wrong by a factor of three, and the
// mean of the queue may be a better predictor. So for each queue a line is fitted through the
// logarithms of estimated and actual durations, which weights an estimate by how accurate the
// queue's estimates have been.
type Durations struct {
	queues map[string]*regression
}

// regression is a linear regression through the mean, in logarithms of seconds.
type regression struct {
	steps                    float64
	sumX, sumY, sumXX, sumXY float64
	// outliers are the latest steps that deviated from their predictions by more than maxDeviation.
	outliers outlierStreak
}

// NewDurations returns a Durations without samples, whose predictions equal the estimates.
func NewDurations() *Durations { return &Durations{queues: map[string]*regression{}} }

// Record adds a finished step of a queue with its estimated and actual duration. Durations that are
// not positive are ignored. With bounds, a step that took far longer or shorter than predicted is
// left out, unless the steps before it did too: the tasks of a few steps take much longer for their
// own sake, and would raise the predictions of the queue permanently.
func (d *Durations) Record(queue string, estimated, actual time.Duration, bounds Bounds) {
	if estimated <= 0 || actual <= 0 {
		return
	}
	r := d.queues[queue]
	if r == nil {
		r = &regression{}
		d.queues[queue] = r
	}
	x, y := math.Log(estimated.Seconds()), math.Log(actual.Seconds())
	if bounds == Bounded && r.outliers.leavesOut(y-r.predict(x)) {
		return
	}
	r.steps++
	r.sumX += x
	r.sumY += y
	r.sumXX += x * x
	r.sumXY += x * y
}

// Expected predicts the duration of a step with the given estimate.
func (d *Durations) Expected(queue string, estimated time.Duration) time.Duration {
	r := d.queues[queue]
	if r == nil || estimated <= 0 {
		return estimated
	}
	x := math.Log(estimated.Seconds())
	y := r.predict(x)
	y = min(max(y, x-math.Log(maxCorrection)), x+math.Log(maxCorrection))
	return time.Duration(math.Exp(y) * float64(time.Second))
}

// predict returns the logarithm of the duration of a step whose estimate has the given logarithm.
func (r *regression) predict(x float64) float64 {
	if r.steps == 0 {
		return x
	}
	meanX, meanY := r.sumX/r.steps, r.sumY/r.steps
	variance := r.sumXX - r.steps*meanX*meanX
	covariance := r.sumXY - r.steps*meanX*meanY
	prior := float64(priorSteps * priorVariance)
	slope := min(max((covariance+prior)/(variance+prior), 0), 1)
	offset := (meanY - meanX) * r.steps / (r.steps + priorSteps)
	return meanX + offset + slope*(x-meanX)
}
