package estimate

import (
	"slices"
	"time"
)

const (
	// defaultStop is expected until enough stops have been recorded.
	defaultStop = 500 * time.Millisecond
	// stopsKept is how many of the newest stops count; stopsNeeded is how many there must be.
	stopsKept   = 64
	stopsNeeded = 8
	// stopQuantile is the share of stops that take no longer than expected.
	stopQuantile = 0.8
)

// StopDurations holds how long the newest stops took, from the decision until the run had ended. An
// urgent job that waits for room needs it to know until when work can still be stopped for it. The
// zero value knows none.
type StopDurations struct {
	newest []time.Duration
	next   int
}

// Record adds a stop.
func (s *StopDurations) Record(took time.Duration) {
	if len(s.newest) < stopsKept {
		s.newest = append(s.newest, took)
		return
	}
	s.newest[s.next] = took
	s.next = (s.next + 1) % stopsKept
}

// Expected is how long most stops take.
func (s *StopDurations) Expected() time.Duration {
	if len(s.newest) < stopsNeeded {
		return defaultStop
	}
	sorted := slices.Sorted(slices.Values(s.newest))
	return sorted[int(stopQuantile*float64(len(sorted)-1))]
}
