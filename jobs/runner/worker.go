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

// Order holds the incarnation for which a call to a worker is meant, and the fence of the call. The
// call names only the instance of the incarnation, so a later incarnation with the same instance,
// which has seen no fence yet, may carry it out.
type Order struct {
	Incarnation incarnation.ID
	Fence       int64
}

// Listing is a worker's list of its runs and of the ends that it has not been asked to forget.
type Listing struct {
	// StartMillis identifies the incarnation that made the list; see incarnation.ID.
	StartMillis int64
	Runs        []assignment.Run
	// Ends holds the ends with the lowest numbers. The worker limits how many it lists at a time;
	// runs are never omitted.
	Ends []assignment.End
	// EndsOmitted is set if the worker may have more ends than Ends contains.
	EndsOmitted bool
	// Unreadable contains an error for each row that could not be read. A run that is missing from
	// the list may be in one of these rows.
	Unreadable []error
}

// readable reports whether all rows could be read, so that a run that is missing from Runs is not
// running. It may still have an end that is not listed.
func (l Listing) readable() bool { return len(l.Unreadable) == 0 }

// showsAll reports whether the list shows everything that the worker holds, so that a run that is
// neither in Runs nor in Ends has not started, or its end was forgotten. Whatever follows from the
// absence of a run must follow from such a list.
func (l Listing) showsAll() bool { return l.readable() && !l.EndsOmitted }

// Worker is the worker on the agent's box. Times are in milliseconds by the worker's clock: each
// answer carries its reading, and leases end by it.
type Worker interface {
	// Start starts a run, with a lease until the given time. After an error other than those below,
	// the run may have been started, or may still be started.
	Start(ctx context.Context, o Order, s assignment.Start, until int64) (clock int64, err error)
	// Stop stops a run, and ensures that it never starts if it has not started.
	Stop(ctx context.Context, o Order, id assignment.RunID) (clock int64, err error)
	// Throttle limits a run to a share of its speed, in percent.
	Throttle(ctx context.Context, o Order, id assignment.RunID, percent int) (clock int64, err error)
	// Sync extends the lease of all runs, forgets the ends up to a number, and lists the remaining
	// ends and the runs. It waits for an end, for at most the given time. If until is zero, no
	// lease is extended.
	Sync(ctx context.Context, o Order, until, forget int64, wait time.Duration) (list Listing, clock int64, err error)
}

// Errors with which a worker refuses a call.
var (
	// ErrOtherIncarnation is returned by a worker that has another instance, or has restarted with
	// the same instance.
	ErrOtherIncarnation = errors.New("the worker is in another incarnation")
	// ErrFenced is returned by a worker that has seen a higher fence.
	ErrFenced = errors.New("the worker has seen a higher fence")
	// ErrAlreadyRan is returned if the run, or a later run of its task, has been on the worker.
	ErrAlreadyRan = errors.New("the run has already been on the worker")
	// ErrLeaseExpired is returned if the lease of the order has expired.
	ErrLeaseExpired = errors.New("the lease of the order has expired")
	// ErrNoCapacity is returned if the run does not fit.
	ErrNoCapacity = errors.New("the run does not fit")
	// ErrUnavailable is returned by a worker that carries out no orders at present.
	ErrUnavailable = errors.New("the worker is unavailable")
	// ErrRejected is returned if the worker will never carry out the order as it is.
	ErrRejected = errors.New("the worker rejects the order")
)

// notApplied reports whether a call that failed is certain not to have been carried out.
func notApplied(err error) bool {
	refusals := []error{ErrOtherIncarnation, ErrFenced, ErrLeaseExpired, ErrNoCapacity, ErrUnavailable, ErrRejected}
	return fault.IsNotSent(err) || isAny(err, refusals)
}

// isAny reports whether err is one of the targets.
func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// restartedError is returned if the worker's list shows that it has restarted with the same
// instance.
type restartedError struct{ present incarnation.ID }

// Error implements error.
func (e *restartedError) Error() string { return "the worker has restarted under its instance" }

// Is makes the error match ErrOtherIncarnation.
func (*restartedError) Is(target error) bool { return target == ErrOtherIncarnation }

// syncCall holds the arguments of a sync.
type syncCall struct {
	order Order
	// until is the end of the lease by the worker's clock, in milliseconds; zero extends nothing.
	until int64
	// forget is the highest number of the ends that the worker drops; zero drops none.
	forget int64
	wait   time.Duration
}

// sync calls the worker's Sync, and checks that the list comes from the expected incarnation, which
// the call cannot name. A new incarnation counts its ends from 1 again; mistaken for the former
// one, it would be made to drop them unread.
func (r *Runner) sync(ctx context.Context, c syncCall) (Listing, int64, error) {
	expected := c.order.Incarnation
	list, clock, err := r.dependencies.Worker.Sync(ctx, c.order, c.until, c.forget, c.wait)
	if err == nil && list.StartMillis != expected.StartMillis {
		present := incarnation.ID{Instance: expected.Instance, StartMillis: list.StartMillis}
		return Listing{}, 0, &restartedError{present: present}
	}
	return list, clock, err
}
