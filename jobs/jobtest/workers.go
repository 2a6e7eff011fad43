package jobtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// Pace and bounds of the stand-in workers.
const (
	tick        = 20 * time.Millisecond
	stopTime    = 300 * time.Millisecond
	gangTimeout = 3 * time.Second
	// maxLease is the longest lease that a worker grants, by its own clock.
	maxLease = 6 * time.Second
	// slowClock is how much slower than real time a worker's clock is.
	slowClock = 0.02
	// saveEvery is the work between two checkpoints.
	saveEvery = 500 * time.Millisecond
)

// Workers are all workers, and what their rules need to know of each other. They check what they are told.
type Workers struct {
	mu      sync.Mutex
	random  *rand.Rand
	started time.Time
	jobs    map[job.ID]*job.Job
	workers map[string]*Worker
	// done holds the tasks that ended done, acked those whose end the scheduler has taken note of.
	done  map[job.TaskName]bool
	acked map[job.TaskName]bool
	// failures counts the failed runs of a task that were taken note of; a gang's count once a run.
	failures map[job.TaskName]map[int]bool
	// FailureShare is how many runs fail by their own fault.
	FailureShare float64
	// SameID is how many workers start again under the id that they had; the others get a new one. Unborn says that no worker says when it
	// started; then each start has a new id.
	SameID float64
	Unborn bool
	// Work is how long each task works; zero is a time drawn from its name.
	Work time.Duration
	// Broken lists the rules that were broken.
	Broken []string
	// Strays counts starts that would break a rule, but were carried out late by a start of the worker that nobody had reached yet: the order had been sent to
	// a former start under the same id, and until a higher fence arrives nothing tells the worker that it is void.
	Strays int
	// Starts counts what was started; begun holds the jobs of which anything ever was.
	Starts int
	begun  map[job.ID]bool
	// cordoned is when operators were told that a zone is cordoned, for those that are.
	cordoned map[string]time.Time
	// startsIn counts what was started in each zone.
	startsIn map[string]int
	// crashers are the tasks that crash the workers that start them; crashes is what is known of crashes under tasks.
	crashers map[job.TaskName]crasher
	crashes  map[job.TaskName]*crashes
}

// NewWorkers returns no workers yet.
func NewWorkers(seed uint64) *Workers {
	return &Workers{
		random: rand.New(rand.NewPCG(seed, 1)), started: time.Now(), jobs: map[job.ID]*job.Job{}, workers: map[string]*Worker{},
		done: map[job.TaskName]bool{}, acked: map[job.TaskName]bool{}, failures: map[job.TaskName]map[int]bool{},
		begun: map[job.ID]bool{}, cordoned: map[string]time.Time{}, startsIn: map[string]int{},
		crashers: map[job.TaskName]crasher{}, crashes: map[job.TaskName]*crashes{},
	}
}

// SetWork sets how long each task works that starts from now on.
func (ws *Workers) SetWork(work time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.Work = work
}

// Expect says that a job was handed in.
func (ws *Workers) Expect(j *job.Job) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.jobs[j.ID] = j
}

// Worker is one worker. It implements runner.Worker.
type Worker struct {
	all  *Workers
	name string
	life assignment.WorkerState
	// leaves is when it goes, if it leaves.
	leaves time.Time
	born   time.Time
	up     bool
	// unguarded says that it starts whatever it is told to; formerRooms are rooms that it had before.
	unguarded   bool
	formerRooms []formerRoom
	// refusing says that calls fail at once while the worker is not up.
	refusing bool
	// unreachable loses what the agent sends, and the worker runs on.
	unreachable bool
	// lateShare of the orders get no answer and are carried out later; late says that this happens now.
	lateShare float64
	late      bool
	// stray says that the order in hand was sent to a former start, and that the worker has heard no higher fence.
	stray bool
	// heldUp is until when orders may arrive that were sent long before: their sender or the way here stood still.
	heldUp  time.Time
	fence   int64
	until   int64
	runs    map[job.TaskName]*run
	highest map[job.TaskName]int
	ends    []assignment.End
	endedAt map[int64]time.Time
	// lapsed is when the lease was last seen to be over.
	lapsed  time.Time
	numbers int64
	lives   int
}

