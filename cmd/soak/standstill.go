package main

import (
	"context"
	"sync"
	"time"
)

// The machine, or this process alone, stands still while this process, which has next to nothing to
// do, does not run.
const (
	standstillPause = 100 * time.Millisecond
	// standstillAfter is how late the process must be for the machine to have stood still; a busy
	// machine is late by less.
	standstillAfter = 5 * time.Second
	// gapAfter is how late the process must be for a gap to be told from calls that the system holds.
	gapAfter = time.Second
)

// standstill measures for how long the machine stood still, and when this process did. Nothing that
// the programs promise within a time can come true while the machine stands still, and what this
// process sees while it does not run is seen late.
type standstill struct {
	mu sync.Mutex
	// total is how long the machine stood still.
	total time.Duration
	// gaps are the times in which this process did not run.
	gaps []gap
	// seen is until when the gaps are known.
	seen time.Time
}

// gap is a time in which this process did not run.
type gap struct{ from, to time.Time }

// within returns how much of the gap is between two times.
func (g gap) within(from, to time.Time) time.Duration {
	if g.from.After(from) {
		from = g.from
	}
	if g.to.Before(to) {
		to = g.to
	}
	return max(to.Sub(from), 0)
}

// watch measures until ctx ends.
func (s *standstill) watch(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(standstillPause)
		s.add(began.Add(standstillPause), time.Now())
	}
}

// add adds a time in which this process should have run, and did at its end only.
func (s *standstill) add(due, woken time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = woken
	late := woken.Sub(due)
	if late >= gapAfter {
		s.gaps = append(s.gaps, gap{from: due, to: woken})
	}
	if late >= standstillAfter {
		s.total += late
	}
}

// running is how much of the time since a moment the machine ran; stood is length then.
func (s *standstill) running(since time.Time, stood time.Duration) time.Duration {
	return time.Since(since) - (s.length() - stood)
}

// length is how long the machine stood still in all.
func (s *standstill) length() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// between returns for how long this process stood still between two times that are over. It waits
// until that is known: the goroutine that measures may be woken last.
func (s *standstill) between(from, to time.Time) time.Duration {
	for !s.knows(to) {
		time.Sleep(standstillPause / 10)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var stood time.Duration
	for _, g := range s.gaps {
		stood += g.within(from, to)
	}
	return stood
}

// knows reports whether all gaps before a time are known.
func (s *standstill) knows(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.seen.Before(at)
}
