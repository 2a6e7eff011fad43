package dispatch

import (
	"slices"
	"time"
)

// How long stops take is learnt: until a run has ended that was told to stop. On one of the users' sites that takes up to 0.4 s, on another up to
// 0.9 s, and an urgent job that waits for room until it is nearly too late to stop work for it needs to know.
const (
	// defaultStop is taken for a stop's time until enough stops have been seen.
	defaultStop = 500 * time.Millisecond
	// stopsKept is how many of the newest stops count, stopsNeeded from how many on they do.
	stopsKept   = 64
	stopsNeeded = 8
	// stopQuantile is the share of them that take no longer than what is reckoned with.
	stopQuantile = 0.8
)

// stopDurations holds how long the newest stops took. The zero value knows none.
type stopDurations struct {
	newest []time.Duration
	next   int
}

// record takes note of a stop.
func (s *stopDurations) record(took time.Duration) {
	if len(s.newest) < stopsKept {
		s.newest = append(s.newest, took)
		return
	}
	s.newest[s.next] = took
	s.next = (s.next + 1) % stopsKept
}

// expected is how long a stop is reckoned to take.
func (s *stopDurations) expected() time.Duration {
	if len(s.newest) < stopsNeeded {
		return defaultStop
	}
	sorted := slices.Sorted(slices.Values(s.newest))
	return sorted[int(stopQuantile*float64(len(sorted)-1))]
}
