package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// incarnationState is the agent's view of one incarnation of its worker.
type incarnationState struct {
	runs     runTable
	ends     endLog
	refusals map[assignment.RunID]refusal
	// complete is set once the worker has listed its runs under the newest fence.
	complete bool
	// endsListed is set once the worker has listed all its ends under the newest fence.
	endsListed bool
	// listedAt is the send time of the latest sync whose list has been applied, and allListedAt that
	// of the latest one whose list showed everything.
	listedAt, allListedAt time.Time
	contact               contact
	clock                 workerClock
	// leaseSent is the latest lease end that the worker may have received.
	leaseSent time.Time
	// drainsAt is the earliest time at which a draining worker may shut down.
	drainsAt time.Time
	// zoneOpenAt is when the newest proof was taken that the worker's zone is not cordoned.
	zoneOpenAt suspend.Instant
	capacity   capacityReports
	throttle   throttle
}

func newIncarnationState() incarnationState {
	return incarnationState{
		runs:     newRunTable(),
		ends:     endLog{unstored: map[int64]assignment.End{}},
		refusals: map[assignment.RunID]refusal{},
		throttle: newThrottle(),
	}
}

// partial reports whether the newest list does not show everything that the worker holds.
func (s *incarnationState) partial() bool { return s.allListedAt.Before(s.listedAt) }

// recordListing records the list of a sync that was sent at a given time. It reports whether it is
// the first list under the newest fence.
func (s *incarnationState) recordListing(l Listing, sent time.Time) (first bool) {
	first = !s.complete
	s.complete = true
	s.endsListed = s.endsListed || !l.EndsOmitted
	s.listedAt = latest(s.listedAt, sent)
	if l.showsAll() {
		s.allListedAt = latest(s.allListedAt, sent)
	}
	return first
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// refusal is a run that never starts on this worker. It is reported until the leader has
// acknowledged a poll with a number above since.
type refusal struct {
	assignment.Refusal
	since int64
}
