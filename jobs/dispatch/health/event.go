package health

import "time"

// Event is a set of workers that fail what they start at the same time, and that are quarantined
// together. When the quarantine is over, one of them at a time is on probation (its trial).
type Event struct {
	members map[*Health]bool
	began   time.Time
	until   time.Time
	// trial is the worker that was given a run; nil if there is none.
	trial *Health
}

// Until returns when the event's quarantine is over.
func (e *Event) Until() time.Time { return e.until }

// OnTrial reports whether the worker is the one that was given a run.
func (e *Event) OnTrial(h *Health) bool { return e.trial == h }

// extend quarantines all workers of the event. The length is fixed, other than that of a single
// worker's quarantine: a trial costs one attempt for all workers together.
func (e *Event) extend(now time.Time) {
	e.until, e.trial = now.Add(FirstQuarantine), nil
	for h := range e.members {
		h.quarantineFor(now, FirstQuarantine)
	}
}

// add adds a worker, and quarantines all.
func (e *Event) add(now time.Time, h *Health) {
	e.members[h], h.event = true, e
	e.extend(now)
}

// remove removes a worker; its own quarantine stays as it is.
func (e *Event) remove(h *Health) {
	delete(e.members, h)
	h.event = nil
	if e.trial == h {
		e.trial = nil
	}
}

// release puts all workers on probation from now on, except those with a quarantine of their own.
func (e *Event) release(now time.Time) {
	for h := range e.members {
		if h.until.Equal(e.until) {
			h.until = now
		}
	}
}
