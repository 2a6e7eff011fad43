package jobstore

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// maxSyncGap is the longest time between two instants at which the replica was in sync for the time
// between them to count as in sync too.
const maxSyncGap = 1200 * time.Millisecond

// syncState tracks when a replica was in sync with the end of its topic.
type syncState struct {
	clock suspend.Clock
	// at is when the replica was last in sync, or zero if it never was.
	at suspend.Instant
	// since is the start of the period in which the replica has been in sync without a gap.
	since time.Time
}

// markSynced records that the replica was in sync at an instant.
func (s *syncState) markSynced(at suspend.Instant) {
	if s.clock.Monotonic(at).Sub(s.clock.Monotonic(s.at)) > maxSyncGap {
		s.since = time.Now()
	}
	s.at = at
}

// lastTime returns when the replica was last in sync, as a time whose age includes suspensions.
func (s *syncState) lastTime() time.Time { return s.clock.Monotonic(s.at) }

// duration returns how long the replica has been in sync without a gap, or zero if it isn't in
// sync.
func (s *syncState) duration() time.Duration {
	if s.at.IsZero() || s.clock.Since(s.at) > maxSyncGap {
		return 0
	}
	return time.Since(s.since)
}
