package dispatch

import (
	"math"
	"time"
)

// The prior of a forecast counts like so many observed steps that took just what was estimated, with estimates that spread
// (as the variance of their logarithm) like that.
const (
	priorSteps  = 5
	priorSpread = 0.2
)

// maxCorrection is by which factor at most a forecast differs from the estimate.
const maxCorrection = 8

// forecast predicts how long tasks work. Callers' estimates are rough: on the users' sites those of urgent queues are wrong
// by a factor of three either way, and the mean of the queue says more. So for each queue a line is fitted through the
// logarithms of estimates and of what steps took, and estimates count as much as they have proved to.
type forecast struct {
	queues map[string]*line
}

// line is a regression through the origin of a queue's mean, in logarithms of seconds.
type line struct {
	steps                    float64
	sumX, sumY, sumXX, sumXY float64
}

func newForecast() *forecast { return &forecast{queues: map[string]*line{}} }

// record takes note of how long a step of a queue took.
func (f *forecast) record(queue string, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	l := f.queues[queue]
	if l == nil {
		l = &line{}
		f.queues[queue] = l
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	l.steps++
	l.sumX += x
	l.sumY += y
	l.sumXX += x * x
	l.sumXY += x * y
}

// expected predicts how long a step with that estimate takes.
func (f *forecast) expected(queue string, estimate time.Duration) time.Duration {
	l := f.queues[queue]
	if l == nil || estimate <= 0 {
		return estimate
	}
	x := math.Log(estimate.Seconds())
	meanX, meanY := l.sumX/l.steps, l.sumY/l.steps
	spread := l.sumXX - l.steps*meanX*meanX
	together := l.sumXY - l.steps*meanX*meanY
	prior := float64(priorSteps * priorSpread)
	slope := min(max((together+prior)/(spread+prior), 0), 1)
	offset := (meanY - meanX) * l.steps / (l.steps + priorSteps)
	y := meanX + offset + slope*(x-meanX)
	y = min(max(y, x-math.Log(maxCorrection)), x+math.Log(maxCorrection))
	return time.Duration(math.Exp(y) * float64(time.Second))
}
