package health

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// sharedWindow is the longest time between failures of several workers that may have a common
	// cause.
	sharedWindow = 2 * time.Second
	// sharedQuickFailure replaces quickFailure while several workers fail runs. Workers that fail
	// what they start need up to 0.4 s for it.
	sharedQuickFailure = 500 * time.Millisecond
	// flawedAfter is the number of workers on which a job must fail right after its start, and no
	// other job, for the job itself to be the likely cause.
	flawedAfter = 3
)

// End is the end of a run.
type End struct {
	Job    job.ID
	Reason job.EndReason
	// Took is how long the run was running; zero if that is not known.
	Took time.Duration
}

// within reports whether the run is known to have ended before the limit.
func (e End) within(limit time.Duration) bool { return e.Took > 0 && e.Took < limit }

// quickFailures are the runs of a service that failed within sharedQuickFailure of their start,
// during the last sharedWindow.
type quickFailures struct{ list []failure }

// failure is a run that failed right after its start.
type failure struct {
	at     time.Time
	worker *Health
	job    job.ID
}

// add records a failure, and drops those that are too old.
func (q *quickFailures) add(f failure) {
	q.list = slices.DeleteFunc(q.list, func(g failure) bool { return f.at.Sub(g.at) > sharedWindow })
	q.list = append(q.list, f)
}

// forget drops the failures of a worker.
func (q *quickFailures) forget(h *Health) {
	q.list = slices.DeleteFunc(q.list, func(f failure) bool { return f.worker == h })
}

// corroborated reports whether another job has failed on another worker. A job that is likely to
// fail by its own fault neither counts nor is counted.
func (q *quickFailures) corroborated(f failure) bool {
	return !q.flawed(f.job) && slices.ContainsFunc(q.list, func(g failure) bool {
		return f.at.Sub(g.at).Abs() <= sharedWindow && g.worker != f.worker && g.job != f.job && !q.flawed(g.job)
	})
}

// flawed reports whether a job is the likely cause of its failures: it has failed on several
// workers on which no other job has.
func (q *quickFailures) flawed(id job.ID) bool {
	only := map[*Health]bool{}
	for _, f := range q.list {
		if f.job == id {
			only[f.worker] = true
		}
	}
	if len(only) < flawedAfter {
		return false
	}
	for _, f := range q.list {
		if f.job != id {
			delete(only, f.worker)
		}
	}
	return len(only) >= flawedAfter
}
