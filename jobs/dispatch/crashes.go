package dispatch

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// endIncarnation ends all that is placed on a life of a worker, and counts the crash, if it is one, for the tasks that were there.
func (c *Controller) endIncarnation(now time.Time, w *worker, end assignment.IncarnationEnd) {
	excused := c.recordCrash(now, w, end)
	judged := func(t *trackedJob, id assignment.RunID, begun bool) job.RunLoss {
		loss := lossOf(end, t.job, id, begun)
		loss.Sole = loss.Sole && !excused
		return loss
	}
	for _, t := range c.active {
		t.progress.Placed(t.job.ID, func(name job.TaskName, placed *job.Task) {
			if placed.Worker == w.name && placed.Incarnation == end.ID {
				id := assignment.RunID{Task: name, Run: placed.Run}
				c.loseRun(t, name, placed, whyLifeOver, judged(t, id, startedOn(w, placed, name)))
			}
		})
	}
	c.resolve(w, end.ID, judged)
}

// recordCrash takes note of when a worker crashed. It returns true if something else than what ran there may be to blame: that the worker was about to
// leave, that it had crashed a short while before, or what struck others with it.
func (c *Controller) recordCrash(now time.Time, w *worker, end assignment.IncarnationEnd) (excused bool) {
	if end.Drained {
		return true
	}
	before := w.crashedAt
	w.crashedAt = now.Add(-end.Since())
	return end.Draining || w.crashedAt.Sub(before) < recentCrash || c.crashedTogether(w)
}

// A rack, a zone or a power supply takes several workers away at once, and no task is to blame for that. That other tasks crash two more workers
// within the same half second is rare, and puts off giving up at the most until the fifth crash.
const (
	commonCauseWindow  = 500 * time.Millisecond
	commonCauseWorkers = 2
)

// crashedTogether reports whether other workers fell silent when this one crashed last.
func (c *Controller) crashedTogether(w *worker) bool {
	others := 0
	for _, o := range c.workers {
		if o != w && (near(o.failingSince, w.crashedAt) || near(o.crashedAt, w.crashedAt)) {
			others++
		}
	}
	return others >= commonCauseWorkers
}

func near(a, b time.Time) bool { return !a.IsZero() && a.Sub(b).Abs() <= commonCauseWindow }

// verdict is what the end of a life means for a run of which it was known that it had begun, or was not.
type verdict func(t *trackedJob, id assignment.RunID, begun bool) job.RunLoss

// resolve counts a life that was open for the tasks whose runs there were given up before it was known how it ended.
func (c *Controller) resolve(w *worker, over incarnation.ID, v verdict) {
	if _, open := c.unresolved[over]; !open {
		return
	}
	delete(c.unresolved, over)
	for _, t := range c.jobs {
		open := false
		t.progress.EachUnresolved(func(_ string, l incarnation.ID) { open = open || l == over })
		if !open {
			continue
		}
		before := t.progress.Phase
		under := t.progress.Resolve(t.job, over, func(name job.TaskName, run int, begun bool) job.RunLoss {
			return v(t, assignment.RunID{Task: name, Run: run}, begun)
		})
		for name, fate := range under {
			c.reportCrash(t, name, w.name, fate)
		}
		c.touch(t)
		c.reportPhase(t, before)
	}
}

// resolveFormer counts the open lives of a worker that are over since it reports another one. Nobody is left who knows what was there.
func (c *Controller) resolveFormer(w *worker, present incarnation.ID) {
	for former, worker := range c.unresolved {
		if worker == w.name && former != present {
			c.resolve(w, former, func(*trackedJob, assignment.RunID, bool) job.RunLoss { return job.RunLoss{Verdict: job.MaybeCrashed} })
		}
	}
}

// resolveAnswering takes note that a worker has not crashed, if it was open whether it had.
func (c *Controller) resolveAnswering(w *worker, poll assignment.Poll) {
	if !poll.Unresponsive {
		c.resolve(w, poll.State.ID, func(*trackedJob, assignment.RunID, bool) job.RunLoss { return job.RunLoss{Verdict: job.NotCrashed} })
	}
}

// lossOf is what the end of a life means for a run that was placed there. Where the agent can't say what was there, since it began after the
// life did, it decides whether the worker had listed the run before.
func lossOf(end assignment.IncarnationEnd, j *job.Job, id assignment.RunID, begun bool) job.RunLoss {
	if end.Drained {
		return job.RunLoss{Verdict: job.NotCrashed}
	}
	at := slices.IndexFunc(end.Runs, func(cut assignment.InterruptedRun) bool { return cut.RunID == id })
	if at < 0 && end.Complete {
		return job.RunLoss{Verdict: job.NeverStarted}
	}
	if at >= 0 {
		begun = end.Runs[at].Started
	}
	loss := job.RunLoss{Verdict: job.MaybeCrashed, Sole: soleUnit(end, j, id.Task)}
	if begun && !end.Draining {
		loss.Verdict = job.Crashed
	}
	return loss
}