var _ runner.Worker = (*Worker)(nil)

// run is a run on a worker.
type run struct {
	id       assignment.RunID
	need     job.Resources
	begun    time.Time
	arrived  time.Time
	work     time.Duration
	resumed  time.Duration
	stopping time.Time
	fails    bool
	// pace is its speed in percent; lost is the work that it has not done for that, up to the time lostUntil.
	pace      int
	lost      time.Duration
	lostUntil time.Time
	// harmed is since when a run with a target has been over it by what fills beside it.
	harmed time.Time
}

// worked is how long the run has worked, with what it resumed from.
func (r *run) worked(now time.Time) time.Duration {
	if r.begun.IsZero() {
		return r.resumed
	}
	return now.Sub(r.begun) + r.resumed - r.lost
}

// advance counts the work that is lost by the pace.
func (r *run) advance(now time.Time) {
	if !r.begun.IsZero() {
		r.lost += now.Sub(r.lostUntil) * time.Duration(100-r.pace) / 100
	}
	r.lostUntil = now
}

// Add adds a worker of an availability zone, and its first life.
func (ws *Workers) Add(name, service, zone, rack string, room job.Resources, labels ...string) *Worker {
	w := &Worker{all: ws, name: name}
	w.life = assignment.WorkerState{Service: service, Zone: zone, Rack: rack, Labels: append(labels, rack), Capacity: room}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.workers[name] = w
	w.reborn()
	return w
}

// reborn begins a new life. The lock must be held.
func (w *Worker) reborn() {
	w.life.ID = w.nextID()
	w.life.Draining, w.life.DrainMillis = false, 0
	w.born, w.up, w.refusing, w.fence, w.until, w.ends, w.numbers = time.Now(), true, false, 0, 0, nil, 0
	w.endedAt, w.lapsed = map[int64]time.Time{}, time.Time{}
	w.runs, w.highest = map[job.TaskName]*run{}, map[job.TaskName]int{}
}

// nextID is the id of the next life. The lock must be held.
func (w *Worker) nextID() incarnation.ID {
	id := w.life.ID
	if id.IsZero() || w.all.Unborn || w.all.SameID == 0 || w.all.random.Float64() >= w.all.SameID {
		w.lives++
		id.Instance = fmt.Sprintf("%s-life-%d", w.name, w.lives)
	}
	if !w.all.Unborn {
		id.StartMillis = time.Now().UnixMilli()
	}
	return id
}

// Crash kills all that runs there, and its machine answers nothing; the worker comes back in a new life after a while.
func (w *Worker) Crash(away time.Duration) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.crash(away)
}

// SetUnreachable loses what the agent sends, or carries it again.
func (w *Worker) SetUnreachable(lost bool) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.unreachable = lost
}

// SetLate makes a share of the orders come late, without an answer.
func (w *Worker) SetLate(share float64) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.lateShare = share
}

// Leave announces that the worker goes after a while, and then comes back in a new life.
func (w *Worker) Leave(after time.Duration) {
	w.all.mu.Lock()
	w.life.Draining, w.leaves = true, time.Now().Add(after)
	w.all.mu.Unlock()
	time.AfterFunc(after, func() { w.Crash(time.Second) })
}

// Heal ends the faults.
func (w *Worker) Heal() {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.unreachable, w.lateShare = false, 0
}

// Beat returns what the worker says of itself, and false while it is away.
func (w *Worker) Beat() (assignment.WorkerState, bool) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	said := w.life
	if said.Draining {
		said.DrainMillis = time.Until(w.leaves).Milliseconds()
	}
	return said, w.up && !w.unreachable
}

