package jobtest

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// stopTime is the time that a run takes to stop.
	stopTime = 300 * time.Millisecond
	// gangTimeout is the time that a member of a gang waits for the other members.
	gangTimeout = 3 * time.Second
	// checkpointWork is the amount of work between two checkpoints.
	checkpointWork = 500 * time.Millisecond
)

// run is a run on a worker.
type run struct {
	id        assignment.RunID
	resources job.Resources
	// arrivedAt is the time of the start order; startedAt is the time at which the work began,
	// which is later for the members of a gang.
	arrivedAt time.Time
	startedAt time.Time
	// work is the total work of the run; resumedFrom is the part that its checkpoint covers.
	work        time.Duration
	resumedFrom time.Duration
	// stopsAt is the time at which the run ends in response to a stop order, or zero.
	stopsAt time.Time
	fails   bool
	// speed is a percentage; lostWork is the work not done because of throttling, up to the time
	// advancedAt.
	speed      int
	lostWork   time.Duration
	advancedAt time.Time
	// overTargetSince is the time at which the run began to miss its latency target because of
	// best-effort tasks on the same worker, or zero.
	overTargetSince time.Time
}

// member is a run of a gang, with its worker.
type member struct {
	worker *Worker
	run    *run
}

// worked returns the work that the run has done, including the work covered by its checkpoint.
func (r *run) worked(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return r.resumedFrom
	}
	return now.Sub(r.startedAt) + r.resumedFrom - r.lostWork
}

// advance adds up the work that is lost to speeds below 100 %.
func (r *run) advance(now time.Time) {
	if !r.startedAt.IsZero() {
		r.lostWork += now.Sub(r.advancedAt) * time.Duration(100-r.speed) / 100
	}
	r.advancedAt = now
}

// finish ends a run whose work is done, together with the other members of its gang.
func (w *Worker) finish(r *run, now time.Time) {
	if r.fails {
		w.end(r, job.EndFailed, now)
		return
	}
	if !w.workers.stepOf(r.id.Task).Gang {
		w.workers.done[r.id.Task] = true
		w.end(r, job.EndDone, now)
		return
	}
	members := w.workers.members(r.id)
	for _, m := range members {
		w.workers.done[m.run.id.Task] = true
	}
	for _, m := range members {
		m.worker.addEnd(m.run, job.EndDone)
	}
}

// end ends a run. Unless the run succeeded, the other running members of its gang end as broken.
func (w *Worker) end(r *run, how job.EndReason, now time.Time) {
	gang := w.workers.stepOf(r.id.Task).Gang
	w.addEnd(r, how)
	if !gang || how == job.EndDone {
		return
	}
	for _, m := range w.workers.members(r.id) {
		if !m.run.startedAt.IsZero() {
			m.worker.addEnd(m.run, job.EndGangBroken)
		}
	}
}

// addEnd removes a run and adds its end to the list that the agent reads.
func (w *Worker) addEnd(r *run, how job.EndReason) {
	delete(w.runs, r.id.Task)
	w.highestRun[r.id.Task] = max(w.highestRun[r.id.Task], r.id.Run)
	w.lastEnd++
	w.endedAt[w.lastEnd] = time.Now()
	w.workers.lastEnd[r.id.Task.Job] = time.Now()
	w.ends = append(w.ends,
		assignment.End{RunID: r.id, Number: w.lastEnd, Reason: how, Checkpoint: w.lastCheckpoint(r)})
}

// lastCheckpoint returns the newest checkpoint of a run.
func (w *Worker) lastCheckpoint(r *run) string {
	if !w.workers.stepOf(r.id.Task).Checkpoint || r.startedAt.IsZero() {
		return ""
	}
	return r.worked(time.Now()).Truncate(checkpointWork).String()
}
