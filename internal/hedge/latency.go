package hedge

import (
	"sync"
	"time"
)

const (
	// initialEstimate is the response time assumed before the first response.
	initialEstimate = 20 * time.Millisecond
	// hedgeFactor is the ratio of the hedge delay to the estimated response time. It allows for
	// appends to a slow log, which queue up behind one another and take two to three response
	// times.
	hedgeFactor = 4
	// minHedgeDelay and maxHedgeDelay bound the hedge delay of the first attempt.
	minHedgeDelay = 150 * time.Millisecond
	maxHedgeDelay = 2 * time.Second
	// maxBackoff bounds the doubling of the delay while a fast service does not respond, so that
	// its recovery is detected quickly.
	maxBackoff = 500 * time.Millisecond
	// maxDoublings prevents an overflow of the doubled delay.
	maxDoublings = 8
	// decayDivisor is the reciprocal of the weight of a faster response in the moving average.
	decayDivisor = 8
)

// Latency estimates the response time of a service. It is safe for concurrent use.
type Latency struct {
	mu       sync.Mutex
	estimate time.Duration
}

// NewLatency returns an estimator without observations.
func NewLatency() *Latency { return &Latency{estimate: initialEstimate} }

// Observe updates the estimate with an observed response time. A slower response raises the
// estimate immediately; a faster one lowers it gradually.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimate = max(took, l.estimate+(took-l.estimate)/decayDivisor)
}

// Fast reports whether the service responds so quickly that the minimum hedge delay is in use.
func (l *Latency) Fast() bool { return l.HedgeDelay(0) <= minHedgeDelay }

// HedgeDelay returns the time to wait for a response to an attempt before the next one is started.
// It doubles with each attempt up to maxBackoff, or stays constant if the first delay is already
// longer.
func (l *Latency) HedgeDelay(attempt int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := min(max(hedgeFactor*l.estimate, minHedgeDelay), maxHedgeDelay)
	return min(first<<min(attempt, maxDoublings), max(first, maxBackoff))
}
