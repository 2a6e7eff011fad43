package runner

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// formerIncarnations holds the ended incarnations of the worker.
type formerIncarnations struct {
	known map[incarnation.ID]bool
	// unacked holds the incarnations whose end the leader has not acknowledged yet.
	unacked map[incarnation.ID]endedIncarnation
	// unregistered is an incarnation that follows an ended one and is known only from a list; it
	// has not sent a heartbeat yet. It is zero if there is none.
	unregistered incarnation.ID
}

func newFormerIncarnations() formerIncarnations {
	return formerIncarnations{known: map[incarnation.ID]bool{}, unacked: map[incarnation.ID]endedIncarnation{}}
}

// endedIncarnation is an incarnation whose end is reported until the leader has acknowledged a poll
// that contains it.
type endedIncarnation struct {
	assignment.IncarnationEnd
	// since is the number of the first poll of the present unbroken series that reports the end;
	// zero if the newest poll did not report it.
	since int64
	// ordersVoid is set once no order for the incarnation can take effect. Its end is not reported
	// before that, because the leader would place its runs again.
	ordersVoid bool
	// lastContact is when the worker was last known to be running; zero if this agent had no
	// contact with it.
	lastContact time.Time
}

// ackedBy reports whether the acknowledgment of a poll covers the end.
func (e endedIncarnation) ackedBy(poll int64) bool { return e.since != 0 && e.since <= poll }

// recordDrained records the end of an incarnation other than the present one.
func (f *formerIncarnations) recordDrained(id incarnation.ID) {
	if _, ok := f.unacked[id]; ok {
		return
	}
	f.known[id] = true
	f.unacked[id] = endedIncarnation{
		IncarnationEnd: assignment.IncarnationEnd{ID: id, Drained: true},
		ordersVoid:     true,
	}
}

// voidOrders records that no order for a former incarnation can take effect. It reports whether
// that was not known before for one of them.
func (f *formerIncarnations) voidOrders() bool {
	changed := false
	for id, e := range f.unacked {
		if !e.ordersVoid {
			e.ordersVoid = true
			f.unacked[id] = e
			changed = true
		}
	}
	return changed
}

// closing lists the ended incarnations whose end the newest poll does not report.
func (f *formerIncarnations) closing() []incarnation.ID {
	var ids []incarnation.ID
	for id, e := range f.unacked {
		if e.since == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// reportEnded lists the ended incarnations that the poll being made reports. An incarnation that
// shares its instance with the present one is reported only with a complete list: the present
// incarnation may have carried out orders for the former one, and the leader has to see both at
// once. The lock must be held.
func (r *Runner) reportEnded() []assignment.IncarnationEnd {
	var ends []assignment.IncarnationEnd
	byName := func(a, b incarnation.ID) int { return cmp.Compare(a.String(), b.String()) }
	for _, id := range slices.SortedFunc(maps.Keys(r.former.unacked), byName) {
		e := r.former.unacked[id]
		if !e.ordersVoid || r.needsList(id) {
			e.since = 0
			r.former.unacked[id] = e
			continue
		}
		e.since = cmp.Or(e.since, r.polls.sequence)
		r.former.unacked[id] = e
		if !e.lastContact.IsZero() {
			e.LastContactMillis = time.Since(e.lastContact).Milliseconds()
		}
		ends = append(ends, e.IncarnationEnd)
	}
	return ends
}

// needsList reports whether the end of a former incarnation has to wait for the list of the present
// one. The lock must be held.
func (r *Runner) needsList(former incarnation.ID) bool {
	return !r.described() && r.worker != nil && r.worker.ID.SharesInstance(former)
}

// errDrained is the reason for the end of an incarnation that has deregistered.
var errDrained = errors.New("the worker has deregistered")

// endIncarnation ends the present incarnation. The lock must be held.
func (r *Runner) endIncarnation(why error) {
	lastContact := r.present.contact.lastConfirmed()
	drained := errors.Is(why, errDrained) || r.worker.Draining && !lastContact.Before(r.present.drainsAt)
	end := assignment.IncarnationEnd{
		ID:       r.worker.ID,
		Drained:  drained,
		Draining: !drained && r.worker.Draining,
		Runs:     r.present.runs.interrupted(lastContact),
		Complete: r.present.complete,
	}
	r.logEnd(end, why)
	r.metrics.incarnations.Inc(endOutcomeOf(end))
	r.former.known[end.ID] = true
	r.former.unacked[end.ID] = endedIncarnation{
		IncarnationEnd: end,
		lastContact:    lastContact,
		ordersVoid:     r.ordersVoid(why),
	}
	r.worker = nil
	r.present = newIncarnationState()
	r.generation++
	var restarted *restartedError
	switch {
	case errors.As(why, &restarted):
		r.former.unregistered = restarted.present
	case !errors.Is(why, errDrained):
		// The worker has another instance, which refuses orders for this one.
		r.open.switchTo("")
	}
	signal(r.report)
}

// ordersVoid reports whether no order for the present incarnation, which is ending, can take
// effect: the worker has another instance, or it has drained and the outcome of every start is
// known. A new incarnation that shares the instance has not seen a fence yet, and may carry out an
// order that is still in flight. The lock must be held.
func (r *Runner) ordersVoid(why error) bool {
	switch {
	case r.worker.ID.StartMillis == 0:
		return true
	case errors.Is(why, errDrained):
		return !r.present.runs.anyUncertain()
	}
	var restarted *restartedError
	return !errors.As(why, &restarted)
}

// logEnd logs how an incarnation ended and which runs it had. The lock must be held.
func (r *Runner) logEnd(end assignment.IncarnationEnd, why error) {
	r.dependencies.Logger.Info().Str("step", "runner.endLife").Stringer("life", end.ID).AnErr("why", why).
		Bool("left", end.Drained).Int("runs", len(end.Runs)).
		Int64("silent_ms", time.Since(r.present.contact.lastConfirmed()).Milliseconds()).Msg("incarnation ended")
	for _, run := range end.Runs {
		r.dependencies.Logger.Info().Str("step", "runner.endLife").Stringer("life", end.ID).
			Bool("left", end.Drained).Stringer("task", run.Task).Int("run", run.Run).
			Bool("begun", run.Started).Int64("age_ms", run.AgeMillis).Msg("run ended with its worker")
	}
}

// fenceUnregistered sends the present fence to an incarnation that has not sent a heartbeat yet.
// Until it has seen a fence, it carries out orders for former incarnations that are still in
// flight, although their runs may have been placed elsewhere.
func (r *Runner) fenceUnregistered(ctx context.Context) {
	r.mu.Lock()
	order, generation := Order{Incarnation: r.former.unregistered, Fence: r.orderFence()}, r.generation
	needed := r.worker == nil && !r.former.unregistered.IsZero() && r.leader.fence != 0
	r.mu.Unlock()
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := r.sync(ctx, syncCall{order: order})
	r.mu.Lock()
	defer r.mu.Unlock()
	var restarted *restartedError
	switch {
	case generation != r.generation || r.worker != nil:
	case errors.As(err, &restarted):
		// The worker has restarted once more, and the new incarnation has seen the fence through
		// this call.
		r.former.unregistered = restarted.present
	case errors.Is(err, ErrOtherIncarnation):
		r.former.unregistered = incarnation.ID{}
	}
}
