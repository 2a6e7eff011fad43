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

// ended takes note of the end of a run.
func (t *trust) ended(now time.Time, id job.ID, how job.Ending) {
	switch how {
	case job.EndDone:
		t.failed, t.rest = nil, 0
	case job.EndFailed:
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

// stalled takes note of a run that stands still on the worker.
func (t *trust) stalled(now time.Time, id job.ID) {
	t.doubt(now, id)
	t.rest = max(t.rest, firstRest)
	t.until = now.Add(t.rest)
}

// resting reports whether the worker gets nothing now.
func (t *trust) resting(now time.Time) bool { return now.Before(t.until) }

// doubted reports whether the worker gets one trial at a time.
func (t *trust) doubted() bool { return t.rest > 0 }
