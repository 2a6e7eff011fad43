package health

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// shareDivisor divides a service's workers: no more than the result may be judged together, that
	// is belong to an event, or count as slow. If more are affected, the cause is rather outside of
	// the workers, and too much capacity would be left unused.
	shareDivisor = 3
	// provenAfter is how long a run must have worked to prove its worker. Workers that fail what they
	// start do so within half of it (sharedQuickFailure).
	provenAfter = time.Second
	// longTaskMemory is how long long tasks count as likely after one was seen.
	longTaskMemory = 30 * time.Second
)

// WithinShare reports whether a number of affected workers is small enough for them to be the
// cause.
func WithinShare(affected, workers int) bool { return affected*shareDivisor <= workers }

// Rules switches parts of the rules off.
type Rules struct {
	// Shared is whether failures of several workers at once are judged together.
	Shared bool
	// SafeProbation is whether runs prove their worker before they end, and only those that started
	// after its quarantine began.
	SafeProbation bool
}

// Notice describes the begin or the end of an event.
type Notice struct {
	Ended   bool
	Workers int
	// Lasted is how long the event lasted; zero at its begin.
	Lasted time.Duration
}

// Fleet judges the workers of a service by the ends of their runs.
type Fleet struct {
	rules  Rules
	notify func(Notice)
	// workers is the number of the service's workers.
	workers  int
	failures quickFailures
	// blamed are the failures for which workers were quarantined, during the last sharedWindow.
	blamed quickFailures
	// event is the present event; nil if there is none.
	event *Event
	// longTaskAt is when a task was last seen to be long.
	longTaskAt time.Time
}

// NewFleet returns a fleet without failures. Events are reported to notify.
func NewFleet(rules Rules, notify func(Notice)) *Fleet { return &Fleet{rules: rules, notify: notify} }

// SetWorkers sets the number of the service's workers, which bounds the size of an event.
func (f *Fleet) SetWorkers(n int) { f.workers = n }

// RunsPaced records the paces of the runs of a worker.
func (f *Fleet) RunsPaced(now time.Time, c PaceCounts) {
	if c.provesLong() {
		f.longTaskAt = now
	}
}

// LongTasksLikely reports whether a task was lately seen to be long.
func (f *Fleet) LongTasksLikely(now time.Time) bool {
	return !f.longTaskAt.IsZero() && now.Sub(f.longTaskAt) < longTaskMemory
}

// RunEnded records the end of a run on a worker.
func (f *Fleet) RunEnded(now time.Time, h *Health, e End) {
	onTrial := h.event != nil && h.event.OnTrial(h)
	if onTrial {
		h.event.trial = nil
	}
	switch {
	case e.Reason == job.EndDone && f.proves(h, now.Add(-e.Took)):
		f.prove(now, h)
	case e.Reason == job.EndFailed:
		f.runFailed(now, h, e, onTrial)
	}
}

// RunAdvanced records that a run that started at the given time has made progress after it had
// worked for the given time.
func (f *Fleet) RunAdvanced(now time.Time, h *Health, started time.Time, worked time.Duration) {
	if f.rules.SafeProbation && h.OnProbation() && worked >= provenAfter && f.proves(h, started) {
		f.prove(now, h)
	}
}

// Forget drops a worker's part in events and failures, because its incarnation has ended.
func (f *Fleet) Forget(now time.Time, h *Health) {
	f.failures.forget(h)
	f.blamed.forget(h)
	if e := f.event; e != nil && h.event == e {
		e.remove(h)
		if len(e.members) < 2 {
			f.endEvent(now)
		}
	}
}

// proves reports whether a successful run that started at the given time proves its worker.
func (f *Fleet) proves(h *Health, started time.Time) bool {
	return !f.rules.SafeProbation || !h.OnProbation() || started.After(h.quarantinedAt)
}

// prove records that a worker is sound; its event ends.
func (f *Fleet) prove(now time.Time, h *Health) {
	if h.event != nil && !f.rules.SafeProbation && now.Before(h.event.until) {
		// Runs that started before the event end while it lasts.
		return
	}
	f.failures.forget(h)
	f.blamed.forget(h)
	if e := h.event; e != nil && e == f.event {
		e.release(now)
		f.endEvent(now)
	}
	h.prove()
}

// endEvent judges the workers of the event one by one from now on.
func (f *Fleet) endEvent(now time.Time) {
	e := f.event
	f.event = nil
	f.notify(Notice{Ended: true, Workers: len(e.members), Lasted: now.Sub(e.began)})
	for h := range e.members {
		e.remove(h)
	}
}

// runFailed records a failed run.
func (f *Fleet) runFailed(now time.Time, h *Health, e End, onTrial bool) {
	if !f.rules.Shared {
		h.runFailed(now, e, quickFailure)
		return
	}
	quick := e.within(sharedQuickFailure)
	if h.event != nil {
		if quick || onTrial {
			h.event.extend(now)
		}
		return
	}
	if !quick {
		h.runFailed(now, e, quickFailure)
		return
	}
	own := failure{now, h, e.Job}
	f.failures.add(own)
	if f.failures.corroborated(own) {
		f.blame(now, own)
		f.blameEarlier(now)
	} else if h.runFailed(now, e, quickFailure) {
		f.join(now, own)
	}
}

// blame attributes a failure to the worker.
func (f *Fleet) blame(now time.Time, own failure) {
	own.worker.WorkerFailed(now, own.job)
	f.join(now, own)
}

// blameEarlier attributes earlier failures to their workers that later ones have corroborated.
func (f *Fleet) blameEarlier(now time.Time) {
	for _, g := range f.failures.list {
		if !g.worker.Quarantined(now) && f.failures.corroborated(g) {
			f.blame(now, g)
		}
	}
}

// join adds a quarantined worker to the present event, or begins one if another worker was
// quarantined for another job just before.
func (f *Fleet) join(now time.Time, own failure) {
	own.at = now
	f.blamed.add(own)
	if f.event != nil {
		if WithinShare(len(f.event.members)+1, f.workers) && !f.failures.flawed(own.job) {
			f.event.add(now, own.worker)
		}
		return
	}
	if !f.blamed.corroborated(own) {
		return
	}
	members := map[*Health]bool{}
	for _, g := range f.blamed.list {
		if f.blamed.corroborated(g) {
			members[g.worker] = true
		}
	}
	if !WithinShare(len(members), f.workers) {
		return
	}
	f.event = &Event{members: map[*Health]bool{}, began: now}
	for h := range members {
		f.event.add(now, h)
	}
	f.notify(Notice{Workers: len(members)})
}
