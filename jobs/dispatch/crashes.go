package dispatch

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// The failure of a rack, an availability zone or a power supply takes down several workers at once,
// and no task is to blame for it. If tasks happen to crash other workers within the same window,
// they are merely given up later.
const (
	commonCauseWindow = 500 * time.Millisecond
	// commonCauseWorkers is how many other workers must have crashed or fallen silent within the
	// window.
	commonCauseWorkers = 2
)

// verdictFunc determines what the end of an incarnation means for a run that was placed there;
// started says whether the worker was known to run it.
type verdictFunc func(t *trackedJob, id assignment.RunID, started bool) job.RunLoss

// endIncarnation ends all runs placed on an incarnation and, if it crashed, counts the crash for
// their tasks.
func (c *Controller) endIncarnation(now time.Time, w *worker, end assignment.IncarnationEnd) {
	hasOtherCause := c.recordCrash(now, w, end)
	verdict := func(t *trackedJob, id assignment.RunID, started bool) job.RunLoss {
		loss := lossOf(end, t.job, id, started)
		loss.SoleSuspect = loss.SoleSuspect && !hasOtherCause
		return loss
	}
	for _, t := range c.active {
		t.progress.EachPlaced(t.job.ID, func(name job.TaskName, placed *job.Task) {
			if placed.Worker == w.name && placed.Incarnation == end.ID {
				id := assignment.RunID{Task: name, Run: placed.Run}
				loss := verdict(t, id, w.hasStarted(name, placed))
				c.loseRun(t, name, placed, incarnationEnded, loss)
			}
		})
	}
	c.resolve(w, end.ID, verdict)
}

// recordCrash records when a worker crashed. It returns true if something other than its tasks may
// be to blame: the worker was draining, it had crashed shortly before, or other workers crashed
// with it.
func (c *Controller) recordCrash(now time.Time, w *worker, end assignment.IncarnationEnd) (hasOtherCause bool) {
	if end.Drained {
		return true
	}
	before := w.crashedAt
	w.crashedAt = now.Add(-end.LastContactAge())
	return end.Draining || w.crashedAt.Sub(before) < recentCrash || c.crashedWithOthers(w)
}

// crashedWithOthers reports whether other workers crashed or fell silent when this one crashed.
func (c *Controller) crashedWithOthers(w *worker) bool {
	others := 0
	for _, o := range c.workers {
		if o != w && (nearInTime(o.failingSince, w.crashedAt) || nearInTime(o.crashedAt, w.crashedAt)) {
			others++
		}
	}
	return others >= commonCauseWorkers
}

func nearInTime(a, b time.Time) bool { return !a.IsZero() && a.Sub(b).Abs() <= commonCauseWindow }

// lossOf determines what the end of an incarnation means for a run that was placed there. If the
// agent started after the worker and can't tell what ran there, the verdict depends on whether the
// worker had listed the run.
func lossOf(end assignment.IncarnationEnd, j *job.Job, id assignment.RunID, started bool) job.RunLoss {
	if end.Drained {
		return job.RunLoss{Verdict: job.NotCrashed}
	}
	i := slices.IndexFunc(end.Runs, func(r assignment.InterruptedRun) bool { return r.RunID == id })
	if i < 0 && end.Complete {
		return job.RunLoss{Verdict: job.NeverStarted}
	}
	if i >= 0 {
		started = end.Runs[i].Started
	}
	loss := job.RunLoss{Verdict: job.MaybeCrashed, SoleSuspect: soleUnit(end, j, id.Task)}
	if started && !end.Draining {
		loss.Verdict = job.Crashed
	}
	return loss
}

// soleUnit reports whether the task, or its gang, is known to have been alone on the worker at the
// end.
func soleUnit(end assignment.IncarnationEnd, j *job.Job, name job.TaskName) bool {
	return end.Complete && !slices.ContainsFunc(end.Runs, func(r assignment.InterruptedRun) bool {
		return !sameUnit(j, r.Task, name)
	})
}

// sameUnit reports whether two tasks are the same, or members of the same gang of the job.
func sameUnit(j *job.Job, a, b job.TaskName) bool {
	return a == b || firstOf(a) == firstOf(b) && j.Steps[b.Step].Gang
}

// unresolvedLoss returns the loss of a run whose worker was silent until its lease had expired.
func (c *Controller) unresolvedLoss(name job.TaskName, placed *job.Task) job.RunLoss {
	if c.workers[placed.Worker].hasStarted(name, placed) {
		return job.RunLoss{Verdict: job.Unresolved, At: time.Now()}
	}
	return job.RunLoss{Verdict: job.UnresolvedStartUnknown, At: time.Now()}
}

// resolve applies a verdict to the tasks whose runs were given up before it was known how their
// worker's incarnation ended.
func (c *Controller) resolve(w *worker, ended incarnation.ID, verdict verdictFunc) {
	if _, unresolved := c.unresolved[ended]; !unresolved {
		return
	}
	delete(c.unresolved, ended)
	for _, t := range c.jobs {
		affected := false
		t.progress.EachUnresolved(func(_ string, id incarnation.ID) { affected = affected || id == ended })
		if !affected {
			continue
		}
		before := t.progress.Phase
		crashed := t.progress.Resolve(t.job, ended, func(name job.TaskName, run int, started bool) job.RunLoss {
			return verdict(t, assignment.RunID{Task: name, Run: run}, started)
		})
		for name, v := range crashed {
			c.reportCrash(t, name, w.name, v)
		}
		c.touch(t)
		c.reportPhase(t, before)
	}
}

// resolveFormer resolves the former incarnations of a worker that reports a new one. At that point
// no agent knows any longer what ran there.
func (c *Controller) resolveFormer(w *worker, present incarnation.ID) {
	for former, worker := range c.unresolved {
		if worker == w.name && former != present {
			c.resolve(w, former, func(*trackedJob, assignment.RunID, bool) job.RunLoss {
				return job.RunLoss{Verdict: job.MaybeCrashed}
			})
		}
	}
}

// resolveAnswering resolves an incarnation that responds again, and so has not crashed.
func (c *Controller) resolveAnswering(w *worker, poll assignment.Poll) {
	if !poll.Unresponsive {
		c.resolve(w, poll.State.ID, func(*trackedJob, assignment.RunID, bool) job.RunLoss {
			return job.RunLoss{Verdict: job.NotCrashed}
		})
	}
}

// reportCrash counts and logs a crash of a worker that ran a task.
func (c *Controller) reportCrash(t *trackedJob, name job.TaskName, worker string, verdict job.CrashVerdict) {
	t.crashedAt[name] = time.Now()
	c.metrics.crashes.Inc(crashLabel(verdict))
	task := t.progress.Task(name)
	c.logger.Info().Str("step", "dispatch.crash").Stringer("task", name).Str("worker", worker).
		Int("crashes", task.Crashes).Int("doubtful", task.UncertainCrashes).Int("alone", task.SoleCrashes).
		Stringer("phase", t.progress.Phase).Msg("worker crashed under a task")
}
