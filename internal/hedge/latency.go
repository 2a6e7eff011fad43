package hedge

import (
	"sync"
	"time"
)

// Bounds of the patience with a service.
const (
	// usual is the time of an answer that is taken for granted until one has come.
	usual = 20 * time.Millisecond
	// factor is how many usual times an answer may take before the next try begins. On the users' platform a store that is
	// slow answers in two to three times 70 x 4 ms, because appends also wait for one another.
	factor = 4
	// leastPatience and mostPatience bound it, and restingPatience what it grows to while a quick service gives no answer,
	// so that one that is back is noticed soon.
	leastPatience   = 150 * time.Millisecond
	mostPatience    = 2 * time.Second
	restingPatience = 500 * time.Millisecond
	// forgetting is the share of a shorter answer's time in the new estimate. A longer one counts at once.
	forgetting = 8
)

// Latency learns how long a service takes to answer. Its methods may be called from any goroutine.
type Latency struct {
	mu       sync.Mutex
	estimate time.Duration
}

// NewLatency returns a Latency that expects the usual.
func NewLatency() *Latency { return &Latency{estimate: usual} }

// Observe takes note of how long an answer took.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimate = max(took, l.estimate+(took-l.estimate)/forgetting)
}

// Fast reports whether answers come so soon that only the least patience is needed.
func (l *Latency) Fast() bool { return l.HedgeDelay(0) <= leastPatience }

// HedgeDelay is how long a try may go without an answer until the next one begins. It doubles with each try.
func (l *Latency) HedgeDelay(try int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := min(max(factor*l.estimate, leastPatience), mostPatience)
	return min(first<<min(try, 8), max(first, restingPatience))
}
