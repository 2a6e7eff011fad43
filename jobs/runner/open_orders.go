package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// openOrders are the calls to the worker whose effect is still open: they are under way, or got
// no answer, and the worker may carry them out later. Within an incarnation that does no harm. An
// incarnation that follows under the same instance has seen no fence at first, so it carries
// them out too: it starts a run that was given up meanwhile, or forgets ends that nobody has
// read.
//
// So the leader is told of open starts, and places no other run of their tasks until they are
// closed. And a start and a sync that lets the worker forget ends are never open at once: the
// run could start late, end, and have its end forgotten late.
//
// Calls for a worker that doesn't report when it started are not kept here: each of its
// incarnations has an instance of its own, and refuses what was meant for others.
type openOrders struct {
	// instance is the one that the calls name.
	instance string
	starts   map[assignment.RunID]openOrder
	forget   openOrder
}

// openOrder is a kind of call whose effect may be open.
type openOrder struct {
	// underWay counts the calls that were sent and have not returned.
	underWay int
	// until is the time from which on no call without an answer is carried out any more; zero if
	// each was answered.
	until time.Time
}

// open reports whether a call is under way or may still be carried out.
func (o openOrder) open(now time.Time) bool { return o.underWay > 0 || o.unanswered(now) }

// unanswered reports whether a call got no answer and may still be carried out.
func (o openOrder) unanswered(now time.Time) bool { return now.Before(o.until) }

// sent returns the order with one more call under way.
func (o openOrder) sent() openOrder {
	o.underWay++
	return o
}

// returned returns the order with one call less under way, which may have got an answer.
func (o openOrder) returned(now time.Time, answered bool) openOrder {
	o.underWay--
	if !answered {
		o.until = now.Add(assignment.MaxOrderDelay)
	}
	return o
}

func newOpenOrders() openOrders { return openOrders{starts: map[assignment.RunID]openOrder{}} }

// meet turns to the instance of a worker. What was sent to another one has no effect any more.
func (o *openOrders) meet(instance string) {
	if o.instance != instance {
		*o = newOpenOrders()
		o.instance = instance
	}
}

// startSent notes that a start is under way to an instance.
func (o *openOrders) startSent(instance string, id assignment.RunID) {
	o.meet(instance)
	o.starts[id] = o.starts[id].sent()
}

// startReturned notes that a start to an instance has returned.
func (o *openOrders) startReturned(instance string, id assignment.RunID, now time.Time, answered bool) {
	if o.instance != instance {
		return
	}
	start := o.starts[id].returned(now, answered)
	if start == (openOrder{}) {
		delete(o.starts, id)
		return
	}
	o.starts[id] = start
}

// forgetSent notes that a sync that lets an instance forget ends is under way.
func (o *openOrders) forgetSent(instance string) {
	o.meet(instance)
	o.forget = o.forget.sent()
}

// forgetReturned notes that such a sync has returned.
func (o *openOrders) forgetReturned(instance string, now time.Time, answered bool) {
	if o.instance == instance {
		o.forget = o.forget.returned(now, answered)
	}
}

// close drops the starts that are closed. listedAt is when the newest list was asked for: it
// shows what was carried out before. Without a list, what a late start began ends with its
// lease, which lasts no longer than lease from its start.
func (o *openOrders) close(now, listedAt time.Time, lease time.Duration) {
	for id, start := range o.starts {
		listed := listedAt.After(start.until)
		if start.underWay == 0 && (listed || now.After(start.until.Add(lease))) {
			delete(o.starts, id)
		}
	}
}

// anyStart reports whether a start is open.
func (o *openOrders) anyStart(now time.Time) bool {
	for _, start := range o.starts {
		if start.open(now) {
			return true
		}
	}
	return false
}

// openStarts lists the open starts for a poll. The lock must be held.
func (r *Runner) openStarts(now time.Time) []assignment.OpenStart {
	lease := r.longestLateLease()
	r.open.close(now, r.present.listedAt, lease)
	var starts []assignment.OpenStart
	for id, start := range r.open.starts {
		until := start.until
		if start.underWay > 0 {
			until = now.Add(assignment.MaxOrderDelay)
		}
		starts = append(starts, assignment.OpenStart{
			RunID:      id,
			OpenMillis: until.Add(lease).Sub(now).Milliseconds(),
		})
	}
	return starts
}

// longestLateLease bounds for how long after the delay of a late start what it began runs without
// being listed: a sync that was sent before the worker became unresponsive may be late too, and
// extend the lease once more.
func (r *Runner) longestLateLease() time.Duration {
	lease := time.Duration(float64(r.settings.Lease) * (1 + r.settings.Drift))
	return unresponsiveAfter + lease + expiryMargin
}

// sharesInstance reports whether a later incarnation of the worker may have the instance of the
// present one. The lock must be held.
func (r *Runner) sharesInstance() bool { return r.worker != nil && r.worker.ID.StartMillis != 0 }
