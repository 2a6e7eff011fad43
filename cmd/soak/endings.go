package main

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// statusRetention is how long callers may ask for the state of a job after it has ended. The
// settings of the processes do not set another value.
const statusRetention = 2 * time.Minute

// finalState is the final state of a job, with the time at which an entry first reported it.
type finalState struct {
	state string
	at    time.Time
}

// finalStates are the final states that entries have reported, by job.
type finalStates map[job.ID]finalState

// record stores a final state, unless one is already recorded for the job.
func (e finalStates) record(id job.ID, state string, now time.Time) {
	if _, known := e[id]; !known {
		e[id] = finalState{state: state, at: now}
	}
}

// endedBeyondRetention reports whether, by the workers' own records, a job ended so long ago that
// entries may have forgotten it. This covers the case that the soak, stalled together with its
// machine, asks for the first time only after the retention.
func (sc *scenario) endedBeyondRetention(id job.ID, now time.Time) bool {
	workers := sc.cluster.platform.Workers
	at, ok := workers.EndedAt(id)
	switch {
	case ok && workers.AllDone(id), ok && workers.MayFail(id):
	case !sc.callers.cancelledAt[id].IsZero() && !workers.AnyRun(id):
		if cancelled := sc.callers.cancelledAt[id]; cancelled.After(at) {
			at = cancelled
		}
	default:
		return false
	}
	return now.Sub(at) >= statusRetention
}

// retentionOver reports whether entries may answer that they do not know a job, because its final
// state was first reported at least statusRetention ago. A scenario lasts that long if the machine
// stalls for minutes.
func (e finalStates) retentionOver(id job.ID, now time.Time) bool {
	end, known := e[id]
	return known && now.Sub(end.at) >= statusRetention
}
