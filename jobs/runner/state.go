package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// incarnationState is what the agent knows of one incarnation of its worker.
type incarnationState struct {
	runs     runTable
	ends     endLog
	refusals map[assignment.RunID]refusal
	// complete says that the worker has listed what it runs since it heard the newest fence.
	complete bool
	// listedAt is when the newest sync was sent whose list was taken over.
	listedAt time.Time
	contact  contact
	clock    workerClock
	// leaseSent is the latest end of a lease that the worker may have heard.
	leaseSent time.Time
	// drainsAt is the earliest time at which a draining worker goes.
	drainsAt time.Time
	// zoneOpenAt is when the newest proof was taken that the worker's zone is not cordoned.
	zoneOpenAt suspend.Instant
	capacity   capacityReports
	throttle   throttle
}

func newIncarnationState() incarnationState {
	return incarnationState{
		runs:     newRunTable(),
		ends:     endLog{unstored: map[int64]assignment.End{}},
		refusals: map[assignment.RunID]refusal{},
		throttle: newThrottle(),
	}
}

// refusal is a run that will never start here. It is reported until a poll later than the one
// numbered since has been heard.
type refusal struct {
	assignment.Refusal
	since int64
}

// percentUnknown is the progress of a run that the worker has not listed yet.
const percentUnknown = -1

// run is a run that the agent knows of.
type run struct {
	// running says that the worker has confirmed the run; before that a start or a stop is
	// under way.
	running bool
	percent int
	// latencyMillis is the worker's figure for the run; see assignment.Run.
	latencyMillis int
	// ordered says that a start was sent, or is being sent, and may have been carried out.
	ordered bool
	// uncertainAt is when a start ended without saying whether it was carried out; zero if none
	// did.
	uncertainAt time.Time
	stopping    bool
	// startedAt is when the worker confirmed the start; zero if it was ordered by another agent.
	startedAt time.Time
	// listedAt is when the worker listed the percentage.
	listedAt time.Time
}

// newRun returns a run of which the worker has said nothing yet.
func newRun() *run { return &run{percent: percentUnknown} }

// maybeRunning reports whether the run is on the worker as far as the agent can tell.
func (k *run) maybeRunning() bool { return k.running || k.ordered }

// age is for how long the run has been running at a time; zero if unknown.
func (k *run) age(at time.Time) time.Duration {
	if k.startedAt.IsZero() {
		return 0
	}
	return max(at.Sub(k.startedAt), 0)
}

// listedAge is how old the run was when its percentage was listed; zero if unknown.
func (k *run) listedAge() time.Duration {
	if k.startedAt.IsZero() || k.listedAt.Before(k.startedAt) {
		return 0
	}
	return k.listedAt.Sub(k.startedAt)
}

// runTable holds the runs of an incarnation.
type runTable struct {
	known map[assignment.RunID]*run
	// ended is the highest run of each task that has ended or was refused.
	ended map[job.TaskName]int
	// abandoned are runs that were given up when the worker's lease was over, with whether they
	// were running. If the worker turns out to have crashed, they were on it.
	abandoned map[assignment.RunID]bool
}

func newRunTable() runTable {
	return runTable{
		known:     map[assignment.RunID]*run{},
		ended:     map[job.TaskName]int{},
		abandoned: map[assignment.RunID]bool{},
	}
}

// over reports whether the run, or a later one of its task, has ended.
func (t *runTable) over(id assignment.RunID) bool { return t.ended[id.Task] >= id.Run }

// end notes that a run is over.
func (t *runTable) end(id assignment.RunID) {
	delete(t.known, id)
	t.ended[id.Task] = max(t.ended[id.Task], id.Run)
}

// running lists the runs that the worker has confirmed.
func (t *runTable) running() map[assignment.RunID]bool {
	running := make(map[assignment.RunID]bool, len(t.known))
	for id, k := range t.known {
		if k.running {
			running[id] = true
		}
	}
	return running
}

// anyUncertain reports whether some start may or may not have been carried out.
func (t *runTable) anyUncertain() bool {
	for _, k := range t.known {
		if !k.uncertainAt.IsZero() {
			return true
		}
	}
	return false
}

// interrupted lists the runs that end with the worker, or may, by their tasks' names. Ages
// count to lastContact.
func (t *runTable) interrupted(lastContact time.Time) []assignment.InterruptedRun {
	var runs []assignment.InterruptedRun
	for id, k := range t.known {
		if k.maybeRunning() {
			runs = append(runs, assignment.InterruptedRun{
				RunID:     id,
				Started:   k.running,
				AgeMillis: k.age(lastContact).Milliseconds(),
			})
		}
	}
	for id, started := range t.abandoned {
		runs = append(runs, assignment.InterruptedRun{RunID: id, Started: started})
	}
	slices.SortFunc(runs, func(a, b assignment.InterruptedRun) int {
		return cmp.Compare(a.Task.String(), b.Task.String())
	})
	return runs
}

// endLog holds the ends that the worker has listed. Their numbers rise from 1 within an
// incarnation.
type endLog struct {
	// unstored are the ends, by number, that the leader has not stored yet.
	unstored map[int64]assignment.End
	// acked is up to which end the leader has stored them, forgotten up to which the worker has
	// dropped them.
	acked, forgotten int64
}

// ack notes that the leader has stored the ends up to a number. It reports whether that is news.
func (l *endLog) ack(number int64) bool {
	if number <= l.acked {
		return false
	}
	l.acked = number
	maps.DeleteFunc(l.unstored, func(n int64, _ assignment.End) bool { return n <= number })
	return true
}

// has reports whether the end of a run is about to be reported.
func (l *endLog) has(id assignment.RunID) bool {
	for _, e := range l.unstored {
		if e.RunID == id {
			return true
		}
	}
	return false
}

// list returns the unstored ends by number.
func (l *endLog) list() []assignment.End {
	var ends []assignment.End
	for _, n := range slices.Sorted(maps.Keys(l.unstored)) {
		ends = append(ends, l.unstored[n])
	}
	return ends
}
