package jobtest

import (
	"fmt"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

const (
	// maxLease is the longest lease that a worker grants, by its own clock.
	maxLease = 6 * time.Second
	// slowClock is the fraction by which a worker's clock runs slower than real time.
	slowClock = 0.02
)

// Worker is one fake worker. It implements runner.Worker.
type Worker struct {
	workers *Workers
	name    string
	state   assignment.WorkerState
	// leavesAt is the time at which a draining worker goes down.
	leavesAt time.Time
	// startedAt is the start time of the incarnation; incarnations counts the IDs that the worker
	// has had.
	startedAt    time.Time
	incarnations int
	up           bool
	// overcommits makes the worker accept starts beyond its capacity. formerCapacities lists the
	// capacities that it had before.
	overcommits      bool
	formerCapacities []formerCapacity
	// refusing makes calls fail at once while the worker is down; otherwise they get no response.
	refusing bool
	// unreachable drops the agent's calls, and the worker's heartbeats with them.
	unreachable bool
	// failure, if set, is the error with which the agent's calls fail at once and without effect;
	// heartbeats continue.
	failure error
	// lostShare is the share of calls that are executed but get no answer, and answerDelay the
	// maximum delay of an answer, so that answers overtake one another.
	lostShare   float64
	answerDelay time.Duration
	// lateShare is the share of orders that get no response and are executed later; executingLate
	// is set while such an order is executed.
	lateShare     float64
	executingLate bool
	// startDelay, if not zero, delays the execution of starts, which then get no response;
	// delayedStarts counts them.
	startDelay    time.Duration
	delayedStarts int
	// staleOrder is set while the worker executes a late order that was sent to an earlier
	// incarnation and that the fence does not reject.
	staleOrder bool
	// delaysUntil is the end of the time in which late orders are excused because their sender, or
	// its link to the worker, is stalled.
	delaysUntil time.Time
	fence       int64
	// leaseEnd is the end of the lease by the worker's clock, in milliseconds; leaseOverAt is the
	// last time at which the lease was found expired.
	leaseEnd    int64
	leaseOverAt time.Time
	runs        map[job.TaskName]*run
	// highestRun is the highest run of each task that was started or stopped here.
	highestRun map[job.TaskName]int
	// ends lists the ends that are not acknowledged yet; lastEnd is the number of the newest end,
	// and endedAt holds the time of each.
	ends    []assignment.End
	lastEnd int64
	endedAt map[int64]time.Time
}

var _ runner.Worker = (*Worker)(nil)

// startIncarnation begins the next incarnation of the worker, without runs, lease or fence. The
// caller must hold the lock.
func (w *Worker) startIncarnation() {
	w.state.ID = w.nextID()
	w.state.Draining, w.state.DrainMillis = false, 0
	w.startedAt = time.Now()
	w.up, w.refusing = true, false
	w.fence, w.leaseEnd, w.leaseOverAt = 0, 0, time.Time{}
	w.runs, w.highestRun = map[job.TaskName]*run{}, map[job.TaskName]int{}
	w.ends, w.lastEnd, w.endedAt = nil, 0, map[int64]time.Time{}
	w.workers.Logger.Info().Str("step", "jobtest.start").Str("worker", w.name).Stringer("incarnation", w.state.ID).
		Msg("incarnation started")
}

// nextID returns the ID of the next incarnation. The caller must hold the lock.
func (w *Worker) nextID() incarnation.ID {
	id := w.state.ID
	if id.IsZero() || w.workers.NoStartTimes || w.workers.SameIDShare == 0 ||
		w.workers.random.Float64() >= w.workers.SameIDShare {
		w.incarnations++
		id.Instance = fmt.Sprintf("%s-life-%d", w.name, w.incarnations)
	}
	if !w.workers.NoStartTimes {
		id.StartMillis = time.Now().UnixMilli()
	}
	return id
}

// Crash ends all runs, and the machine stops responding. The worker restarts after the duration
// away.
func (w *Worker) Crash(away time.Duration) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.crash(away)
}

// Drain announces that the worker goes down after the given time. It restarts one second later.
func (w *Worker) Drain(after time.Duration) {
	w.workers.mu.Lock()
	w.state.Draining, w.leavesAt = true, time.Now().Add(after)
	w.workers.mu.Unlock()
	time.AfterFunc(after, func() { w.Crash(time.Second) })
}

// Heartbeat returns the state that a heartbeat of the worker reports, and false while the worker
// sends none.
func (w *Worker) Heartbeat() (assignment.WorkerState, bool) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	state := w.state
	if state.Draining {
		state.DrainMillis = time.Until(w.leavesAt).Milliseconds()
	}
	return state, w.up && !w.unreachable
}

// clock returns the time of the worker's own clock, in milliseconds.
func (w *Worker) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(w.startedAt).Milliseconds())*(1-slowClock))
}

// advance brings the worker's runs and lease up to the given time. The caller must hold the lock.
func (w *Worker) advance(now time.Time) {
	if !w.up {
		return
	}
	if w.clock(now) >= w.leaseEnd {
		w.leaseOverAt = now
	}
	for _, r := range w.runs {
		r.advance(now)
		w.checkHarm(r, now)
		switch {
		case w.clock(now) >= w.leaseEnd:
			w.end(r, job.EndLeaseExpired, now)
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.end(r, job.EndStopped, now)
		case r.startedAt.IsZero():
			w.startGang(r, now)
		case !w.workers.stepOf(r.id.Task).LongRunning && r.worked(now) >= r.work:
			w.finish(r, now)
		}
	}
}

// startGang starts the work of a gang once all its members have arrived.
func (w *Worker) startGang(r *run, now time.Time) {
	members := w.workers.members(r.id)
	if len(members) == w.workers.stepOf(r.id.Task).Tasks {
		for _, m := range members {
			m.run.startedAt = now
		}
		return
	}
	if now.Sub(r.arrivedAt) > gangTimeout {
		w.end(r, job.EndGangIncomplete, now)
	}
}
