package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/job"
)

// Bounds of the judgement on a worker.
const (
	// doubtAfter is how many different jobs must have failed in a row on a worker before it is doubted.
	doubtAfter = 2
	// firstRest and longestRest bound how long a doubted worker gets nothing; each further failure doubles it.
	firstRest   = 2 * time.Second
	longestRest = 8 * time.Second
	// quickFailure is how soon after its start a run must fail to put the worker in doubt at once. Tasks that fail by their
	// own fault do so anywhere on their way, which takes seconds; workers that fail all they start do so in 0.05 to 0.15 s.
	quickFailure = 200 * time.Millisecond
	// avoidFor is how long a task that failed on a worker is not placed there again.
	avoidFor = 3 * time.Second
	// refusalRest is how long a worker that refused a start for lack of room gets nothing.
	refusalRest = 300 * time.Millisecond
)

// trust judges a worker by what became of the runs on it. The zero value trusts.
type trust struct {
	// failed holds the jobs that failed since the last run that was done.
	failed map[job.ID]bool
	rest   time.Duration
	until  time.Time
}

// ended takes note of the end of a run that was there so long; zero is an unknown time.
func (t *trust) ended(now time.Time, id job.ID, how job.Ending, took time.Duration) {
	switch {
	case how == job.EndDone:
		t.failed, t.rest = nil, 0
	case how == job.EndFailed && took > 0 && took < quickFailure:
		t.certain(now, id)
	case how == job.EndFailed:
		t.doubt(now, id)
	}
}

func (t *trust) doubt(now time.Time, id job.ID) {
	if t.failed == nil {
		t.failed = map[job.ID]bool{}
	}
	t.failed[id] = true
	if len(t.failed) < doubtAfter {
		return
	}
	t.rest = min(max(2*t.rest, firstRest), longestRest)
	t.until = now.Add(t.rest)
}

// refused takes note of a start that the worker refused.
func (t *trust) refused(now time.Time) {
	if until := now.Add(refusalRest); until.After(t.until) {
		t.until = until
	}
}

// certain takes note of a failure that is surely the worker's: a run that stands still, or that failed as it began.
func (t *trust) certain(now time.Time, id job.ID) {
	t.doubt(now, id)
	t.rest = max(t.rest, firstRest)
	t.until = now.Add(t.rest)
}

// resting reports whether the worker gets nothing now.
func (t *trust) resting(now time.Time) bool { return now.Before(t.until) }

// doubted reports whether the worker gets one trial at a time.
func (t *trust) doubted() bool { return t.rest > 0 }
