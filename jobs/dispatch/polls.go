package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// ApplyPoll applies a poll of a worker's agent. Ends of runs are applied before ends of
// incarnations, so that runs which succeeded there count.
func (c *Controller) ApplyPoll(now time.Time, poll assignment.Poll) {
	w := c.ensureWorker(poll.Worker)
	w.heardAt, w.unresponsive, w.failingSince = now, poll.Unresponsive, time.Time{}
	c.applyOpenStarts(now, w, poll)
	if poll.FailingMillis > 0 {
		w.failingSince = now.Add(-time.Duration(poll.FailingMillis) * time.Millisecond)
	}
	w.listed = poll.State != nil && poll.Complete
	if w.listed {
		c.applyState(now, w, poll)
	}
	for _, end := range poll.EndedIncarnations {
		c.endIncarnation(now, w, end)
		if w.state != nil && w.state.ID == end.ID {
			// Nothing is placed there until the next incarnation reports.
			c.workerLeft(now, w)
			w.state = nil
			c.desired.markWorker(w.name)
		}
	}
	w.described = w.state != nil && poll.State != nil && w.state.ID == poll.State.ID
}

// applyState applies a poll that describes the worker completely.
func (c *Controller) applyState(now time.Time, w *worker, poll assignment.Poll) {
	if w.state == nil || w.state.ID != poll.State.ID {
		c.startIncarnation(now, w, poll)
	}
	if w.state.Service != poll.State.Service {
		// It is judged among the workers of its present service only.
		c.workerLeft(now, w)
		c.resetHealth(now, w)
	}
	c.resolveAnswering(w, poll)
	if poll.State.Draining && !w.state.Draining {
		w.leavesAt = now.Add(time.Duration(poll.State.DrainMillis) * time.Millisecond)
		c.logger.Info().Str("step", "dispatch.report").
			Str("worker", w.name).Int64("leaves_in_ms", poll.State.DrainMillis).Msg("worker is draining")
	}
	w.state = poll.State
	c.observeRollout(now, w)
	before := w.runs
	c.applyRuns(now, w, poll)
	for _, e := range poll.Ends {
		if e.Number > w.ackedEnd {
			c.recordDuration(e)
			c.sampleEndedSpeed(w, e, before[e.RunID])
			c.applyEnd(w, e)
			w.ackedEnd = e.Number
			c.desired.markWorker(w.name)
		}
	}
	for _, r := range poll.Refused {
		c.applyRefusal(now, w, r)
	}
}

// applyRuns updates the progress of the worker's runs.
func (c *Controller) applyRuns(now time.Time, w *worker, poll assignment.Poll) {
	runs := make(map[assignment.RunID]observedRun, len(poll.Runs))
	paces := health.PaceCounts{Listed: len(poll.Runs)}
	for _, r := range poll.Runs {
		o, known := w.runs[r.RunID]
		if !known {
			o = newObservedRun(now, r)
		}
		if r.Percent > o.percent {
			o.percent, o.advancedAt = r.Percent, now
		}
		c.sampleRunningSpeed(w, r, &o)
		c.sampleProof(now, w, r, o)
		if c.has(SlowWorkers) {
			c.samplePace(w, r, &o, &paces)
		}
		runs[r.RunID] = o
	}
	w.runs = runs
	c.observeSlowdown(now, w, paces)
}

// startIncarnation ends all runs of former incarnations of the worker whose end the agent has not
// reported, and resets the state of the worker.
func (c *Controller) startIncarnation(now time.Time, w *worker, poll assignment.Poll) {
	present := poll.State
	for _, end := range poll.EndedIncarnations {
		c.endIncarnation(now, w, end)
	}
	if w.state != nil {
		c.workerLeft(now, w)
		c.endIncarnation(now, w, assignment.IncarnationEnd{ID: w.state.ID, Draining: w.state.Draining})
	}
	c.resolveFormer(w, present.ID)
	for _, t := range c.active {
		t.progress.EachPlaced(t.job.ID, func(name job.TaskName, task *job.Task) {
			if task.Worker == w.name && task.Incarnation != present.ID {
				c.loseRun(t, name, task, incarnationEnded, job.RunLoss{Verdict: job.MaybeCrashed})
			}
		})
	}
	c.adoptRuns(now, w, poll)
	c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Stringer("life", present.ID).
		Msg("worker reported a new incarnation")
	w.state, w.leavesAt = present, time.Time{}
	w.runs, w.ackedEnd = map[assignment.RunID]observedRun{}, 0
	c.resetHealth(now, w)
	c.desired.markWorker(w.name)
}

// adoptRuns places runs that the worker lists although they were sent to a former incarnation. An
// order names no incarnation, so one that was in flight when the worker crashed may be carried out
// by the next incarnation under the same id. Its task must not start elsewhere meanwhile, and its
// end counts.
func (c *Controller) adoptRuns(now time.Time, w *worker, poll assignment.Poll) {
	for _, r := range poll.Runs {
		c.adoptRun(now, w, poll.State.ID, r.RunID)
	}
	for _, e := range poll.Ends {
		c.adoptRun(now, w, poll.State.ID, e.RunID)
	}
}

// adoptRun places a run on the worker's present incarnation if it is the latest of its task and was
// considered lost.
func (c *Controller) adoptRun(now time.Time, w *worker, present incarnation.ID, id assignment.RunID) {
	t := c.jobs[id.Task.Job]
	if t == nil || t.progress.Phase.Final() {
		return
	}
	task := t.progress.Task(id.Task)
	if task == nil || task.Done || task.Placed() || task.Run != id.Run {
		return
	}
	t.progress.Assign(now, id.Task, id.Run, w.name, present)
	c.touch(t)
	if t.inGang(id.Task) {
		// The runs of the other members ended with the former incarnation.
		t.stop(id.Task, id.Run)
	}
	c.metrics.adopted.Inc(1)
	c.logger.Warn().Str("step", "dispatch.report").Stringer("task", id.Task).Int("run", id.Run).
		Str("worker", w.name).Stringer("life", present).
		Msg("run was carried out by a later incarnation of its worker")
}

// WorkersInUse returns the workers that have placed runs.
func (c *Controller) WorkersInUse() map[string]bool {
	names := map[string]bool{}
	for _, t := range c.active {
		t.progress.EachPlaced(t.job.ID, func(_ job.TaskName, placed *job.Task) { names[placed.Worker] = true })
	}
	return names
}

// ExpireLeases ends all runs placed on workers whose lease has certainly expired.
func (c *Controller) ExpireLeases(workers map[string]bool) {
	if len(workers) == 0 {
		return
	}
	for name := range workers {
		// The runs that it listed before its lease expired are over, and nothing starts there until
		// it gets another lease.
		w := c.ensureWorker(name)
		w.listed, w.described = false, false
	}
	for _, t := range c.active {
		t.progress.EachPlaced(t.job.ID, func(task job.TaskName, placed *job.Task) {
			if workers[placed.Worker] {
				c.assumeOpenStart(t, task, placed)
				c.loseRun(t, task, placed, leaseExpired, c.unresolvedLoss(task, placed))
			}
		})
	}
}
