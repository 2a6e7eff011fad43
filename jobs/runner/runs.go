package runner

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// percentUnknown is the progress of a run that the worker has not listed yet.
const percentUnknown = -1

// run is a run that the agent knows about.
type run struct {
	// running is set once the worker has confirmed the run. Before that, a start or a stop is in
	// progress.
	running bool
	percent int
	// latencyMillis is the tail latency that the worker reports for the run; see assignment.Run.
	latencyMillis int
	// ordered is set while a start has been sent, or is being sent, and may have been carried out;
	// fence is the fence of the latest attempt.
	ordered bool
	fence   int64
	// withdrawn is set once the start is no longer sent because its session has ended, although an
	// earlier attempt may have been carried out.
	withdrawn bool
	// uncertainAt is when a start returned without its outcome being known; zero if none did.
	uncertainAt time.Time
	stopping    bool
	// awaitsEnd is set once the worker no longer lists the run as running, but omits ends from its
	// list. The run has ended; how is not known yet.
	awaitsEnd bool
	// startedAt is when the worker confirmed the start; zero if another process of the agent
	// ordered it.
	startedAt time.Time
	// listedAt is when the worker listed the percentage.
	listedAt time.Time
}

// newRun returns a run that the worker has not confirmed yet.
func newRun() *run { return &run{percent: percentUnknown} }

// maybeRunning reports whether the run may be on the worker, as far as the agent can tell.
func (k *run) maybeRunning() bool { return k.running || k.ordered }

// age returns how long the run has been running at a given time; zero if unknown.
func (k *run) age(at time.Time) time.Duration {
	if k.startedAt.IsZero() {
		return 0
	}
	return max(at.Sub(k.startedAt), 0)
}

// listedAge returns how old the run was when its percentage was listed; zero if unknown.
func (k *run) listedAge() time.Duration {
	if k.startedAt.IsZero() || k.listedAt.Before(k.startedAt) {
		return 0
	}
	return k.listedAt.Sub(k.startedAt)
}

// runTable holds the runs of an incarnation.
type runTable struct {
	known map[assignment.RunID]*run
	// ended holds, for each task, the number of its latest run that has ended or was refused.
	ended map[job.TaskName]int
	// abandoned holds the runs that were given up when the worker's lease expired, each with
	// whether it was running. If the worker turns out to have crashed, these runs were on it.
	abandoned map[assignment.RunID]bool
}

func newRunTable() runTable {
	return runTable{
		known:     map[assignment.RunID]*run{},
		ended:     map[job.TaskName]int{},
		abandoned: map[assignment.RunID]bool{},
	}
}

// hasEnded reports whether the run, or a later run of its task, has ended.
func (t *runTable) hasEnded(id assignment.RunID) bool { return t.ended[id.Task] >= id.Run }

// end records that a run has ended.
func (t *runTable) end(id assignment.RunID) {
	delete(t.known, id)
	t.ended[id.Task] = max(t.ended[id.Task], id.Run)
}

// running returns the runs that the worker has confirmed.
func (t *runTable) running() map[assignment.RunID]bool {
	running := make(map[assignment.RunID]bool, len(t.known))
	for id, k := range t.known {
		if k.running {
			running[id] = true
		}
	}
	return running
}

// anyUncertain reports whether the outcome of any start is unknown.
func (t *runTable) anyUncertain() bool {
	for _, k := range t.known {
		if !k.uncertainAt.IsZero() {
			return true
		}
	}
	return false
}

// interrupted lists, sorted by task name, the runs that ended or may have ended with the worker.
// Runs that had ended before, although their ends have not been listed, are not among them. Ages are
// as of lastContact.
func (t *runTable) interrupted(lastContact time.Time) []assignment.InterruptedRun {
	var runs []assignment.InterruptedRun
	for id, k := range t.known {
		if k.maybeRunning() && !k.awaitsEnd {
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

// report lists the runs for a poll.
func (t *runTable) report(now time.Time) []assignment.Run {
	var runs []assignment.Run
	for id, k := range t.known {
		runs = append(runs, assignment.Run{
			RunID:        id,
			Percent:      k.percent,
			AgeMillis:    k.age(now).Milliseconds(),
			ListedMillis: k.listedAge().Milliseconds(),
		})
	}
	return runs
}
