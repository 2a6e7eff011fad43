// Package health judges workers by the outcome and the pace of their runs. A worker that fails the
// runs it starts is quarantined: it gets no work for some seconds, and then a single run at a time
// (probation) until a run proves it.
//
// It is made for two loads: some 6 of 75 workers fail everything that they start for several
// seconds, most of it within 0.2 to 0.4 s of the start; and some 14 of 75 workers take eight times
// as long for several seconds.
//
// A Health is the health of one worker. A Fleet judges the workers of a service together: it
// recognizes failures of several workers at once, and quarantines these workers together (Event). A
// Pace compares the progress of a run with its earlier progress, and a Slowdown tells from the
// paces of a worker's runs whether the worker has turned slow.
//
// All of them rely on the caller for the time, and are not safe for concurrent use.
//
// # Usage
//
//	fleet := health.NewFleet(health.Rules{Shared: true, SafeProbation: true}, func(health.Notice) {})
//	fleet.SetWorkers(75)
//	var h health.Health
//	fleet.RunEnded(now, &h, health.End{Job: id, Reason: job.EndFailed, Took: 80 * time.Millisecond})
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
	// quarantine is the length of the latest quarantine; zero once a run has proven the worker.
	quarantine time.Duration
	until      time.Time
	// quarantinedAt is when the latest quarantine began. Runs that started before prove nothing.
	quarantinedAt time.Time
	// event is the event that the worker belongs to; nil if there is none.
	event *Event
}

// prove clears what failed runs have left, because a run has proven the worker.
func (h *Health) prove() { h.failed, h.quarantine = nil, 0 }

// runFailed records a failed run, and reports whether it quarantines the worker. A failure before
// the limit is the worker's fault.
func (h *Health) runFailed(now time.Time, e End, limit time.Duration) bool {
	if e.within(limit) {
		h.WorkerFailed(now, e.Job)
		return true
	}
	return h.countFailure(now, e.Job)
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
	h.quarantineFor(now, max(h.quarantine, FirstQuarantine))
}

// countFailure records a failure, and reports whether it quarantines the worker.
func (h *Health) countFailure(now time.Time, id job.ID) bool {
	if h.failed == nil {
		h.failed = map[job.ID]bool{}
	}
	h.failed[id] = true
	if len(h.failed) < quarantineAfter {
		return false
	}
	h.quarantineFor(now, min(max(2*h.quarantine, FirstQuarantine), maxQuarantine))
	return true
}

func (h *Health) quarantineFor(now time.Time, length time.Duration) {
	h.quarantine, h.quarantinedAt, h.until = length, now, now.Add(length)
}

// Quarantined reports whether the worker gets no work now.
func (h *Health) Quarantined(now time.Time) bool { return now.Before(h.until) }

// OnProbation reports whether the worker gets a single run at a time.
func (h *Health) OnProbation() bool { return h.quarantine > 0 }

// ProbationFor returns how long the worker has been on probation.
func (h *Health) ProbationFor(now time.Time) time.Duration { return max(now.Sub(h.until), 0) }

// Waited reports whether the worker has been on probation for as long as its latest quarantine
// lasted.
func (h *Health) Waited(now time.Time) bool { return h.ProbationFor(now) >= h.quarantine }

// PutOnProbation puts a healthy worker on probation without a quarantine.
func (h *Health) PutOnProbation(now time.Time) {
	if h.quarantine == 0 {
		h.quarantine, h.quarantinedAt, h.until = FirstQuarantine, now, now
	}
}

// Event returns the event that the worker belongs to; nil if there is none.
func (h *Health) Event() *Event { return h.event }

// BeginTrial records that the worker was given a run while it is on probation.
func (h *Health) BeginTrial() {
	if h.event != nil {
		h.event.trial = h
	}
}
