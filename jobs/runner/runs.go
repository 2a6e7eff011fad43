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

// run is a run that the agent knows of.
type run struct {
	// running is set once the worker has confirmed the run; before that a start or a stop is
	// under way.
	running bool
	percent int
	// latencyMillis is the worker's figure for the run; see assignment.Run.
	latencyMillis int
	// ordered is set while a start was sent, or is being sent, and may have been carried out.
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

// newRun returns a run that the worker has not confirmed yet.
func newRun() *run { return &run{percent: percentUnknown} }

// maybeRunning reports whether the run is on the worker as far as the agent can tell.
func (k *run) maybeRunning() bool { return k.running || k.ordered }

// age is how long the run has been running at a time; zero if unknown.
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
