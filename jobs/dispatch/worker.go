package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// worker is a worker as described by its agent's polls.
type worker struct {
	name string
	// state is nil while no incarnation of the worker is known.
	state *assignment.WorkerState
	// described reports whether the latest poll is of this incarnation and its lease has not
	// expired since. Otherwise the agent can send it no starts.
	described bool
	// heardAt is when the latest poll arrived.
	heardAt time.Time
	// leavesAt is the earliest time at which a draining worker leaves.
	leavesAt time.Time
	// runs are those listed by the worker, listed reports whether the latest poll contains the
	// list, and ackedEnd is the number of the latest end that was applied.
	runs     map[assignment.RunID]observedRun
	listed   bool
	ackedEnd int64
	// agent names the agent process that polls for the worker; previous describes the one before.
	agent    string
	previous previousAgent
	// openStarts are the starts that a later incarnation may still carry out, each with the time
	// until which a run that it begins may remain unlisted. The agent sends no starts before
	// noStartsUntil.
	openStarts    map[assignment.RunID]time.Time
	noStartsUntil time.Time
	// unresponsive reports whether the worker doesn't respond to its agent; failingSince is since
	// when it has not responded, and zero while it responds.
	unresponsive bool
	failingSince time.Time
	// crashedAt is when an incarnation of the worker last crashed, as far as this leader knows.
	crashedAt time.Time
	health    health.Health
	slowdown  health.Slowdown
	speed     estimate.Speed
}

// ensureWorker returns a worker, and adds it if it is not known.
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

// observedRun is the observed state of a run that a worker has listed.
type observedRun struct {
	// percent is the reported progress of the task; -1 before the first report.
	percent int
	// startedAt is when the run began, as far as is known; advancedAt is when the percentage last
	// increased.
	startedAt  time.Time
	advancedAt time.Time
	// basePercent is the first reported percentage, and baseAt when it was reported. It may exceed
	// 0, since a run may resume from a checkpoint.
	basePercent int
	baseAt      time.Time
	// sampled reports whether the run has already been sampled for its worker's speed.
	sampled bool
	// pace compares the run's progress with its earlier progress; nil if that can't tell anything
	// about its worker.
	pace *health.Pace
}

// newObservedRun returns the state of a run that is reported for the first time.
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

// started reports whether the worker has reported the run as present.
func (o observedRun) started() bool { return !o.startedAt.IsZero() && o.percent >= 0 }

// remaining extrapolates the remaining duration of the run from its progress so far; false if there
// is none.
func (o observedRun) remaining(now time.Time) (time.Duration, bool) {
	done := o.percent - o.basePercent
	if done <= 0 {
		return 0, false
	}
	remaining := o.advancedAt.Sub(o.baseAt) * time.Duration(100-o.percent) / time.Duration(done)
	return max(remaining-now.Sub(o.advancedAt), 0), true
}