// Run lets all workers work until ctx ends.
func (ws *Workers) Run(ctx context.Context) {
	for sleep(ctx, tick) == nil {
		ws.mu.Lock()
		for _, w := range ws.workers {
			w.advance(time.Now())
		}
		ws.mu.Unlock()
	}
}

// clock is the worker's own clock, in milliseconds.
func (w *Worker) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(w.born).Milliseconds())*(1-slowClock))
}

// advance lets time pass. The lock must be held.
func (w *Worker) advance(now time.Time) {
	if !w.up {
		return
	}
	if w.clock(now) >= w.until {
		w.lapsed = now
	}
	for _, r := range w.runs {
		r.advance(now)
		w.checkHarm(r, now)
		switch {
		case w.clock(now) >= w.until:
			w.end(r, job.EndLeaseExpired, now)
		case !r.stopping.IsZero() && now.After(r.stopping):
			w.end(r, job.EndStopped, now)
		case r.begun.IsZero():
			w.gather(r, now)
		case !w.all.stepOf(r.id.Task).LongRunning && r.worked(now) >= r.work:
			w.finish(r, now)
		}
	}
}

// gather begins a gang once all of its run are there.
func (w *Worker) gather(r *run, now time.Time) {
	members := w.all.members(r.id)
	if len(members) == w.all.stepOf(r.id.Task).Tasks {
		for _, m := range members {
			m.run.begun = now
		}
		return
	}
	if now.Sub(r.arrived) > gangTimeout {
		w.end(r, job.EndGangIncomplete, now)
	}
}

// member is a run of a gang, with its worker.
type member struct {
	worker *Worker
	run    *run
}

func (ws *Workers) members(id assignment.RunID) []member {
	var found []member
	for _, w := range ws.workers {
		for _, r := range w.runs {
			if r.id.Task.Job == id.Task.Job && r.id.Task.Round == id.Task.Round && r.id.Task.Step == id.Task.Step && r.id.Run == id.Run {
				found = append(found, member{worker: w, run: r})
			}
		}
	}
	return found
}

func (ws *Workers) stepOf(name job.TaskName) job.Step { return ws.jobs[name.Job].Steps[name.Step] }

// finish ends a run that has done its work, and with it the whole of its gang.
func (w *Worker) finish(r *run, now time.Time) {
	if r.fails {
		w.end(r, job.EndFailed, now)
		return
	}
	if !w.all.stepOf(r.id.Task).Gang {
		w.all.done[r.id.Task] = true
		w.end(r, job.EndDone, now)
		return
	}
	members := w.all.members(r.id)
	for _, m := range members {
		w.all.done[m.run.id.Task] = true
	}
	for _, m := range members {
		m.worker.list(m.run, job.EndDone)
	}
}

// end ends a run; the other members of its gang break.
func (w *Worker) end(r *run, how job.EndReason, now time.Time) {
	gang := w.all.stepOf(r.id.Task).Gang
	w.list(r, how)
	if !gang || how == job.EndDone {
		return
	}
	for _, m := range w.all.members(r.id) {
		if !m.run.begun.IsZero() {
			m.worker.list(m.run, job.EndGangBroken)
		}
	}
}

// list puts an end into the worker's list.
func (w *Worker) list(r *run, how job.EndReason) {
	delete(w.runs, r.id.Task)
	w.highest[r.id.Task] = max(w.highest[r.id.Task], r.id.Run)
	w.numbers++
	w.endedAt[w.numbers] = time.Now()
	w.ends = append(w.ends, assignment.End{RunID: r.id, Number: w.numbers, Reason: how, Checkpoint: w.saved(r)})
}

// saved is the newest checkpoint of a run.
func (w *Worker) saved(r *run) string {
	if !w.all.stepOf(r.id.Task).Checkpoint || r.begun.IsZero() {
		return ""
	}
	return r.worked(time.Now()).Truncate(saveEvery).String()
}
