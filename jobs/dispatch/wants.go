package dispatch

import (
	"maps"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// DesiredState is what a life of a worker should run. The zero value is that of a worker of which no life is known.
type DesiredState struct {
	Incarnation incarnation.ID
	Runs        map[job.TaskName]DesiredRun
	// Held are jobs that can't be read: what runs of them is left alone.
	Held map[job.ID]bool
	// AckedEnd is the number up to which the worker's ends are taken note of.
	AckedEnd int64
}

// DesiredRun is a run that should be on a worker, or stop there. Its role is nil if it shares nothing in a way of its own.
type DesiredRun struct {
	Start    assignment.Start
	Stopping bool
	Role     *assignment.Role
}

// desiredStates keeps what each worker should run from one decision to the next, by worker and by job, so that telling it costs what has changed and
// not what there is: a job of two tasks is told to two workers, with as many allocations at 80 workers as at 160, where it was told to all.
type desiredStates struct {
	// byWorker holds, by worker, the jobs that have runs there, and those runs.
	byWorker map[string]map[job.ID]jobRuns
	// jobs and changedWorkers may be wanted differently than was told last. All says that each worker may.
	jobs    map[*trackedJob]bool
	workers map[string]bool
	all     bool
	// needPermits are the jobs with runs that need tickets, which come and expire by themselves.
	needPermits map[*trackedJob]bool
}

// jobRuns are the runs of a job on a worker.
type jobRuns map[job.TaskName]placedRun

// placedRun is a run with the life of the worker on which it is placed.
type placedRun struct {
	DesiredRun
	incarnation incarnation.ID
}

func newDesiredStates() *desiredStates {
	return &desiredStates{byWorker: map[string]map[job.ID]jobRuns{}, jobs: map[*trackedJob]bool{}, workers: map[string]bool{}, needPermits: map[*trackedJob]bool{}}
}

// markJob notes that runs of a job were placed, have ended, or are to stop.
func (ws *desiredStates) markJob(t *trackedJob) { ws.jobs[t] = true }

// markWorker notes that a worker has another life, or that ends of it were taken note of.
func (ws *desiredStates) markWorker(name string) { ws.workers[name] = true }

// TakeDesired is what workers should run, for those for which that may have changed since the last call.
func (c *Controller) TakeDesired(now time.Time) map[string]DesiredState {
	ws := c.desired
	for t := range ws.needPermits {
		ws.markJob(t)
	}
	for t := range ws.jobs {
		c.updateDesired(t, now)
	}
	if ws.all {
		for name := range c.workers {
			ws.markWorker(name)
		}
	}
	changed := make(map[string]DesiredState, len(ws.workers))
	held := maps.Clone(c.unreadable)
	for name := range ws.workers {
		changed[name] = c.desiredState(name, held)
	}
	clear(ws.jobs)
	clear(ws.workers)
	ws.all = false
	return changed
}

// updateDesired takes over where the runs of a job are and whether they are to stop.
func (c *Controller) updateDesired(t *trackedJob, now time.Time) {
	ws := c.desired
	for _, name := range t.desiredOn {
		delete(ws.byWorker[name], t.job.ID)
		ws.markWorker(name)
	}
	t.desiredOn = t.desiredOn[:0]
	t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
		if ws.byWorker[task.Worker] == nil {
			ws.byWorker[task.Worker] = map[job.ID]jobRuns{}
		}
		runs := ws.byWorker[task.Worker][t.job.ID]
		if runs == nil {
			runs = jobRuns{}
			ws.byWorker[task.Worker][t.job.ID] = runs
			t.desiredOn = append(t.desiredOn, task.Worker)
			ws.markWorker(task.Worker)
		}
		runs[name] = placedRun{DesiredRun: c.desiredRun(t, name, task, now), incarnation: task.Incarnation}
	})
	delete(ws.needPermits, t)
	if t.job.NeedsPermit && len(t.desiredOn) > 0 {
		ws.needPermits[t] = true
	}
}

// desiredRun is how a placed run of a job is told to its worker.
func (c *Controller) desiredRun(t *trackedJob, name job.TaskName, task *job.Task, now time.Time) DesiredRun {
	start := assignment.Start{RunID: assignment.RunID{Task: name, Run: task.Run}, Spec: t.job.Spec, Checkpoint: task.Checkpoint}
	if t.job.NeedsPermit {
		start.Permit, _ = c.permits.permit(stepKey(name), task.Incarnation, now)
	}
	return DesiredRun{
		Start:    start,
		Stopping: t.stopping[name] == task.Run || t.progress.Phase == job.Cancelled || t.progress.Phase == job.Failed,
		Role:     roleOf(start.RunID, t.job.Steps[name.Step]),
	}
}

// desiredState is what a worker should run, as the jobs were taken over last.
func (c *Controller) desiredState(name string, held map[job.ID]bool) DesiredState {
	w := c.workers[name]
	if w == nil || w.state == nil {
		return DesiredState{}
	}
	want := DesiredState{Incarnation: w.state.ID, Runs: map[job.TaskName]DesiredRun{}, Held: held, AckedEnd: w.ackedEnd}
	for _, runs := range c.desired.byWorker[name] {
		for task, r := range runs {
			if r.incarnation == want.Incarnation {
				want.Runs[task] = r.DesiredRun
			}
		}
	}
	return want
}

// roleOf is how a run of the step shares its worker's processors, or nil if in no way of its own.
func roleOf(id assignment.RunID, s job.Step) *assignment.Role {
	if !s.BestEffort && s.LatencyTarget == 0 {
		return nil
	}
	return &assignment.Role{RunID: id, LatencyTargetMillis: s.LatencyTarget.Milliseconds(), BestEffort: s.BestEffort}
}
