package main

import (
	"context"
	"sync/atomic"
	"time"
)

// The machine stands still while this process, which has next to nothing to do, does not run.
const (
	standstillPause = 100 * time.Millisecond
	// standstillAfter is how late the process must be for that; a busy machine is late by less.
	standstillAfter = 5 * time.Second
)

// standstill measures for how long the machine stood still. Nothing that the programs promise within
// a time can come true meanwhile.
type standstill struct{ total atomic.Int64 }

// watch measures until ctx ends.
func (s *standstill) watch(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(standstillPause)
		s.add(time.Since(began) - standstillPause)
	}
}

// add adds a time by which the process was late, if the machine stood still.
func (s *standstill) add(late time.Duration) {
	if late >= standstillAfter {
		s.total.Add(int64(late))
	}
}

// running is how much of the time since a moment the machine ran; stood is length then.
func (s *standstill) running(since time.Time, stood time.Duration) time.Duration {
	return time.Since(since) - (s.length() - stood)
}

// length is how long the machine stood still in all.
func (s *standstill) length() time.Duration { return time.Duration(s.total.Load()) }
