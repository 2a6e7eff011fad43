package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Order is what comes with each call to a worker. The call names only the instance of the
// incarnation that it is meant for, so a later incarnation of that instance may carry it out,
// which has seen no fence yet.
type Order struct {
	Incarnation incarnation.ID
	Fence       int64
}

// Listing is a worker's list of its runs and of the ends that are not forgotten.
type Listing struct {
	// StartMillis identifies the incarnation that made the list; see incarnation.ID.
	StartMillis int64
	Runs        []assignment.Run
	Ends        []assignment.End
	// Unreadable has an error for each row that could not be read. A run that is not listed may
	// be in one of them.
	Unreadable []error
}

// whole reports whether what is not listed is not there.
func (l Listing) whole() bool { return len(l.Unreadable) == 0 }

// Worker is the worker on the agent's box. Times are by its own clock, in milliseconds: each
// answer carries the clock, and leases end by it.
type Worker interface {
	// Start starts a run, with a lease until then. After an error other than those below the
	// run may have been started, or may still be.
	Start(ctx context.Context, o Order, s assignment.Start, until int64) (clock int64, err error)
	// Stop stops a run, and makes sure that it never starts if it has not.
	Stop(ctx context.Context, o Order, id assignment.RunID) (clock int64, err error)
	// Throttle lets a run work at a share of its speed, in percent.
	Throttle(ctx context.Context, o Order, id assignment.RunID, percent int) (clock int64, err error)
	// Sync extends the lease of all runs, forgets the ends up to a number, and lists the others
	// and the runs. It waits for an end, up to wait. With an until of zero no lease is
	// extended.
	Sync(ctx context.Context, o Order, until, forget int64, wait time.Duration) (list Listing, clock int64, err error)
}

// Refusals of a worker.
var (
	// ErrOtherIncarnation is returned by a worker that has another instance, or has restarted
	// under its instance.
	ErrOtherIncarnation = errors.New("the worker is in another incarnation")
	// ErrFenced is returned by a worker that has seen a higher fence.
	ErrFenced = errors.New("the worker has seen a higher fence")
	// ErrAlreadyRan is returned if the run, or a later one of its task, has been on the worker.
	ErrAlreadyRan = errors.New("the run has already been on the worker")
	// ErrLeaseOver is returned if the lease of the order was over.
	ErrLeaseOver = errors.New("the lease of the order is over")
	// ErrNoCapacity is returned if the run does not fit.
	ErrNoCapacity = errors.New("the run does not fit")
	// ErrUnavailable is returned by a worker that carries out nothing at present.
	ErrUnavailable = errors.New("the worker is unavailable")
	// ErrRejected is returned if the worker will never carry the order out as it is.
	ErrRejected = errors.New("the worker rejects the order")
)

// notApplied reports whether a start that failed was surely not carried out.
func notApplied(err error) bool {
	refusals := []error{ErrOtherIncarnation, ErrFenced, ErrLeaseOver, ErrNoCapacity, ErrUnavailable, ErrRejected}
	return fault.NotReached(err) || isAny(err, refusals)
}

// isAny reports whether err is one of the targets.
func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// restartedError is returned if the worker's list shows that it has restarted under its instance.
type restartedError struct{ present incarnation.ID }

// Error implements error.
func (e *restartedError) Error() string { return "the worker has restarted under its instance" }

// Is makes it an ErrOtherIncarnation.
func (*restartedError) Is(target error) bool { return target == ErrOtherIncarnation }

// syncCall is what a sync asks of the worker.
type syncCall struct {
	order Order
	// until is the end of the lease by the worker's clock, in milliseconds; zero extends nothing.
	until int64
	// forget is up to which end the worker drops its ends; zero drops none.
	forget int64
	wait   time.Duration
}

// sync calls the worker's Sync, and checks that the incarnation that is meant has made the
// list. The call can't name it. Taken for the former one, a new incarnation, which counts its
// ends from 1 again, would have them dropped unread.
func (r *Runner) sync(ctx context.Context, c syncCall) (Listing, int64, error) {
	meant := c.order.Incarnation
	list, clock, err := r.dependencies.Worker.Sync(ctx, c.order, c.until, c.forget, c.wait)
	if err == nil && list.StartMillis != meant.StartMillis {
		present := incarnation.ID{Instance: meant.Instance, StartMillis: list.StartMillis}
		return Listing{}, 0, &restartedError{present: present}
	}
	return list, clock, err
}
