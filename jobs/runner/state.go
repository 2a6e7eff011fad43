package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// incarnationState is what the agent knows of one incarnation of its worker.
type incarnationState struct {
	runs     runTable
	ends     endLog
	refusals map[assignment.RunID]refusal
	// complete is set once the worker has listed what it runs under the newest fence.
	complete bool
	// listedAt is when the newest sync was sent whose list was taken over.
	listedAt time.Time
	contact  contact
	clock    workerClock
	// leaseSent is the latest end of a lease that the worker may have received.
	leaseSent time.Time
	// drainsAt is the earliest time at which a draining worker goes.
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

// refusal is a run that will never start here. It is reported until the leader has acknowledged
// a poll later than the one numbered since.
type refusal struct {
	assignment.Refusal
	since int64
}
