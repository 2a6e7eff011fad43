package dispatch

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

func (c *Controller) ensureWorker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{name: name, runs: map[assignment.RunID]observedRun{}}
		c.workers[name] = w
	}
	return w
}

// ApplyPoll takes over what the agent of a worker says. Ends come before lives that are over: what has ended done there is done.
func (c *Controller) ApplyPoll(now time.Time, poll assignment.Poll) {
	w := c.ensureWorker(poll.Worker)
	w.heardAt, w.unresponsive, w.failingSince = now, poll.Unresponsive, time.Time{}
	w.closing = w.state != nil && slices.Contains(poll.ClosingIncarnations, w.state.ID)
	if poll.FailingMillis > 0 {
		w.failingSince = now.Add(-time.Duration(poll.FailingMillis) * time.Millisecond)
	}
	if poll.State != nil && poll.Complete {
		w.closing = false
		c.applyState(now, w, poll)
	}
	for _, end := range poll.EndedIncarnations {
		c.endIncarnation(now, w, end)
		if w.state != nil && w.state.ID == end.ID {
			// Nothing is placed there until the next life reports.
			w.state = nil
			c.desired.markWorker(w.name)
		}
	}
}

// applyState takes over what a worker that is there says by its agent.
func (c *Controller) applyState(now time.Time, w *worker, poll assignment.Poll) {
	if w.state == nil || w.state.ID != poll.State.ID {
		c.startIncarnation(now, w, poll)
	}
	c.resolveAnswering(w, poll)
	if poll.State.Draining && !w.state.Draining {
		w.leavesAt = now.Add(time.Duration(poll.State.DrainMillis) * time.Millisecond)
		c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Int64("leaves_in_ms", poll.State.DrainMillis).Msg("worker leaves")
	}
	w.state = poll.State
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
		if c.applyRefusal(w, r) {
			c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Stringer("task", r.Task).Int("run", r.Run).
				Str("reason", r.Reason).Msg("start refused")
			if c.has(Quarantine) {
				w.health.startRefused(now)
			}
		}
	}
}

// startIncarnation ends what the worker's earlier lives ran, as far as the agent has not said how they ended.
func (c *Controller) startIncarnation(now time.Time, w *worker, poll assignment.Poll) {
	present := poll.State
	for _, end := range poll.EndedIncarnations {
		c.endIncarnation(now, w, end)
	}
	if w.state != nil {
		c.endIncarnation(now, w, assignment.IncarnationEnd{ID: w.state.ID, Draining: w.state.Draining})
	}
	c.resolveFormer(w, present.ID)
	for _, t := range c.active {
		t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
			if task.Worker == w.name && task.Incarnation != present.ID {
				c.loseRun(t, name, task, whyLifeOver, job.RunLoss{Verdict: job.MaybeCrashed})
			}
		})
	}
	c.adoptRuns(now, w, poll)
	c.logger.Info().Str("step", "dispatch.report").Str("worker", w.name).Stringer("life", present.ID).Msg("worker reports")
	w.state, w.ackedEnd, w.runs, w.health, w.speed, w.leavesAt = present, 0, map[assignment.RunID]observedRun{}, health{}, speed{}, time.Time{}
	c.desired.markWorker(w.name)
}

// adoptRuns places runs anew that the worker lists though they were sent to a former start of it. An order names no start, so one that was under way
// when the worker crashed may be carried out by the next start under the same id. If such a run were taken for lost, its task would start elsewhere
// while it runs, and its end there would count for nothing.
func (c *Controller) adoptRuns(now time.Time, w *worker, poll assignment.Poll) {
	for _, r := range poll.Runs {
		c.adoptRun(now, w, poll.State.ID, r.RunID)
	}
	for _, e := range poll.Ends {
		c.adoptRun(now, w, poll.State.ID, e.RunID)
	}
}

// adoptRun places a run on the present life of a worker, if it is the newest of its task and was taken for lost.
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
	if t.job.Steps[id.Task.Step].Gang {
		// The others of its gang are gone with their run.
		t.stopping[id.Task] = id.Run
	}
	c.metrics.adopted.Inc(1)
	c.logger.Warn().Str("step", "dispatch.report").Stringer("task", id.Task).Int("run", id.Run).Str("worker", w.name).Stringer("life", present).
		Msg("run was carried out by a later start of its worker")
}

func (c *Controller) applyRuns(now time.Time, w *worker, poll assignment.Poll) {
	runs := make(map[assignment.RunID]observedRun, len(poll.Runs))
	for _, r := range poll.Runs {
		o, known := w.runs[r.RunID]
		if !known {
			o = newObservedRun(now, r)
		}
		if r.Percent > o.percent {
			o.percent, o.advancedAt = r.Percent, now
		}
		c.sampleRunningSpeed(w, r, &o)
		runs[r.RunID] = o
	}
	w.runs = runs
}

