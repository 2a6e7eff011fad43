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

// formerIncarnations are the incarnations of the worker that have ended.
type formerIncarnations struct {
	known map[incarnation.ID]bool
	// unacked are those whose end the leader has not acknowledged yet.
	unacked map[incarnation.ID]endedIncarnation
	// unregistered is the present incarnation after the end of one, if a list has named it and
	// it has not reported yet.
	unregistered incarnation.ID
}

func newFormerIncarnations() formerIncarnations {
	return formerIncarnations{known: map[incarnation.ID]bool{}, unacked: map[incarnation.ID]endedIncarnation{}}
}

// endedIncarnation is an incarnation whose end is reported until the leader has acknowledged a
// poll with it.
type endedIncarnation struct {
	assignment.IncarnationEnd
	// since is the number of the poll since which all polls report it; zero if the newest did
	// not.
	since int64
	// ordersVoid is set once no order for it can have an effect any more. Until then its end is
	// not reported, since the leader would place its runs again.
	ordersVoid bool
	// lastContact is when the worker was last known to be running; zero if this agent had no
	// contact with it.
	lastContact time.Time
}

// ackedBy reports whether the end is acknowledged with the poll of a number.
func (e endedIncarnation) ackedBy(poll int64) bool { return e.since != 0 && e.since <= poll }

// noteDrained notes the end of an incarnation that is not the present one.
func (f *formerIncarnations) noteDrained(id incarnation.ID) {
	if _, ok := f.unacked[id]; ok {
		return
	}
	f.known[id] = true
	f.unacked[id] = endedIncarnation{
		IncarnationEnd: assignment.IncarnationEnd{ID: id, Drained: true},
		ordersVoid:     true,
	}
}

// voidOrders notes that no order for a former incarnation can have an effect any more. It
// reports whether that is news.
func (f *formerIncarnations) voidOrders() bool {
	news := false
	for id, e := range f.unacked {
		if !e.ordersVoid {
			e.ordersVoid = true
			f.unacked[id] = e
			news = true
		}
	}
	return news
}

// closing lists the incarnations that are over and that the newest poll doesn't report as ended.
func (f *formerIncarnations) closing() []incarnation.ID {
	var ids []incarnation.ID
	for id, e := range f.unacked {
		if e.since == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// reportEnded lists the ended incarnations that the poll being made reports. One that shares
// its instance with the present incarnation is reported only beside a complete list: orders for
// the former one may have been carried out by the present one, and the leader has to see both
// at once. The lock must be held.
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
			e.SinceMillis = time.Since(e.lastContact).Milliseconds()
		}
		ends = append(ends, e.IncarnationEnd)
	}
	return ends
}

// needsList reports whether the end of a former incarnation has to wait for the list of the
// present one. The lock must be held.
func (r *Runner) needsList(former incarnation.ID) bool {
	return !r.described() && r.worker != nil && r.worker.ID.SharesInstance(former)
}

// errDrained is why the incarnation ends of a worker that has deregistered.
var errDrained = errors.New("the worker has deregistered")

// endIncarnation ends the present incarnation. The lock must be held.
func (r *Runner) endIncarnation(why error) {
	lastContact := r.present.contact.last()
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
		// Another instance is there, which refuses what was sent to this one.
		r.open.meet("")
	}
	signal(r.report)
}

// ordersVoid reports whether no order for the present incarnation, which ends, can have an
// effect any more: the worker has another instance, or it has drained and no start is
// uncertain. An incarnation that shares the instance has not seen a fence yet, and may carry
// out an order that is under way. The lock must be held.
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

// logEnd logs how an incarnation ended and what was running. The lock must be held.
func (r *Runner) logEnd(end assignment.IncarnationEnd, why error) {
	r.dependencies.Logger.Info().Str("step", "runner.endLife").Stringer("life", end.ID).AnErr("why", why).
		Bool("left", end.Drained).Int("runs", len(end.Runs)).
		Int64("silent_ms", time.Since(r.present.contact.last()).Milliseconds()).Msg("incarnation is over")
	for _, run := range end.Runs {
		r.dependencies.Logger.Info().Str("step", "runner.endLife").Stringer("life", end.ID).
			Bool("left", end.Drained).Stringer("task", run.Task).Int("run", run.Run).
			Bool("begun", run.Started).Int64("age_ms", run.AgeMillis).Msg("run ended with its worker")
	}
}

// fenceUnregistered sends the present fence to an incarnation that has not reported yet. Until it
// has seen one, it would carry out orders for former incarnations that are still under way,
// though their runs may be placed elsewhere by now.
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
		// It has restarted once more, and the new incarnation has seen the fence by this call.
		r.former.unregistered = restarted.present
	case errors.Is(err, ErrOtherIncarnation):
		r.former.unregistered = incarnation.ID{}
	}
}
