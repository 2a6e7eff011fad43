// Package suspend counts the time for which the machine was suspended, and which the steady clock leaves out.
//
// The runtime measures times with a clock that stands still while a machine is suspended. What was proved before is then older than it seems:
// a lease that was given, a proof that a configuration is the newest, the proof that this process leads. Whoever relies on such a thing keeps a Mark of
// when it was proved, and asks the Clock for the time since.
//
// Two ways were weighed. All proofs could lapse as soon as the clocks are seen to part, which needs no marks, but a place at which nobody looks before a
// proof is used would go unnoticed. Counting the gap in the age of each proof keeps the rules as they are: what is still young enough after a
// short suspension stays good.
//
// # Usage
//
//	clock := suspend.Machine()
//	sent := clock.Now()
//	...
//	if clock.Since(sent) < limit { ... }
//	if time.Since(clock.Steady(sent)) < limit { ... }   // the same, for code that counts with the steady clock
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns for how long the machine was suspended since a moment that never changes. A nil Clock belongs to a machine that is never suspended.
type Clock func() time.Duration

// readTolerance is how far apart two readings of one clock may be for the reading of the other one between them to count; between readings this process
// may have to wait for a processor. The gap is never counted too large by more than that.
const (
	readTolerance = time.Millisecond
	readTries     = 5
)

// SystemClock returns the clock of this machine: what CLOCK_BOOTTIME counts and CLOCK_MONOTONIC does not.
func SystemClock() Clock {
	return func() time.Duration {
		gap := time.Duration(0)
		for range readTries {
			before := read(unix.CLOCK_MONOTONIC)
			boot := read(unix.CLOCK_BOOTTIME)
			after := read(unix.CLOCK_MONOTONIC)
			// The steady clock was at least at before when the other one was read, so this is the most that the gap can be.
			gap = boot - before
			if after-before <= readTolerance {
				break
			}
		}
		return gap.Truncate(readTolerance)
	}
}

// read reads a clock of the system. Where it can't be read it counts as standing still, so that nothing seems to be suspended.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(clock, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Instant is a moment on both clocks. The zero value is no moment.
type Instant struct {
	at        time.Time
	suspended time.Duration
}

// IsZero reports whether the mark is no moment.
func (m Instant) IsZero() bool { return m.at.IsZero() }

// Add is the moment that long after the mark, by both clocks together.
func (m Instant) Add(d time.Duration) Instant {
	return Instant{at: m.at.Add(d), suspended: m.suspended}
}

// Now marks the present moment. The gap is read first: a suspension between the two readings makes what is marked seem older, never younger.
func (c Clock) Now() Instant {
	suspended := c.gap()
	return Instant{at: time.Now(), suspended: suspended}
}

// Since is the time that has passed since a moment, suspended or not.
func (c Clock) Since(m Instant) time.Duration { return time.Since(c.Monotonic(m)) }

// Later returns the later of two moments.
func (c Clock) Later(a, b Instant) Instant {
	if c.Monotonic(a).After(c.Monotonic(b)) {
		return a
	}
	return b
}

// Monotonic is the moment as a time from which the steady clock has measured as long as has really passed; zero for the zero mark.
func (c Clock) Monotonic(m Instant) time.Time {
	if m.IsZero() {
		return time.Time{}
	}
	return m.at.Add(m.suspended - c.gap())
}

func (c Clock) gap() time.Duration {
	if c == nil {
		return 0
	}
	return c()
}