// applyEnd takes note of the end of a run on the worker's present life. It returns false if that run is not there.
func (c *Controller) applyEnd(w *worker, e assignment.End) bool {
	t := c.jobs[e.Task.Job]
	if t == nil {
		return false
	}
	if !c.endRun(t, w.state.ID, e) {
		c.applyLateEnd(t, w, e)
		return false
	}
	now := time.Now()
	if c.has(Quarantine) {
		w.health.runEnded(now, e.Task.Job, e.Reason, e.Took())
	}
	if e.Reason == job.EndFailed {
		t.failedAt[w.name] = now
	}
	return true
}

// applyLateEnd takes note of the end of a run that is not placed there any more. Once read, an end must count: a task that was done on a worker that had been given up
// was done once more elsewhere (2 of 60 drawn days of starts under one id).
func (c *Controller) applyLateEnd(t *trackedJob, w *worker, e assignment.End) {
	before := t.progress.Phase
	if !t.progress.RecordLateEnd(t.job, e.Task, e.Run, e.Reason) {
		return
	}
	c.touch(t)
	c.metrics.lateEnds.Inc(1)
	c.logger.Warn().Str("step", "dispatch.end").Stringer("task", e.Task).Int("run", e.Run).Str("how", string(e.Reason)).Str("worker", w.name).
		Msg("run that had been given up has ended")
	t.progress.Placed(t.job.ID, func(name job.TaskName, placed *job.Task) {
		if placed.Done && firstOf(name) == firstOf(e.Task) {
			t.stopping[name] = placed.Run
		}
	})
	c.reportPhase(t, before)
}

// endRun takes note of the end of a run on a life of a worker. It returns false if that run is not there.
func (c *Controller) endRun(t *trackedJob, at incarnation.ID, e assignment.End) bool {
	before := t.progress.Phase
	w := c.workers[placedOn(t, e.Task)]
	if !t.progress.RecordEnd(t.job, e.Task, e.Run, at, e.Reason, e.Checkpoint) {
		return false
	}
	if w != nil {
		delete(w.runs, e.RunID)
	}
	c.reportEnd(t, e)
	c.reportPhase(t, before)
	return true
}

// placedOn names the worker on which a task is placed; it is empty if it is not.
func placedOn(t *trackedJob, name job.TaskName) string {
	if task := t.progress.Task(name); task != nil {
		return task.Worker
	}
	return ""
}

// reportEnd counts and logs the end of a run that has been taken note of.
func (c *Controller) reportEnd(t *trackedJob, e assignment.End) {
	c.touch(t)
	c.metrics.ends.Inc(e.Reason)
	cause, lost := t.recordWorkLost(e)
	if lost > 0 {
		c.metrics.lostWork.Add(cause, int(lost))
	}
	c.logger.Info().Str("step", "dispatch.end").Stringer("task", e.Task).Int("run", e.Run).Str("how", string(e.Reason)).
		Int64("took_ms", e.TookMillis).Str("cause", string(cause)).Float64("lost_core_s", lost).Msg("run ended")
	if told, ok := t.stoppedAt[e.Task]; ok && e.Reason == job.EndStopped {
		c.stops.record(time.Since(told))
	}
	delete(t.stoppedAt, e.Task)
	delete(t.stopping, e.Task)
}

// reportPhase logs that a job has ended, if its phase has become final.
func (c *Controller) reportPhase(t *trackedJob, before job.Phase) {
	if t.progress.Phase != before && t.progress.Phase.Final() {
		c.logger.Info().Str("step", "dispatch.end").Str("job", string(t.job.ID)).Stringer("phase", t.progress.Phase).
			Time("due", c.objective(t)).Msg("job ended")
		c.reportGivenUp(t)
	}
}

// objective is when the last round of a job is to be completed.
func (c *Controller) objective(t *trackedJob) time.Time {
	return t.job.Objective(t.job.Rounds()-1, t.job.Chain(func(step int) time.Duration { return c.expectedDuration(t, step) }))
}

// WorkersInUse are the workers on which something is placed.
func (c *Controller) WorkersInUse() map[string]bool {
	names := map[string]bool{}
	for _, t := range c.active {
		t.progress.Placed(t.job.ID, func(_ job.TaskName, placed *job.Task) { names[placed.Worker] = true })
	}
	return names
}

// ExpireLeases ends all that is placed on workers whose lease is surely over.
func (c *Controller) ExpireLeases(workers map[string]bool) {
	if len(workers) == 0 {
		return
	}
	for _, t := range c.active {
		t.progress.Placed(t.job.ID, func(task job.TaskName, placed *job.Task) {
			if workers[placed.Worker] {
				c.loseRun(t, task, placed, whyLeaseOver, c.unresolvedLoss(task, placed))
			}
		})
	}
}
