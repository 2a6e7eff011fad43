package topic

import (
	"context"
	"time"
)

const (
	// minProbeInterval is the time between two probes of a log that doesn't respond or returns
	// errors. It is short because rejected callers retry within some hundred milliseconds, and
	// because a new connection works as soon as the log is back, while an old one may remain silent
	// for a second.
	minProbeInterval = 80 * time.Millisecond
	// probeIntervalPerReader is the probe interval per process that reads the topic, where the
	// product is longer than minProbeInterval. It bounds the probes of all processes together.
	probeIntervalPerReader = 2 * time.Millisecond
)

// pacer determines when the next read starts and how long it waits for records.
type pacer struct {
	// wait returns how long a read may wait for records.
	wait func() time.Duration
	// minInterval returns the shortest time between the starts of two reads; with zero the next
	// read starts at once.
	minInterval func() time.Duration
	// readers returns how many processes read the topic.
	readers func() int
	// woken ends the interval early.
	woken chan struct{}
	// lastRead is when the previous read started.
	lastRead time.Time
}

func newPacer(wait time.Duration) pacer {
	return pacer{
		wait:        func() time.Duration { return wait },
		minInterval: func() time.Duration { return 0 },
		readers:     func() int { return 1 },
		woken:       make(chan struct{}, 1),
	}
}

// next blocks until the next read may start and returns how long it may wait for records. The
// interval is subtracted from the wait, so that the reader is never out of sync for longer than
// with back-to-back reads. A read after wake doesn't wait.
func (p *pacer) next(ctx context.Context) time.Duration {
	interval := p.minInterval()
	if interval <= 0 {
		return p.wait()
	}
	timer := time.NewTimer(interval - time.Since(p.lastRead))
	defer timer.Stop()
	select {
	case <-timer.C:
		return max(p.wait()-interval, 0)
	case <-p.woken:
	case <-ctx.Done():
	}
	return 0
}

// wake makes the next read start at once.
func (p *pacer) wake() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

// probeInterval returns the time between two attempts while the log doesn't respond.
func (p *pacer) probeInterval() time.Duration {
	return max(minProbeInterval, time.Duration(p.readers())*probeIntervalPerReader)
}
