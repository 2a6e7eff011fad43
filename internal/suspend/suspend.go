// Package suspend measures time across a suspension of the machine.
//
// The runtime's monotonic clock stands still while a machine is suspended, so a lease or the
// knowledge that a configuration is current would seem younger than it is. Code that relies on such
// a thing keeps the Instant at which it was obtained and asks a Clock for the time since. An age
// that is still short enough after a brief suspension stays valid; nothing has to detect the
// suspension before the age is looked at.
//
// The package owns no state. It relies on CLOCK_MONOTONIC and CLOCK_BOOTTIME of Linux.
//
// # Usage
//
//	clock := suspend.SystemClock()
//	sent := clock.Now()
//	...
//	if clock.Since(sent) < limit { ... }
//	if time.Since(clock.Monotonic(sent)) < limit { ... } // the same, as a time.Time
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the total time for which the machine has been suspended since some fixed moment. A
// nil Clock stands for a machine that is never suspended.
type Clock func() time.Duration

const (
	// readTolerance is how far apart the two readings of the monotonic clock may be that enclose
	// one of the boot clock. The suspended time is overestimated by no more than this.
	readTolerance = time.Millisecond
	// readAttempts bounds the repetitions where the process loses its processor between readings.
	readAttempts = 5
)

// SystemClock returns the clock of this machine: CLOCK_BOOTTIME counts suspensions, CLOCK_MONOTONIC
// doesn't.
func SystemClock() Clock {
	return func() time.Duration {
		suspended := time.Duration(0)
		for range readAttempts {
			before := read(unix.CLOCK_MONOTONIC)
			boot := read(unix.CLOCK_BOOTTIME)
			after := read(unix.CLOCK_MONOTONIC)
			// The monotonic clock had reached before when the boot clock was read, so this is an
			// upper bound.
			suspended = boot - before
			if after-before <= readTolerance {
				break
			}
		}
		return suspended.Truncate(readTolerance)
	}
}

// read reads a system clock. It returns zero if the clock can't be read: Linux has both clocks, and
// with two zeros no suspension is counted.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(clock, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Instant is a point in time on both clocks. The zero value is no point in time.
type Instant struct {
	at        time.Time
	suspended time.Duration
}

// IsZero reports whether the instant is the zero value.
func (i Instant) IsZero() bool { return i.at.IsZero() }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{at: i.at.Add(d), suspended: i.suspended}
}

// Now returns the current instant.
func (c Clock) Now() Instant {
	// The suspended time is read first: a suspension between the two readings makes the instant
	// seem older, never younger.
	suspended := c.suspended()
	return Instant{at: time.Now(), suspended: suspended}
}

// Since returns the time that has passed since an instant, suspensions included.
func (c Clock) Since(i Instant) time.Duration { return time.Since(c.Monotonic(i)) }

// Later returns the later of two instants.
func (c Clock) Later(a, b Instant) Instant {
	if c.Monotonic(a).After(c.Monotonic(b)) {
		return a
	}
	return b
}

// Monotonic converts an instant to a time whose age by the monotonic clock, as time.Since reports
// it, includes the suspensions until now. It returns the zero time for the zero instant.
func (c Clock) Monotonic(i Instant) time.Time {
	if i.IsZero() {
		return time.Time{}
	}
	return i.at.Add(i.suspended - c.suspended())
}

func (c Clock) suspended() time.Duration {
	if c == nil {
		return 0
	}
	return c()
}
