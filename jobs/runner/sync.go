package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// syncWait is how long a worker holds a sync while no run ends.
const syncWait = time.Second

// syncLoop synchronizes with the worker again and again; an answer comes as soon as a run ends.
func (r *Runner) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.syncOnce(ctx, r.nextWait()) {
			r.fenceUnregistered(ctx)
			pause.For(ctx, retryPause)
		}
	}
}

// nextWait is how long the next sync may wait for an end. After a failure it doesn't wait,
// so that it is known at once whether the worker has restarted.
func (r *Runner) nextWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present.contact.failingSince.IsZero() {
		return 0
	}
	return syncWait
}

// extendLoop synchronizes when the leader has granted a longer lease or stored ends, without
// waiting for an end.
func (r *Runner) extendLoop(ctx context.Context) {
	for {
		select {
		case <-r.extend:
		case <-ctx.Done():
			return
		}
		if !r.syncOnce(ctx, 0) {
			pause.For(ctx, retryPause)
			r.mu.Lock()
			again := r.worker != nil
			r.mu.Unlock()
			if again {
				signal(r.extend)
			}
		}
	}
}

// syncSent is a sync under way, with what was known when it was sent.
type syncSent struct {
	syncCall
	at         time.Time
	generation int
	// tracked is set if the sync is kept among the open orders.
	tracked bool
	// running are the runs that were running.
	running map[assignment.RunID]bool
}

// syncOnce makes one sync and applies its answer. It returns false if that failed.
func (r *Runner) syncOnce(ctx context.Context, wait time.Duration) bool {
	call, ok := r.prepareSync(wait)
	if !ok {
		return false
	}
	attempt, cancel := context.WithTimeout(ctx, callTimeout+call.wait)
	defer cancel()
	list, clock, err := r.sync(attempt, call.syncCall)
	r.metrics.syncs.Inc(outcomeOf(err))
	return r.applySync(call, list, clock, err)
}

// prepareSync returns what a sync brings, and false if there is nothing to call with.
func (r *Runner) prepareSync(wait time.Duration) (syncSent, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	order, ok := r.order()
	until, _ := r.leaseDeadline(now)
	call := syncCall{order: order, until: until, wait: wait}
	if ok {
		call.forget = r.toForget(now)
	}
	tracked := call.forget > 0 && r.sharesInstance()
	if tracked {
		// The shorter the call, the less often it gets no answer.
		call.wait = 0
		r.open.forgetSent(order.Incarnation.Instance)
	}
	running := r.present.runs.running()
	return syncSent{syncCall: call, at: now, generation: r.generation, tracked: tracked, running: running}, ok
}

// toForget is up to which end the worker may forget its ends. It is zero once the worker has
// forgotten them, and while it gives no answer: an incarnation that has just followed would
// drop ends that nobody has read. It is zero too while a start is open: the next incarnation
// might carry out both. The lock must be held.
func (r *Runner) toForget(now time.Time) int64 {
	ends := &r.present.ends
	if ends.acked == ends.forgotten || !r.present.contact.failingSince.IsZero() {
		return 0
	}
	if r.open.anyStart(now) {
		return 0
	}
	return ends.acked
}

// forgetHeldBack has the worker forget ends after a start has returned that held this up. The
// lock must be held.
func (r *Runner) forgetHeldBack() {
	if r.toForget(time.Now()) > 0 {
		signal(r.extend)
	}
}

// applySync applies the answer to a sync. It returns false if the call failed.
func (r *Runner) applySync(call syncSent, list Listing, clock int64, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if call.tracked {
		r.open.forgetReturned(call.order.Incarnation.Instance, time.Now(), err == nil || notApplied(err))
	}
	if call.generation != r.generation {
		return true
	}
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		r.endIncarnation(err)
		return false
	case errors.Is(err, ErrFenced):
		r.noteFenced(call.order, clock)
		return false
	case err != nil:
		r.noteFailing(err)
		r.abandonRuns(time.Now())
		return false
	}
	firstReading := r.present.clock.readAt.IsZero()
	r.noteClock(clock)
	r.present.ends.forgotten = max(r.present.ends.forgotten, call.forget)
	if call.order.Fence != r.orderFence() {
		return true
	}
	if firstReading {
		// Only now that the worker's clock is known can a lease be given.
		signal(r.extend)
	}
	r.takeList(list, call.running)
	if call.at.After(r.present.listedAt) {
		r.present.listedAt = call.at
	}
	return true
}
