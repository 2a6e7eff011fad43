package dispatch

import (
	"maps"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// DesiredState is what an incarnation of a worker should run. The zero value is for a worker
// without a known incarnation.
type DesiredState struct {
	Incarnation incarnation.ID
	Runs        map[job.TaskName]DesiredRun
	// UnreadableJobs are jobs that can't be decoded. Their runs must be left alone.
	UnreadableJobs map[job.ID]bool
	// AckedEnd is the number of the latest end of the worker that was applied.
	AckedEnd int64
}

// DesiredRun is a run that should be on a worker, or that should stop there. Role is nil if the run
// shares the worker's processors on the default terms.
type DesiredRun struct {
	Start    assignment.Start
	Stopping bool
	Role     *assignment.Role
}

// desiredStates caches what each worker should run from one decision to the next, so that the cost
// of an update grows with the changes rather than with the number of workers and jobs.
type desiredStates struct {
	// byWorker holds the runs of each job on each worker.
	byWorker map[string]map[job.ID]jobRuns
	// jobs and workers are those that may have changed since the last call of TakeDesired; all is
	// set if any worker may have changed.
	jobs    map[*trackedJob]bool
	workers map[string]bool
	all     bool
	// needPermits holds jobs whose runs require permits, which are issued and expire without an
	// event of the job.
	needPermits map[*trackedJob]bool
}

// jobRuns are the runs of a job on a worker.
type jobRuns map[job.TaskName]placedRun

// placedRun is a run with the incarnation of the worker on which it is placed.
type placedRun struct {
	DesiredRun
	incarnation incarnation.ID
}

func newDesiredStates() *desiredStates {
	return &desiredStates{
		byWorker:    map[string]map[job.ID]jobRuns{},
		jobs:        map[*trackedJob]bool{},
		workers:     map[string]bool{},
		needPermits: map[*trackedJob]bool{},
	}
}

// markJob marks a job whose runs were placed, have ended, or should stop.
func (d *desiredStates) markJob(t *trackedJob) { d.jobs[t] = true }

// markWorker marks a worker that has a new incarnation, or of which ends were applied.
func (d *desiredStates) markWorker(name string) { d.workers[name] = true }

// update replaces the cached runs of a job.
func (d *desiredStates) update(t *trackedJob, run func(job.TaskName, *job.Task) DesiredRun) {
	for _, name := range t.desiredOn {
		delete(d.byWorker[name], t.job.ID)
		d.markWorker(name)
	}
	t.desiredOn = t.desiredOn[:0]
	t.progress.EachPlaced(t.job.ID, func(name job.TaskName, task *job.Task) {
		if d.byWorker[task.Worker] == nil {
			d.byWorker[task.Worker] = map[job.ID]jobRuns{}
		}
		runs := d.byWorker[task.Worker][t.job.ID]
		if runs == nil {
			runs = jobRuns{}
			d.byWorker[task.Worker][t.job.ID] = runs
			t.desiredOn = append(t.desiredOn, task.Worker)
			d.markWorker(task.Worker)
		}
		runs[name] = placedRun{DesiredRun: run(name, task), incarnation: task.Incarnation}
	})
	delete(d.needPermits, t)
	if t.job.NeedsPermit && len(t.desiredOn) > 0 {
		d.needPermits[t] = true
	}
}

// TakeDesired returns the desired state of each worker for which it may have changed since the last
// call.
func (c *Controller) TakeDesired(now time.Time) map[string]DesiredState {
	d := c.desired
	for t := range d.needPermits {
		d.markJob(t)
	}
	for t := range d.jobs {
		d.update(t, func(name job.TaskName, task *job.Task) DesiredRun {
			return c.desiredRun(t, name, task, now)
		})
	}
	if d.all {
		for name := range c.workers {
			d.markWorker(name)
		}
	}
	changed := make(map[string]DesiredState, len(d.workers))
	held := maps.Clone(c.unreadable)
	for name := range d.workers {
		changed[name] = c.desiredState(name, held)
	}
	clear(d.jobs)
	clear(d.workers)
	d.all = false
	return changed
}

// desiredRun converts a placed run to the form that is sent to its worker.
func (c *Controller) desiredRun(t *trackedJob, name job.TaskName, task *job.Task, now time.Time) DesiredRun {
	start := assignment.Start{
		RunID:      assignment.RunID{Task: name, Run: task.Run},
		Spec:       t.job.Spec,
		Checkpoint: task.Checkpoint,
		Suspect:    task.SuspectedCrashes() > 0,
	}
	if t.job.NeedsPermit {
		start.Permit, _ = c.permits.permit(stepKey(name), task.Incarnation, now)
	}
	phase := t.progress.Phase
	return DesiredRun{
		Start:    start,
		Stopping: t.stopping(name, task.Run) || phase == job.Cancelled || phase == job.Failed,
		Role:     roleOf(start.RunID, t.step(name)),
	}
}

// desiredState assembles the desired state of a worker from the cached runs.
func (c *Controller) desiredState(name string, held map[job.ID]bool) DesiredState {
	w := c.workers[name]
	if w == nil || w.state == nil {
		return DesiredState{}
	}
	desired := DesiredState{
		Incarnation:    w.state.ID,
		Runs:           map[job.TaskName]DesiredRun{},
		UnreadableJobs: held,
		AckedEnd:       w.ackedEnd,
	}
	for _, runs := range c.desired.byWorker[name] {
		for task, r := range runs {
			if r.incarnation == desired.Incarnation {
				desired.Runs[task] = r.DesiredRun
			}
		}
	}
	return desired
}

// roleOf returns how a run of the step shares its worker's processors, or nil for the default.
func roleOf(id assignment.RunID, s *job.Step) *assignment.Role {
	if !s.BestEffort && s.LatencyTarget == 0 {
		return nil
	}
	return &assignment.Role{
		RunID:               id,
		LatencyTargetMillis: s.LatencyTarget.Milliseconds(),
		BestEffort:          s.BestEffort,
	}
}
