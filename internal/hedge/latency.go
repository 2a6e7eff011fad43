package hedge

import (
	"sync"
	"time"
)

const (
	// initialEstimate is the response time assumed until an answer has come.
	initialEstimate = 20 * time.Millisecond
	// hedgeFactor is the hedge delay in estimated response times. Appends to a slow log queue
	// behind one another and take two to three response times.
	hedgeFactor = 4
	// minHedgeDelay and maxHedgeDelay bound the delay after the first attempt.
	minHedgeDelay = 150 * time.Millisecond
	maxHedgeDelay = 2 * time.Second
	// maxBackoff bounds the delay that doubles while a fast service does not answer, so that its
	// return is noticed soon.
	maxBackoff = 500 * time.Millisecond
	// maxDoublings keeps the doubled delay from overflowing.
	maxDoublings = 8
	// decayDivisor is the weight of a faster answer in the estimate, as a divisor.
	decayDivisor = 8
)

// Latency estimates how long a service takes to answer. Its methods may be called from any
// goroutine.
type Latency struct {
	mu       sync.Mutex
	estimate time.Duration
}

// NewLatency returns an estimator that has seen no answer yet.
func NewLatency() *Latency { return &Latency{estimate: initialEstimate} }

// Observe updates the estimate with the time that an answer took. A slower answer counts at once, a
// faster one lowers the estimate gradually.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimate = max(took, l.estimate+(took-l.estimate)/decayDivisor)
}

// Fast reports whether answers come so soon that the shortest hedge delay is in use.
func (l *Latency) Fast() bool { return l.HedgeDelay(0) <= minHedgeDelay }

// HedgeDelay returns how long an attempt may go unanswered before the next one starts. It doubles
// with each attempt up to maxBackoff, or stays as it is where the first delay is longer already.
func (l *Latency) HedgeDelay(attempt int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := min(max(hedgeFactor*l.estimate, minHedgeDelay), maxHedgeDelay)
	return min(first<<min(attempt, maxDoublings), max(first, maxBackoff))
}
