package main

import (
	"context"
	"sync"
	"time"
)

// This process is almost idle, so a late wake-up shows that the process, or the whole machine, was
// stalled.
const (
	stallPollInterval = 100 * time.Millisecond
	// minMachineStall is the delay of a wake-up from which the whole machine counts as stalled. The
	// delays on a busy machine are shorter.
	minMachineStall = 5 * time.Second
	// minProcessStall is the delay of a wake-up that is recorded as a stall of this process, to
	// tell it from a call that the system delays.
	minProcessStall = time.Second
)

// stallMonitor measures how long the machine was stalled, and when this process was. The programs
// cannot keep their time limits while the machine is stalled, and this process observes events late
// while it is stalled itself.
type stallMonitor struct {
	mu sync.Mutex
	// total is how long the machine was stalled.
	total time.Duration
	// stalls are the periods in which this process did not run.
	stalls []stall
	// measuredUntil is the time up to which all stalls are recorded.
	measuredUntil time.Time
}

// stall is a period in which this process did not run.
type stall struct{ from, to time.Time }

// overlap returns how much of the stall lies between two times.
func (st stall) overlap(from, to time.Time) time.Duration {
	if st.from.After(from) {
		from = st.from
	}
	if st.to.Before(to) {
		to = st.to
	}
	return max(to.Sub(from), 0)
}

// measure records stalls until ctx ends.
func (s *stallMonitor) measure(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(stallPollInterval)
		s.recordWakeUp(began.Add(stallPollInterval), time.Now())
	}
}

// recordWakeUp records that this process was due to wake up at one time and woke up at another.
func (s *stallMonitor) recordWakeUp(due, woken time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measuredUntil = woken
	late := woken.Sub(due)
	if late >= minProcessStall {
		s.stalls = append(s.stalls, stall{from: due, to: woken})
	}
	if late >= minMachineStall {
		s.total += late
	}
}

// runningTime returns how long the machine has run since a time at which machineStall was
// stalledBefore.
func (s *stallMonitor) runningTime(since time.Time, stalledBefore time.Duration) time.Duration {
	return time.Since(since) - (s.machineStall() - stalledBefore)
}

// machineStall returns how long the machine has been stalled in total.
func (s *stallMonitor) machineStall() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// stalledBetween returns how long this process was stalled between two times in the past. It waits
// until the period is measured completely, since the measuring goroutine may wake up last.
func (s *stallMonitor) stalledBetween(from, to time.Time) time.Duration {
	for !s.hasMeasured(to) {
		time.Sleep(stallPollInterval / 10)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var stalled time.Duration
	for _, st := range s.stalls {
		stalled += st.overlap(from, to)
	}
	return stalled
}

// hasMeasured reports whether all stalls before a time are recorded.
func (s *stallMonitor) hasMeasured(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.measuredUntil.Before(at)
}
