package main

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// statusRetention is how long after its end callers may ask for the state of a job. The settings
// that the processes get name no other time.
const statusRetention = 2 * time.Minute

// ending is the final state of a job, with when an entry first told it.
type ending struct {
	state string
	at    time.Time
}

// endings are the final states that entries have told.
type endings map[job.ID]ending

// note notes that an entry tells a final state.
func (e endings) note(id job.ID, state string, now time.Time) {
	if _, known := e[id]; !known {
		e[id] = ending{state: state, at: now}
	}
}

// endedLongAgo reports whether the workers' own record says that a job has ended, so long ago that
// callers may no longer ask for it. The soak may have asked for the first time after that: it stands
// still with its machine.
func (d *day) endedLongAgo(id job.ID, now time.Time) bool {
	workers := d.cluster.platform.Workers
	at, ok := workers.EndedAt(id)
	switch {
	case ok && workers.AllDone(id), ok && workers.MayFail(id):
	case !d.callers.cancelledAt[id].IsZero() && !workers.AnyRun(id):
		if cancelled := d.callers.cancelledAt[id]; cancelled.After(at) {
			at = cancelled
		}
	default:
		return false
	}
	return now.Sub(at) >= statusRetention
}

// mayBeForgotten reports whether entries may say that they don't know a job: its end was told so
// long ago. A day on which the machine stood still for minutes may last that long.
func (e endings) mayBeForgotten(id job.ID, now time.Time) bool {
	end, known := e[id]
	return known && now.Sub(end.at) >= statusRetention
}