// startedOn reports whether the worker has listed the run of a task in its present life.
func startedOn(w *worker, placed *job.Task, name job.TaskName) bool {
	return w != nil && w.state != nil && w.state.ID == placed.Incarnation && w.runs[assignment.RunID{Task: name, Run: placed.Run}].started()
}

// soleUnit reports whether it is known that nothing but the task, or its gang, was there when a life ended.
func soleUnit(end assignment.IncarnationEnd, j *job.Job, name job.TaskName) bool {
	return end.Complete && !slices.ContainsFunc(end.Runs, func(cut assignment.InterruptedRun) bool { return !sameUnit(j, cut.Task, name) })
}

// sameUnit reports whether two tasks are the same, or members of one gang of the job.
func sameUnit(j *job.Job, a, b job.TaskName) bool {
	return a == b || firstOf(a) == firstOf(b) && j.Steps[b.Step].Gang
}

// unresolvedLoss is that of a run whose worker has given no sign until its lease was over.
func (c *Controller) unresolvedLoss(name job.TaskName, placed *job.Task) job.RunLoss {
	if startedOn(c.workers[placed.Worker], placed, name) {
		return job.RunLoss{Verdict: job.Unresolved, At: time.Now()}
	}
	return job.RunLoss{Verdict: job.UnresolvedUnseen, At: time.Now()}
}

// applyRefusal takes note of a start that the agent says was not carried out. It returns false if that run is not there.
func (c *Controller) applyRefusal(w *worker, r assignment.Refusal) bool {
	if !r.Uncertain {
		return c.applyEnd(w, assignment.End{RunID: r.RunID, Reason: job.EndRefused})
	}
	t := c.jobs[r.Task.Job]
	if t == nil {
		return false
	}
	placed := t.progress.Task(r.Task)
	if placed == nil || placed.Run != r.Run || placed.Incarnation != w.state.ID {
		return false
	}
	loss := job.RunLoss{Verdict: job.UnresolvedUnseen, Unresponsive: true, At: time.Now()}
	if r.Started {
		loss.Verdict = job.Unresolved
	}
	return c.loseRun(t, r.Task, placed, whyLeaseOver, loss)
}

// loseRun takes note that a run has ended with its worker, or with its lease. It returns false if that run is not there.
func (c *Controller) loseRun(t *trackedJob, name job.TaskName, placed *job.Task, why string, loss job.RunLoss) bool {
	e := assignment.End{RunID: assignment.RunID{Task: name, Run: placed.Run}, Reason: job.EndLost}
	worker, at := placed.Worker, placed.Incarnation
	if w := c.workers[worker]; w != nil {
		if o, known := w.runs[e.RunID]; known {
			e.TookMillis = time.Since(o.startedAt).Milliseconds()
		}
	}
	before := t.progress.Phase
	if !t.progress.RecordLoss(t.job, name, placed.Run, at, loss) {
		return false
	}
	c.metrics.lost(why)
	c.logger.Info().Str("step", "dispatch.lose").Stringer("task", name).Int("run", e.Run).Str("worker", worker).Str("why", why).Msg("run is lost")
	switch loss.Verdict {
	case job.Crashed, job.MaybeCrashed:
		c.reportCrash(t, name, worker, loss.Verdict)
	case job.Unresolved, job.UnresolvedUnseen:
		c.unresolved[at] = worker
	}
	c.reportEnd(t, e)
	c.reportPhase(t, before)
	return true
}

// reportCrash says under which task a worker has crashed, and how many have by now.
func (c *Controller) reportCrash(t *trackedJob, name job.TaskName, worker string, fate job.CrashVerdict) {
	t.crashedAt[name] = time.Now()
	c.metrics.crashes.Inc(crashLabel(fate))
	task := t.progress.Task(name)
	c.logger.Info().Str("step", "dispatch.crash").Stringer("task", name).Str("worker", worker).Int("crashes", task.Crashes).
		Int("doubtful", task.UncertainCrashes).Int("alone", task.SoleCrashes).Stringer("phase", t.progress.Phase).Msg("worker crashed under a task")
}

// reportGivenUp says why a job that has just ended was given up, if it was.
func (c *Controller) reportGivenUp(t *trackedJob) {
	if t.progress.Phase != job.Failed {
		return
	}
	why := gaveUpFailed
	t.progress.Each(t.job.ID, func(name job.TaskName, task *job.Task) {
		if task.GivenUpForCrashes() {
			why = gaveUpCrashes
			c.logger.Info().Str("step", "dispatch.giveUp").Stringer("task", name).Int("crashes", task.Crashes).Int("doubtful", task.UncertainCrashes).
				Int("alone", task.SoleCrashes).Int("starts_since", task.ExtraStarts).Msg("task is given up: workers crash under it")
		}
	})
	c.metrics.givenUp.Inc(why)
}
