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

// wants keeps what each worker should run from one decision to the next, by worker and by job, so that telling it costs what has changed and
// not what there is: a job of two tasks is told to two workers, with as many allocations at 80 workers as at 160, where it was told to all.
type wants struct {
	// on holds, by worker, the jobs that have runs there, and those runs.
	on map[string]map[job.ID]runsOf
	// changedJobs and changedWorkers may be wanted differently than was told last. All says that each worker may.
	changedJobs    map[*tracked]bool
	changedWorkers map[string]bool
	all            bool
	// advised are the jobs with runs that need tickets, which come and expire by themselves.
	advised map[*tracked]bool
}

// runsOf are the runs of a job on a worker.
type runsOf map[job.TaskName]placedRun

// placedRun is a run with the life of the worker on which it is placed.
type placedRun struct {
	DesiredRun
	life incarnation.ID
}

func newWants() *wants {
	return &wants{on: map[string]map[job.ID]runsOf{}, changedJobs: map[*tracked]bool{}, changedWorkers: map[string]bool{}, advised: map[*tracked]bool{}}
}

// change notes that runs of a job were placed, have ended, or are to stop.
func (ws *wants) change(t *tracked) { ws.changedJobs[t] = true }

// changeWorker notes that a worker has another life, or that ends of it were taken note of.
func (ws *wants) changeWorker(name string) { ws.changedWorkers[name] = true }

// TakeDesired is what workers should run, for those for which that may have changed since the last call.
func (c *Controller) TakeDesired(now time.Time) map[string]DesiredState {
	ws := c.wants
	for t := range ws.advised {
		ws.change(t)
	}
	for t := range ws.changedJobs {
		c.placeWants(t, now)
	}
	if ws.all {
		for name := range c.workers {
			ws.changeWorker(name)
		}
	}
	changed := make(map[string]DesiredState, len(ws.changedWorkers))
	held := maps.Clone(c.unreadable)
	for name := range ws.changedWorkers {
		changed[name] = c.wantOf(name, held)
	}
	clear(ws.changedJobs)
	clear(ws.changedWorkers)
	ws.all = false
	return changed
}

// placeWants takes over where the runs of a job are and whether they are to stop.
func (c *Controller) placeWants(t *tracked, now time.Time) {
	ws := c.wants
	for _, name := range t.wantedOn {
		delete(ws.on[name], t.job.ID)
		ws.changeWorker(name)
	}
	t.wantedOn = t.wantedOn[:0]
	t.progress.Placed(t.job.ID, func(name job.TaskName, task *job.Task) {
		if ws.on[task.Worker] == nil {
			ws.on[task.Worker] = map[job.ID]runsOf{}
		}
		runs := ws.on[task.Worker][t.job.ID]
		if runs == nil {
			runs = runsOf{}
			ws.on[task.Worker][t.job.ID] = runs
			t.wantedOn = append(t.wantedOn, task.Worker)
			ws.changeWorker(task.Worker)
		}
		runs[name] = placedRun{DesiredRun: c.wantedRun(t, name, task, now), life: task.Incarnation}
	})
	delete(ws.advised, t)
	if t.job.NeedsPermit && len(t.wantedOn) > 0 {
		ws.advised[t] = true
	}
}

// wantedRun is how a placed run of a job is told to its worker.
func (c *Controller) wantedRun(t *tracked, name job.TaskName, task *job.Task, now time.Time) DesiredRun {
	start := assignment.Start{RunID: assignment.RunID{Task: name, Run: task.Run}, Spec: t.job.Spec, Checkpoint: task.Checkpoint}
	if t.job.NeedsPermit {
		start.Permit, _ = c.advice.ticket(stepOf(name), task.Incarnation, now)
	}
	return DesiredRun{
		Start:    start,
		Stopping: t.stopping[name] == task.Run || t.progress.Phase == job.Cancelled || t.progress.Phase == job.Failed,
		Role:     roleOf(start.RunID, t.job.Steps[name.Step]),
	}
}

// wantOf is what a worker should run, as the jobs were taken over last.
func (c *Controller) wantOf(name string, held map[job.ID]bool) DesiredState {
	w := c.workers[name]
	if w == nil || w.life == nil {
		return DesiredState{}
	}
	want := DesiredState{Incarnation: w.life.ID, Runs: map[job.TaskName]DesiredRun{}, Held: held, AckedEnd: w.ends}
	for _, runs := range c.wants.on[name] {
		for task, r := range runs {
			if r.life == want.Incarnation {
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
