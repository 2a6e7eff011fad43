package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Bounds of the judgement on a worker.
const (
	// quarantineAfter is how many different jobs must have failed in a row on a worker before it is quarantined.
	quarantineAfter = 2
	// firstQuarantine and longestQuarantine bound a quarantine; each further failure doubles it.
	firstQuarantine   = 2 * time.Second
	longestQuarantine = 8 * time.Second
	// quickFailure is how soon after its start a run must fail to quarantine its worker at once. Tasks that fail by their
	// own fault do so anywhere on their way, which takes seconds; workers that fail all they start do so in 0.05 to 0.15 s.
	quickFailure = 200 * time.Millisecond
	// avoidFor is how long a task that failed on a worker is not placed there again.
	avoidFor = 3 * time.Second
	// refusalQuarantine is how long a worker that refused a start for lack of room gets nothing.
	refusalQuarantine = 300 * time.Millisecond
)

// health judges a worker by what became of the runs on it. The zero value trusts.
type health struct {
	// failed holds the jobs that failed since the last run that was done.
	failed map[job.ID]bool
	// quarantine is how long the newest quarantine lasts; zero after a run that was done.
	quarantine time.Duration
	until      time.Time
}

// runEnded takes note of the end of a run that was there so long; zero is an unknown time.
func (h *health) runEnded(now time.Time, id job.ID, how job.EndReason, took time.Duration) {
	switch {
	case how == job.EndDone:
		h.failed, h.quarantine = nil, 0
	case how == job.EndFailed && took > 0 && took < quickFailure:
		h.fault(now, id)
	case how == job.EndFailed:
		h.countFailure(now, id)
	}
}

func (h *health) countFailure(now time.Time, id job.ID) {
	if h.failed == nil {
		h.failed = map[job.ID]bool{}
	}
	h.failed[id] = true
	if len(h.failed) < quarantineAfter {
		return
	}
	h.quarantine = min(max(2*h.quarantine, firstQuarantine), longestQuarantine)
	h.until = now.Add(h.quarantine)
}

// startRefused takes note of a start that the worker refused.
func (h *health) startRefused(now time.Time) {
	if until := now.Add(refusalQuarantine); until.After(h.until) {
		h.until = until
	}
}

// certain takes note of a failure that is surely the worker's: a run that stands still, or that failed as it began.
func (h *health) fault(now time.Time, id job.ID) {
	h.countFailure(now, id)
	h.quarantine = max(h.quarantine, firstQuarantine)
	h.until = now.Add(h.quarantine)
}

// quarantined reports whether the worker gets nothing now.
func (h *health) quarantined(now time.Time) bool { return now.Before(h.until) }

// onProbation reports whether the worker gets one trial at a time.
func (h *health) onProbation() bool { return h.quarantine > 0 }
