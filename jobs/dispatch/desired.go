package dispatch

import (
	"maps"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// DesiredState is what an incarnation of a worker should run. The zero value is that of a
// worker without a known incarnation.
type DesiredState struct {
	Incarnation incarnation.ID
	Runs        map[job.TaskName]DesiredRun
	// Held are jobs that can't be decoded: their runs are left alone.
	Held map[job.ID]bool
	// AckedEnd is the number of the newest of the worker's ends that was applied.
	AckedEnd int64
}

// DesiredRun is a run that should be on a worker, or stop there. Its role is nil if it shares the
// worker's processors as usual.
type DesiredRun struct {
	Start    assignment.Start
	Stopping bool
	Role     *assignment.Role
}

// desiredStates keeps what each worker should run from one decision to the next, so that the
// cost of telling it grows with what has changed and not with the number of workers and jobs.
type desiredStates struct {
	// byWorker holds, for each worker, the runs of each job there.
	byWorker map[string]map[job.ID]jobRuns
	// jobs and workers may have changed since the last call of TakeDesired; all says that any
	// worker may.
	jobs    map[*trackedJob]bool
	workers map[string]bool
	all     bool
	// needPermits are jobs whose runs need permits, which come and expire without an event of
	// the job.
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

// markJob notes that runs of a job were placed, have ended, or are to stop.
func (d *desiredStates) markJob(t *trackedJob) { d.jobs[t] = true }

// markWorker notes that a worker has another incarnation, or that ends of it were applied.
func (d *desiredStates) markWorker(name string) { d.workers[name] = true }

// update replaces the runs of a job.
func (d *desiredStates) update(t *trackedJob, run func(job.TaskName, *job.Task) DesiredRun) {
	for _, name := range t.desiredOn {
		delete(d.byWorker[name], t.job.ID)
		d.markWorker(name)
	}
	t.desiredOn = t.desiredOn[:0]
	t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
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

// TakeDesired is what workers should run, for those for which that may have changed since the
// last call.
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

// desiredRun is the form in which a placed run is sent to its worker.
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

// desiredState is what a worker should run, as far as jobs were updated.
func (c *Controller) desiredState(name string, held map[job.ID]bool) DesiredState {
	w := c.workers[name]
	if w == nil || w.state == nil {
		return DesiredState{}
	}
	desired := DesiredState{
		Incarnation: w.state.ID,
		Runs:        map[job.TaskName]DesiredRun{},
		Held:        held,
		AckedEnd:    w.ackedEnd,
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

// roleOf is how a run of the step shares its worker's processors, or nil if as usual.
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
