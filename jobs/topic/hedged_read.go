package topic

import (
	"context"
	"errors"
	"sync"
	"time"
)

// minFullReadInterval is the time after which a full read that is still running is repeated; it
// doubles with each repetition. After an outage the log has many records to send to many readers,
// and would not finish if they repeated their reads at the interval of probes.
const minFullReadInterval = time.Second

// errReadRunning is the result of a probe that found records which a running read is already
// fetching.
var errReadRunning = errors.New("a full read is already running")

// hedgedRead is one read of a topic, made in as many attempts as needed.
//
// The first attempt waits for records and returns them. Later attempts probe whether the log
// responds. A probe that finds no records completes the read as well. A probe that finds records
// shows that the first attempt is stuck, and starts a full read, unless a recent one is still
// running.
type hedgedRead struct {
	log  Log
	next int64
	wait time.Duration

	mu sync.Mutex
	// fullReads is the number of running full reads; the first attempt is not counted.
	fullReads int
	// repeatAt is when the next full read may start while others are running.
	repeatAt time.Time
	// interval is the time from the last start of a full read to repeatAt.
	interval time.Duration
}

func newHedgedRead(log Log, next int64, wait time.Duration) *hedgedRead {
	return &hedgedRead{log: log, next: next, wait: wait}
}

// read makes one attempt.
func (r *hedgedRead) read(ctx context.Context, attempt int) (Batch, error) {
	if attempt == 0 {
		return r.log.Read(ctx, Query{From: r.next, Wait: r.wait})
	}
	batch, err := r.log.Read(ctx, Query{From: r.next, Probe: true})
	switch {
	case err != nil, batch.End <= r.next:
		return batch, err
	case !r.startFullRead(time.Now()):
		return batch, errReadRunning
	}
	defer r.endFullRead()
	return r.log.Read(ctx, Query{From: r.next})
}

// startFullRead reports whether a full read may start, and counts it if so.
func (r *hedgedRead) startFullRead(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fullReads > 0 && now.Before(r.repeatAt) {
		return false
	}
	r.fullReads++
	r.interval = max(minFullReadInterval, 2*r.interval)
	r.repeatAt = now.Add(r.interval)
	return true
}

func (r *hedgedRead) endFullRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fullReads--
}
