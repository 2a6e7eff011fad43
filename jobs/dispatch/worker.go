package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// worker is a worker as its agent's polls describe it.
type worker struct {
	name string
	// state is nil while no incarnation of the worker is known.
	state *assignment.WorkerState
	// described says that the newest poll is of this incarnation and its lease was not over since:
	// otherwise the agent can send it no starts.
	described bool
	// heardAt is when the newest poll arrived.
	heardAt time.Time
	// leavesAt is the earliest time at which a draining worker goes.
	leavesAt time.Time
	// runs are those that the worker has listed, listed says that the newest poll has the list, and
	// ackedEnd is the number of the newest end that was applied.
	runs     map[assignment.RunID]observedRun
	listed   bool
	ackedEnd int64
	// agent names the process whose polls are heard; former is the one before.
	agent  string
	former formerAgent
	// openStarts are the starts that a later incarnation may still carry out, with the time until
	// which what they begin can go on unlisted. noStartsUntil is until when the agent sends no
	// starts.
	openStarts    map[assignment.RunID]time.Time
	noStartsUntil time.Time
	// unresponsive says that the worker doesn't answer its agent; failingSince is since when,
	// and zero while it does.
	unresponsive bool
	failingSince time.Time
	// crashedAt is when an incarnation of the worker last crashed, as far as this leader knows.
	crashedAt time.Time
	health    health.Health
	speed     estimate.Speed
}

// ensureWorker returns a worker, which is new if it was not known.
func (c *Controller) ensureWorker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{name: name, runs: map[assignment.RunID]observedRun{}}
		c.workers[name] = w
	}
	return w
}

// hasStarted reports whether the worker's present incarnation has listed the placed run of a task.
func (w *worker) hasStarted(name job.TaskName, placed *job.Task) bool {
	if w == nil || w.state == nil || w.state.ID != placed.Incarnation {
		return false
	}
	return w.runs[assignment.RunID{Task: name, Run: placed.Run}].started()
}

// observedRun is what is known of a run that a worker has listed.
type observedRun struct {
	// percent is how much of the task is done; -1 until the worker has said so.
	percent int
	// startedAt is when the run began, as far as is known; advancedAt is when the percentage
	// last rose.
	startedAt  time.Time
	advancedAt time.Time
	// basePercent was reported first, at baseAt: a run may continue from a checkpoint.
	basePercent int
	baseAt      time.Time
	// sampled says that the run counts in its worker's speed already.
	sampled bool
}

// newObservedRun is a run that is reported for the first time.
func newObservedRun(now time.Time, r assignment.Run) observedRun {
	o := observedRun{
		percent:     -1,
		startedAt:   now,
		advancedAt:  now,
		basePercent: max(r.Percent, 0),
		baseAt:      now,
	}
	if r.AgeMillis > 0 {
		o.startedAt = now.Add(-r.Age())
	}
	return o
}

// started reports whether the worker has said that the run is there.
func (o observedRun) started() bool { return !o.startedAt.IsZero() && o.percent >= 0 }

// remaining extrapolates how long the run still works from its progress so far; false if there
// is none.
func (o observedRun) remaining(now time.Time) (time.Duration, bool) {
	done := o.percent - o.basePercent
	if done <= 0 {
		return 0, false
	}
	remaining := o.advancedAt.Sub(o.baseAt) * time.Duration(100-o.percent) / time.Duration(done)
	return max(remaining-now.Sub(o.advancedAt), 0), true
}
