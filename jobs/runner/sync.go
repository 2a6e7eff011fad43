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

// syncLoop synchronizes with the worker continuously. An answer arrives as soon as a run ends.
func (r *Runner) syncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.syncOnce(ctx, r.nextWait()) {
			r.fenceUnregistered(ctx)
			pause.For(ctx, retryPause)
		}
	}
}

// nextWait returns how long the next sync may wait for an end. After a failure it does not wait, so
// that a restart of the worker is detected immediately.
func (r *Runner) nextWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present.contact.failingSince.IsZero() {
		return 0
	}
	return syncWait
}

// extendLoop synchronizes, without waiting for an end, when the leader has granted a longer lease
// or stored ends.
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

// pendingSync is a sync in flight, with the state at the time when it was sent.
type pendingSync struct {
	syncCall
	at         time.Time
	generation int
	// tracked is set if the sync is recorded among the open orders.
	tracked bool
	// running holds the runs that were running.
	running map[assignment.RunID]bool
}

// syncOnce makes one sync and applies its answer. It returns false if the sync failed.
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

// prepareSync returns the arguments of a sync, and false if there is no worker or no fence.
func (r *Runner) prepareSync(wait time.Duration) (pendingSync, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	order, ok := r.order()
	until, _ := r.leaseDeadline(now)
	call := syncCall{order: order, until: until, wait: wait}
	if ok {
		call.forget = r.forgetUpTo(now)
	}
	tracked := call.forget > 0 && r.sharesInstance()
	if tracked {
		// A shorter call is less likely to get no answer.
		call.wait = 0
		r.open.forgetSent(order.Incarnation.Instance)
	}
	running := r.present.runs.running()
	return pendingSync{syncCall: call, at: now, generation: r.generation, tracked: tracked, running: running}, ok
}

// forgetUpTo returns the highest number of the ends that the worker may forget. It is zero once the
// worker has forgotten them, and while syncs fail: a new incarnation would drop ends that have not
// been read. It is also zero while a start is open, because the next incarnation might carry out
// both calls. The lock must be held.
func (r *Runner) forgetUpTo(now time.Time) int64 {
	ends := &r.present.ends
	if ends.acked == ends.forgotten || !r.present.contact.failingSince.IsZero() {
		return 0
	}
	if r.open.anyStart(now) {
		return 0
	}
	return ends.acked
}

// signalForget triggers a sync that lets the worker forget ends, after the return of a start that
// had delayed it. The lock must be held.
func (r *Runner) signalForget() {
	if r.forgetUpTo(time.Now()) > 0 {
		signal(r.extend)
	}
}

// applySync applies the answer to a sync. It returns false if the call failed.
func (r *Runner) applySync(call pendingSync, list Listing, clock int64, err error) bool {
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
		r.recordFenced(call.order, clock)
		return false
	case err != nil:
		r.recordFailure(err)
		r.abandonRuns(time.Now())
		return false
	}
	firstReading := r.present.clock.readAt.IsZero()
	r.recordClock(clock)
	r.present.ends.forgotten = max(r.present.ends.forgotten, call.forget)
	if call.order.Fence != r.orderFence() {
		return true
	}
	if firstReading {
		// A lease can be granted only now that the worker's clock is known.
		signal(r.extend)
	}
	r.applyListing(list, call.at, call.running)
	return true
}
