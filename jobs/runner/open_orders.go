package runner

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// openOrders tracks the calls to the worker whose outcome is open: they are in flight, or got no
// answer and may still be carried out later. Within one incarnation this is harmless. A following
// incarnation with the same instance has seen no fence at first, so it carries out such calls too:
// it would start a run that has been given up in the meantime, or forget ends that have not been
// read.
//
// Therefore open starts are reported to the leader, which places no other run of their tasks until
// they are closed. In addition, a start and a sync that lets the worker forget ends are never open
// at the same time. Otherwise the run could start late and end, and its end could then be forgotten
// unread.
//
// Calls to a worker that does not report its start time are not tracked: each of its incarnations
// has its own instance, and refuses calls for other instances.
type openOrders struct {
	// instance is the instance that the calls name.
	instance string
	starts   map[assignment.RunID]openOrder
	forget   openOrder
}

// openOrder tracks the calls of one kind whose outcome may be open.
type openOrder struct {
	// underWay counts the calls in flight.
	underWay int
	// until is the time after which a call without an answer can no longer be carried out; zero if
	// every call was answered.
	until time.Time
}

// open reports whether a call is in flight or may still be carried out.
func (o openOrder) open(now time.Time) bool { return o.underWay > 0 || o.unanswered(now) }

// unanswered reports whether a call got no answer and may still be carried out.
func (o openOrder) unanswered(now time.Time) bool { return now.Before(o.until) }

// sent returns the order with one more call in flight.
func (o openOrder) sent() openOrder {
	o.underWay++
	return o
}

// returned returns the order with one call less in flight. answered reports whether the call got an
// answer.
func (o openOrder) returned(now time.Time, answered bool) openOrder {
	o.underWay--
	if !answered {
		o.until = now.Add(assignment.MaxOrderDelay)
	}
	return o
}

func newOpenOrders() openOrders { return openOrders{starts: map[assignment.RunID]openOrder{}} }

// switchTo sets the instance of the worker. Calls to any other instance can no longer take effect.
func (o *openOrders) switchTo(instance string) {
	if o.instance != instance {
		*o = newOpenOrders()
		o.instance = instance
	}
}

// startSent records that a start for an instance is in flight.
func (o *openOrders) startSent(instance string, id assignment.RunID) {
	o.switchTo(instance)
	o.starts[id] = o.starts[id].sent()
}

// startReturned records that a start for an instance has returned.
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

// forgetSent records that a sync that lets an instance forget ends is in flight.
func (o *openOrders) forgetSent(instance string) {
	o.switchTo(instance)
	o.forget = o.forget.sent()
}

// forgetReturned records that such a sync has returned.
func (o *openOrders) forgetReturned(instance string, now time.Time, answered bool) {
	if o.instance == instance {
		o.forget = o.forget.returned(now, answered)
	}
}

// close drops the starts whose outcome is settled. allListedAt is when the newest list was requested
// that shows everything that was carried out before. Without such a list, a run that was started
// late ends with its lease, which lasts at most the given duration.
func (o *openOrders) close(now, allListedAt time.Time, lease time.Duration) {
	for id, start := range o.starts {
		listed := allListedAt.After(start.until)
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
	r.open.close(now, r.present.allListedAt, lease)
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

// longestLateLease returns the longest time for which a run that was started late can go on without
// being listed, counted from the end of the start's maximum delay. A sync that was sent before the
// worker became unresponsive may be late too, and extend the lease once more.
func (r *Runner) longestLateLease() time.Duration {
	lease := time.Duration(float64(r.settings.Lease) * (1 + r.settings.Drift))
	return unresponsiveAfter + lease + expiryMargin
}

// sharesInstance reports whether a later incarnation of the worker may have the same instance as
// the present one. The lock must be held.
func (r *Runner) sharesInstance() bool { return r.worker != nil && r.worker.ID.StartMillis != 0 }
