package jobtest

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// stopTime is how long a run takes to stop.
	stopTime = 300 * time.Millisecond
	// gangTimeout is how long the first member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	// checkpointWork is the work between two checkpoints.
	checkpointWork = 500 * time.Millisecond
)

// run is a run on a worker.
type run struct {
	id        assignment.RunID
	resources job.Resources
	// arrivedAt is when it was ordered; startedAt, when it began to work, which for a gang is
	// later.
	arrivedAt time.Time
	startedAt time.Time
	// work is what it has to do; resumedFrom, what of that its checkpoint holds.
	work        time.Duration
	resumedFrom time.Duration
	// stopsAt is when it ends because it was told to stop, zero if it was not.
	stopsAt time.Time
	fails   bool
	// speed is in percent; lost is the work not done because of it, up to the time lostUntil.
	speed     int
	lost      time.Duration
	lostUntil time.Time
	// harmed is since when it has missed its latency target because of best-effort tasks beside it.
	harmed time.Time
}

// member is a run of a gang, with its worker.
type member struct {
	worker *Worker
	run    *run
}

// worked returns the work that the run has done, its checkpoint included.
func (r *run) worked(now time.Time) time.Duration {
	if r.startedAt.IsZero() {
		return r.resumedFrom
	}
	return now.Sub(r.startedAt) + r.resumedFrom - r.lost
}

// advance adds up the work that is lost by a speed below 100 %.
func (r *run) advance(now time.Time) {
	if !r.startedAt.IsZero() {
		r.lost += now.Sub(r.lostUntil) * time.Duration(100-r.speed) / 100
	}
	r.lostUntil = now
}

// finish ends a run that has done its work, and the rest of its gang.
func (w *Worker) finish(r *run, now time.Time) {
	if r.fails {
		w.end(r, job.EndFailed, now)
		return
	}
	if !w.all.stepOf(r.id.Task).Gang {
		w.all.done[r.id.Task] = true
		w.end(r, job.EndDone, now)
		return
	}
	members := w.all.members(r.id)
	for _, m := range members {
		w.all.done[m.run.id.Task] = true
	}
	for _, m := range members {
		m.worker.addEnd(m.run, job.EndDone)
	}
}

// end ends a run; the other members of its gang break.
func (w *Worker) end(r *run, how job.EndReason, now time.Time) {
	gang := w.all.stepOf(r.id.Task).Gang
	w.addEnd(r, how)
	if !gang || how == job.EndDone {
		return
	}
	for _, m := range w.all.members(r.id) {
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
	w.all.lastEnd[r.id.Task.Job] = time.Now()
	w.ends = append(w.ends, assignment.End{RunID: r.id, Number: w.lastEnd, Reason: how, Checkpoint: w.saved(r)})
}

// saved returns the newest checkpoint of a run.
func (w *Worker) saved(r *run) string {
	if !w.all.stepOf(r.id.Task).Checkpoint || r.startedAt.IsZero() {
		return ""
	}
	return r.worked(time.Now()).Truncate(checkpointWork).String()
}
