// Package suspend measures elapsed time including periods in which the machine was suspended.
//
// The Go runtime's monotonic clock does not advance while the machine is suspended, so a lease, or
// a configuration that was known to be current, would appear younger than it is. Code that depends
// on such an age stores the Instant at which it began and asks a Clock for the elapsed time. An age
// that is still within its limit after a brief suspension stays valid, and nothing has to detect
// the suspension before the age is checked.
//
// The package holds no state. It relies on CLOCK_MONOTONIC and CLOCK_BOOTTIME of Linux.
//
// # Usage
//
//	clock := suspend.SystemClock()
//	sent := clock.Now()
//	...
//	if clock.Since(sent) < limit { ... }
//	if time.Since(clock.Monotonic(sent)) < limit { ... } // equivalent, with a time.Time
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the total time that the machine has been suspended since a fixed reference point. A
// nil Clock behaves like that of a machine that is never suspended.
type Clock func() time.Duration

const (
	// readTolerance is the maximum difference between the two readings of the monotonic clock taken
	// before and after a reading of the boot clock. It bounds the overestimate of the suspended
	// time.
	readTolerance = time.Millisecond
	// readAttempts bounds the retries when the process is descheduled between readings.
	readAttempts = 5
)

// SystemClock returns the clock of this machine. The suspended time is the difference between
// CLOCK_BOOTTIME, which advances during suspensions, and CLOCK_MONOTONIC, which does not.
func SystemClock() Clock {
	return func() time.Duration {
		suspended := time.Duration(0)
		for range readAttempts {
			before := read(unix.CLOCK_MONOTONIC)
			boot := read(unix.CLOCK_BOOTTIME)
			after := read(unix.CLOCK_MONOTONIC)
			// The monotonic clock read at least the value of before when the boot clock was read,
			// so this is an upper bound.
			suspended = boot - before
			if after-before <= readTolerance {
				break
			}
		}
		return suspended.Truncate(readTolerance)
	}
}

// read reads a system clock, and returns zero if it can't be read. Linux has both clocks; if
// neither could be read, the difference of the two zeros would count no suspension.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(clock, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Instant is a point in time on both clocks. The zero value means that no time is set.
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
	// The suspended time is read first, so that a suspension between the two readings makes the
	// instant appear older, never younger.
	suspended := c.suspended()
	return Instant{at: time.Now(), suspended: suspended}
}

// Since returns the time elapsed since an instant, including suspensions.
func (c Clock) Since(i Instant) time.Duration { return time.Since(c.Monotonic(i)) }

// Later returns the later of the two instants.
func (c Clock) Later(a, b Instant) Instant {
	if c.Monotonic(a).After(c.Monotonic(b)) {
		return a
	}
	return b
}

// Monotonic converts an instant to a time.Time for which time.Since, which uses the monotonic
// clock, includes all suspensions up to now. It returns the zero time for the zero instant.
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
