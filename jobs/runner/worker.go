// Package runner is the agent's side of jobs: it keeps one worker running what the leader wants.
//
// A Runner polls the leader (see package assignment), starts and stops runs on its worker, keeps them alive by a lease
// that is never longer than the one the leader gave, reports what runs and what has ended, and tells the worker to
// forget an end only when the leader has kept it. It decides nothing: after a restart it knows nothing, and learns
// all from the worker and the leader.
//
// Every order carries a fence, which rises with each life of an agent and each term of a leader, so what an earlier
// agent had under way has no effect once the worker has heard of the new one.
//
// # Usage
//
//	r := runner.New(settings, parts)
//	go r.Run(ctx)
//	r.Heartbeat(ctx, life)          // from the worker, about every second
package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Order is what comes with each call to a worker: the life it is meant for and the fence. The call names the life's instance only, so it may be
// carried out by a later start under the same id, which has seen no fence yet.
type Order struct {
	Incarnation incarnation.ID
	Fence       int64
}

// Listing is what a worker says of itself.
type Listing struct {
	// StartMillis is when the worker that made the list started; see incarnation.ID.
	StartMillis int64
	Runs        []assignment.Run
	Ends        []assignment.End
	// Unreadable says what of the list could not be read. A run that a list with such parts does not name may still be there.
	Unreadable []error
}

// whole reports whether what the list does not name is not there.
func (l Listing) whole() bool { return len(l.Unreadable) == 0 }

// Worker is the worker beside the agent. Times are by the worker's own clock, in milliseconds: each answer tells it, and
// a lease ends at such a time.
type Worker interface {
	// Start starts a run. After an error other than those below it may have been started, or may still be.
	Start(ctx context.Context, o Order, s assignment.Start, until int64) (clock int64, err error)
	// Stop stops a run, and makes sure that it never starts if it has not.
	Stop(ctx context.Context, o Order, id assignment.RunID) (clock int64, err error)
	// Throttle lets a run work, and disturb others, at a share of its speed in percent.
	Throttle(ctx context.Context, o Order, id assignment.RunID, percent int) (clock int64, err error)
	// Sync extends the lease of all runs, forgets the ends up to seen, and lists the rest. It waits for an end up to wait.
	// An until of zero extends nothing.
	Sync(ctx context.Context, o Order, until, seen int64, wait time.Duration) (Listing, int64, error)
}

// What a worker may answer.
var (
	// ErrOtherIncarnation says that the worker is in another life, and has another id.
	ErrOtherIncarnation = errors.New("the worker is in another life")
	// ErrFenced says that the worker has heard of a higher fence.
	ErrFenced = errors.New("the worker has heard of a higher fence")
	// ErrAlreadyRan says that the run, or a later one, has been there.
	ErrAlreadyRan = errors.New("the run has been there")
	// ErrLeaseOver says that the lease of the order was over.
	ErrLeaseOver = errors.New("the lease of the order was over")
	// ErrNoCapacity says that the run does not fit.
	ErrNoCapacity = errors.New("there is no room")
	// ErrUnavailable says that the worker did nothing, because it is not well.
	ErrUnavailable = errors.New("the worker did nothing")
	// ErrRejected says that the worker will never start it as it is.
	ErrRejected = errors.New("the worker rejects the order")
)

// otherStartError says that the worker has started again under its id: its list says so.
type otherStartError struct{ present incarnation.ID }

// Error implements error.
func (e *otherStartError) Error() string {
	return "the worker has started again under the id that it had"
}

// Is says that it is a case of ErrOtherLife.
func (*otherStartError) Is(target error) bool { return target == ErrOtherIncarnation }

// hold calls the worker's Hold, and checks that the start that is meant has made the list. The call can't name it, and the new start, which knows nothing of
// what was read of the former one, must not be taken for it: ends that it counted from 1 again were passed over, and tasks that were
// done ran once more (16 of 30 drawn days of jobtest).
func (r *Runner) hold(ctx context.Context, o Order, until, seen int64, wait time.Duration) (Listing, int64, error) {
	listing, clock, err := r.parts.Worker.Sync(ctx, o, until, seen, wait)
	if err == nil && listing.StartMillis != o.Incarnation.StartMillis {
		return Listing{}, 0, &otherStartError{present: incarnation.ID{Instance: o.Incarnation.Instance, StartMillis: listing.StartMillis}}
	}
	return listing, clock, err
}
