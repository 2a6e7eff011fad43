package estimate

import (
	"slices"
	"time"
)

const (
	// defaultStop is the expected duration until enough stops have been recorded.
	defaultStop = 500 * time.Millisecond
	// stopsKept is how many recent stops are kept; stopsNeeded is how many are required for an
	// estimate.
	stopsKept   = 64
	stopsNeeded = 8
	// stopQuantile is the share of stops that take no longer than expected.
	stopQuantile = 0.8
)

// StopDurations holds the durations of recent stops, from the decision until the run has ended.
// They determine how long an urgent job can wait for free capacity before work must be stopped for
// it. The zero value is empty.
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

// Expected returns the duration that most stops do not exceed.
func (s *StopDurations) Expected() time.Duration {
	if len(s.newest) < stopsNeeded {
		return defaultStop
	}
	sorted := slices.Sorted(slices.Values(s.newest))
	return sorted[int(stopQuantile*float64(len(sorted)-1))]
}
