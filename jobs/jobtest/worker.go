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
	// slowClock is how much slower than real time a worker's clock runs, as a share.
	slowClock = 0.02
)

// Worker is one worker. It implements runner.Worker.
type Worker struct {
	all   *Workers
	name  string
	state assignment.WorkerState
	// leavesAt is when a draining worker goes.
	leavesAt time.Time
	// startedAt is when the incarnation started; incarnations counts the IDs that the worker has
	// had.
	startedAt    time.Time
	incarnations int
	up           bool
	// overcommits lets it start whatever it is told to. formerCapacities are those that it had
	// before.
	overcommits      bool
	formerCapacities []formerCapacity
	// refusing lets calls fail at once while the worker is not up; otherwise they get no answer.
	refusing bool
	// unreachable drops what the agent sends.
	unreachable bool
	// lateShare is the share of orders that get no answer and are carried out later; late is set
	// while one is.
	lateShare float64
	late      bool
	// startDelay, if set, is how late starts are carried out, without an answer; delayedStarts counts
	// those.
	startDelay    time.Duration
	delayedStarts int
	// stray is set while an order is carried out that was sent to an earlier incarnation, before a
	// higher fence.
	stray bool
	// delaysUntil is until when orders may arrive late because their sender, or the link to here,
	// stands still.
	delaysUntil time.Time
	fence       int64
	// leaseEnd is the end of the lease by the worker's clock, in milliseconds; leaseOverAt, when it
	// was last found over.
	leaseEnd    int64
	leaseOverAt time.Time
	runs        map[job.TaskName]*run
	// highestRun is the highest run of each task that was started or stopped here.
	highestRun map[job.TaskName]int
	// ends are those that were not acknowledged yet; lastEnd is the number of the newest, endedAt
	// the time of each.
	ends    []assignment.End
	lastEnd int64
	endedAt map[int64]time.Time
}

var _ runner.Worker = (*Worker)(nil)

// startIncarnation begins the next incarnation of the worker, without runs, lease or fence. The lock must be held.
func (w *Worker) startIncarnation() {
	w.state.ID = w.nextID()
	w.state.Draining, w.state.DrainMillis = false, 0
	w.startedAt = time.Now()
	w.up, w.refusing = true, false
	w.fence, w.leaseEnd, w.leaseOverAt = 0, 0, time.Time{}
	w.runs, w.highestRun = map[job.TaskName]*run{}, map[job.TaskName]int{}
	w.ends, w.lastEnd, w.endedAt = nil, 0, map[int64]time.Time{}
	w.all.Logger.Info().Str("step", "jobtest.start").Str("worker", w.name).Stringer("incarnation", w.state.ID).
		Msg("incarnation starts")
}

// nextID returns the ID of the next incarnation. The lock must be held.
func (w *Worker) nextID() incarnation.ID {
	id := w.state.ID
	if id.IsZero() || w.all.NoStartTimes || w.all.SameIDShare == 0 || w.all.random.Float64() >= w.all.SameIDShare {
		w.incarnations++
		id.Instance = fmt.Sprintf("%s-life-%d", w.name, w.incarnations)
	}
	if !w.all.NoStartTimes {
		id.StartMillis = time.Now().UnixMilli()
	}
	return id
}

// Crash ends all runs, and the machine stops answering. The worker restarts after the time.
func (w *Worker) Crash(away time.Duration) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.crash(away)
}

// SetUnreachable drops what the agent sends while lost is true. Runs go on.
func (w *Worker) SetUnreachable(lost bool) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.unreachable = lost
}

// SetLate makes a share of the orders get no answer and be carried out late.
func (w *Worker) SetLate(share float64) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.lateShare = share
}

// DelayStarts lets starts get no answer and be carried out after a time; zero ends it. It returns
// how many there were.
func (w *Worker) DelayStarts(delay time.Duration) int {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.startDelay = delay
	return w.delayedStarts
}

// Leave announces that the worker goes after a time. It restarts a second after that.
func (w *Worker) Leave(after time.Duration) {
	w.all.mu.Lock()
	w.state.Draining, w.leavesAt = true, time.Now().Add(after)
	w.all.mu.Unlock()
	time.AfterFunc(after, func() { w.Crash(time.Second) })
}

// Heal ends the faults of the worker's link.
func (w *Worker) Heal() {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.unreachable, w.lateShare = false, 0
}

// Beat returns what a heartbeat of the worker says, and false while it sends none.
func (w *Worker) Beat() (assignment.WorkerState, bool) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
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

// advance ends what is due at the time. The lock must be held.
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
		case !w.all.stepOf(r.id.Task).LongRunning && r.worked(now) >= r.work:
			w.finish(r, now)
		}
	}
}

// startGang starts the work of a gang once all its members are here.
func (w *Worker) startGang(r *run, now time.Time) {
	members := w.all.members(r.id)
	if len(members) == w.all.stepOf(r.id.Task).Tasks {
		for _, m := range members {
			m.run.startedAt = now
		}
		return
	}
	if now.Sub(r.arrivedAt) > gangTimeout {
		w.end(r, job.EndGangIncomplete, now)
	}
}
