package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// A start that was not answered may be carried out seconds later, by a later incarnation of its
// worker under the same instance. While it is open, its task must not start elsewhere: both runs
// would execute at once, or finished work would be repeated. So a task whose run ended other than
// successfully is held until its starts are closed, or until the later incarnation lists the run,
// which is then placed there (adoptRun).

// openStartLimit bounds how long a start is assumed to be open if no agent reports on it.
const openStartLimit = assignment.MaxOpenStartTime

// previousAgent is the agent of a worker that the present one replaced. What it knew of open starts
// is lost.
type previousAgent struct {
	// replacedAt is when the present agent was first heard from, or when it started if this leader
	// never heard from the previous one.
	replacedAt time.Time
	// starts holds the starts that may be open, with the incarnations to which they were sent.
	starts map[assignment.RunID]incarnation.ID
}

// applyOpenStarts applies a poll's report of the open starts on a worker.
func (c *Controller) applyOpenStarts(now time.Time, w *worker, poll assignment.Poll) {
	switch {
	case w.agent != "" && w.agent != poll.Agent:
		c.replaceAgent(now, w)
	case w.agent == "" && poll.AgentMillis > 0:
		// If there was a previous agent, only an earlier leader heard from it.
		c.replaceAgent(now.Add(-poll.AgentAge()), w)
	}
	w.agent = poll.Agent
	before := w.openStarts
	w.openStarts = map[assignment.RunID]time.Time{}
	for _, o := range poll.OpenStarts {
		w.openStarts[o.RunID] = now.Add(o.Open())
	}
	w.carryFormerStarts(now, poll)
	if until := now.Add(time.Duration(poll.NoStartsMillis) * time.Millisecond); until.After(w.noStartsUntil) {
		w.noStartsUntil = until
	}
	for id := range before {
		if _, open := w.openStarts[id]; !open {
			c.release(now, w, id.Task)
		}
	}
	c.releaseInherited(now, w, poll)
}

// inheritHolds records the starts for which an earlier leader held tasks of a job.
func (c *Controller) inheritHolds(t *trackedJob) {
	t.progress.EachTask(t.job.ID, func(name job.TaskName, task *job.Task) {
		for _, on := range task.HeldOn {
			c.inherited[on] = append(c.inherited[on], name)
		}
	})
}

// releaseInherited releases the tasks that an earlier leader held for starts on a worker. It does
// so once no order of a previous agent can arrive and a poll contains the worker's list, which has
// the runs that these starts began. Tasks with a start that the agent reports as open stay held.
func (c *Controller) releaseInherited(now time.Time, w *worker, poll assignment.Poll) {
	if len(c.inherited[w.name]) == 0 || !w.ordersClosed(now) || !isListed(poll) {
		return
	}
	for _, name := range c.inherited[w.name] {
		c.release(now, w, name)
	}
	delete(c.inherited, w.name)
}

// ordersClosed reports whether no order of a previous agent can arrive any longer.
func (w *worker) ordersClosed(now time.Time) bool {
	return now.Sub(w.previous.replacedAt) > assignment.MaxOrderDelay
}

// isListed reports whether a poll contains the list of a worker that responds, and this list shows
// every run that was started and every end.
func isListed(poll assignment.Poll) bool {
	return poll.Complete && !poll.Partial && !poll.Unresponsive && poll.FailingMillis == 0
}

// replaceAgent records that a worker has had a new agent since the given time. The previous agent
// may have sent starts for everything placed there.
func (c *Controller) replaceAgent(at time.Time, w *worker) {
	w.previous = previousAgent{replacedAt: at, starts: map[assignment.RunID]incarnation.ID{}}
	var sentTo incarnation.ID
	if w.state != nil {
		sentTo = w.state.ID
	}
	for id := range w.openStarts {
		w.previous.starts[id] = sentTo
	}
	for _, t := range c.active {
		t.progress.EachPlaced(t.job.ID, func(name job.TaskName, placed *job.Task) {
			if placed.Worker == w.name && placed.Incarnation.StartMillis != 0 {
				if id := (assignment.RunID{Task: name, Run: placed.Run}); !t.isUnsent(id) {
					w.previous.starts[id] = placed.Incarnation
				}
			}
		})
	}
}

// carryFormerStarts adds the starts that a previous agent may have sent. They are closed once no
// order of that agent can arrive and the worker has been listed, or has another instance.
func (w *worker) carryFormerStarts(now time.Time, poll assignment.Poll) {
	if isListed(poll) && w.ordersClosed(now) || now.Sub(w.previous.replacedAt) > openStartLimit {
		w.previous.starts = nil
	}
	for id, sentTo := range w.previous.starts {
		if poll.State != nil && !sentTo.IsZero() && !sentTo.SharesInstance(poll.State.ID) {
			delete(w.previous.starts, id)
			continue
		}
		if _, known := w.openStarts[id]; !known {
			w.openStarts[id] = w.previous.replacedAt.Add(openStartLimit)
		}
	}
}

// assumeOpenStart assumes that the start of a run is open if its worker's lease expired before the
// run was reported as started.
func (c *Controller) assumeOpenStart(t *trackedJob, name job.TaskName, placed *job.Task) {
	w, id := c.workers[placed.Worker], assignment.RunID{Task: name, Run: placed.Run}
	if w == nil || placed.Incarnation.StartMillis == 0 || w.hasStarted(name, placed) || t.isUnsent(id) {
		return
	}
	if w.openStarts == nil {
		w.openStarts = map[assignment.RunID]time.Time{}
	}
	w.openStarts[id] = time.Now().Add(openStartLimit)
}

// holdTask keeps a task whose run has ended from starting elsewhere while a start of that run is
// open.
func (c *Controller) holdTask(t *trackedJob, id assignment.RunID, on *worker) {
	if on == nil {
		return
	}
	until, open := on.openStarts[id]
	if !open || t.progress.Phase.Final() || !t.progress.Hold(time.Now(), id.Task, until, on.name) {
		return
	}
	c.touch(t)
	c.metrics.held.Inc(1)
	c.logger.Info().Str("step", "dispatch.hold").Stringer("task", id.Task).Int("run", id.Run).
		Str("worker", on.name).Time("until", until).Msg("task is held until its open start is closed")
}

// release lets a task start again once its start on a worker is closed, unless another start of it
// is open.
func (c *Controller) release(now time.Time, w *worker, name job.TaskName) {
	t := c.jobs[name.Job]
	if t == nil || !t.progress.Held(name, now) || w.hasOpenStart(now, name) {
		return
	}
	c.touch(t)
	if !t.progress.RemoveHoldWorker(name, w.name) {
		return
	}
	for _, other := range c.workers {
		if other.hasOpenStart(now, name) {
			return
		}
	}
	t.progress.Release(name)
}

// hasOpenStart reports whether a start of a task is open on the worker.
func (w *worker) hasOpenStart(now time.Time, name job.TaskName) bool {
	for id, until := range w.openStarts {
		if id.Task == name && until.After(now) {
			return true
		}
	}
	return false
}

// awaitsOpenStarts reports whether a task of a unit must not start yet because an earlier start of
// it is open.
func (p *plan) awaitsOpenStarts(w waitingUnit) bool {
	for _, name := range w.unit.Tasks {
		if w.tracked.progress.Held(name, p.now) || p.unplaced[name] {
			return true
		}
	}
	return false
}
