// Package health judges workers by the outcome of their runs. A worker that fails the runs it
// starts is quarantined: it gets no work for some seconds, and then a single run at a time
// (probation) until a run succeeds.
//
// It keeps the state of each worker, and relies on the caller for the time. It is not safe for
// concurrent use.
//
// # Usage
//
//	var h health.Health
//	h.RunEnded(now, id, job.EndFailed, 80*time.Millisecond)
//	h.Quarantined(now) // true
package health

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// quarantineAfter is how many different jobs must fail on a worker without a success in
	// between.
	quarantineAfter = 2
	// FirstQuarantine is the shortest quarantine after a failure. Each further failure doubles it,
	// up to maxQuarantine.
	FirstQuarantine = 2 * time.Second
	maxQuarantine   = 8 * time.Second
	// quickFailure is how soon after its start a run must fail for the worker to be blamed at once.
	// It is shorter than the time in which tasks fail through their own fault.
	quickFailure = 200 * time.Millisecond
	// refusalQuarantine is the quarantine after a refused start.
	refusalQuarantine = 300 * time.Millisecond
)

// Health is the health of one incarnation of a worker. The zero value is healthy.
type Health struct {
	// failed holds the jobs with a failed run since the last successful run.
	failed map[job.ID]bool
	// quarantine is the length of the latest quarantine; zero after a successful run.
	quarantine time.Duration
	until      time.Time
}

// RunEnded records the end of a run; took is zero if its duration is not known.
func (h *Health) RunEnded(now time.Time, id job.ID, reason job.EndReason, took time.Duration) {
	switch {
	case reason == job.EndDone:
		h.failed, h.quarantine = nil, 0
	case reason == job.EndFailed && took > 0 && took < quickFailure:
		h.WorkerFailed(now, id)
	case reason == job.EndFailed:
		h.countFailure(now, id)
	}
}

// StartRefused records a start that the worker refused.
func (h *Health) StartRefused(now time.Time) {
	if until := now.Add(refusalQuarantine); until.After(h.until) {
		h.until = until
	}
}

// WorkerFailed records a failure that is certainly the worker's fault: a run that stalled, or that
// failed right after its start.
func (h *Health) WorkerFailed(now time.Time, id job.ID) {
	h.countFailure(now, id)
	h.quarantine = max(h.quarantine, FirstQuarantine)
	h.until = now.Add(h.quarantine)
}

func (h *Health) countFailure(now time.Time, id job.ID) {
	if h.failed == nil {
		h.failed = map[job.ID]bool{}
	}
	h.failed[id] = true
	if len(h.failed) < quarantineAfter {
		return
	}
	h.quarantine = min(max(2*h.quarantine, FirstQuarantine), maxQuarantine)
	h.until = now.Add(h.quarantine)
}

// Quarantined reports whether the worker gets no work now.
func (h *Health) Quarantined(now time.Time) bool { return now.Before(h.until) }

// OnProbation reports whether the worker gets a single run at a time.
func (h *Health) OnProbation() bool { return h.quarantine > 0 }
