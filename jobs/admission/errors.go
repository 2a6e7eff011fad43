package admission

import (
	"errors"
	"fmt"
	"time"
)

// Errors of calls. After any other error the outcome of the call is unknown.
var (
	// ErrNotReady is returned if the call had no effect and should be retried later. Every
	// NotReady matches it.
	ErrNotReady = errors.New("not ready; retry")
	// ErrUnknownQueue is returned if no queue of the configuration matches the host and path.
	ErrUnknownQueue = errors.New("no such queue")
	// ErrUnknownKey is returned if no team of the configuration has the key.
	ErrUnknownKey = errors.New("no such key")
	// ErrUnknownJob is returned if the job never existed or no longer exists.
	ErrUnknownJob = errors.New("no such job")
	// ErrUncertain is returned if the call may have taken effect, or may still do so. The same
	// call can safely be retried.
	ErrUncertain = errors.New("no answer from the log; the same call may be retried")
)

// NotReady is the rejection of a call that had no effect, with the delay after which to retry.
type NotReady struct {
	Reason     string
	RetryAfter time.Duration
	// Err is the cause, if there is one.
	Err error
}

// Error implements error.
func (e *NotReady) Error() string {
	text := fmt.Sprintf("%v in %v: %s", ErrNotReady, e.RetryAfter, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotReady) Unwrap() error { return e.Err }

// Is makes every NotReady match ErrNotReady.
func (e *NotReady) Is(target error) bool { return target == ErrNotReady }

// Limits of the retry delay that is sent to a rejected caller, in whole seconds. A caller gives up
// after about three seconds in total, so it would not retry after a delay longer than
// maxRetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
)

// retryAfter returns the retry delay if the local state was last confirmed current at syncedAt. The
// delay grows with the age of the state, because an outage is likely to continue for as long as it
// has already lasted.
func retryAfter(syncedAt time.Time) time.Duration {
	if syncedAt.IsZero() {
		return minRetryAfter
	}
	return min(max(time.Since(syncedAt).Round(time.Second), minRetryAfter), maxRetryAfter)
}

// notReady returns the rejection of a call that had no effect.
func (s *Service) notReady(reason string, err error) *NotReady {
	oldest := s.dependencies.Replica.SyncedAt()
	if _, syncedAt := s.dependencies.Catalog.Current(); syncedAt.Before(oldest) {
		oldest = syncedAt
	}
	return &NotReady{Reason: reason, RetryAfter: retryAfter(oldest), Err: err}
}
