package admission

import (
	"errors"
	"fmt"
	"time"
)

// Refusals of calls. Any other error leaves open what became of the call.
var (
	// ErrNotReady is returned if nothing was done and the caller should come back. Each
	// NotReady is one.
	ErrNotReady = errors.New("not ready; come back")
	// ErrUnknownQueue is returned if no queue in force has the host and path.
	ErrUnknownQueue = errors.New("no such queue")
	// ErrUnknownKey is returned if no team in force has the key.
	ErrUnknownKey = errors.New("no such key")
	// ErrUnknownJob is returned if there is no such job, or none any more.
	ErrUnknownJob = errors.New("no such job")
	// ErrUncertain is returned if the call may have been carried out, or may still be. The same
	// call may be made again.
	ErrUncertain = errors.New("no answer from the log; the same call may be made again")
)

// NotReady is the refusal of a call that had no effect, with the time after which to
// come back.
type NotReady struct {
	Reason string
	After  time.Duration
	// Err is the cause, if there is one.
	Err error
}

// Error implements error.
func (e *NotReady) Error() string {
	text := fmt.Sprintf("%v in %v: %s", ErrNotReady, e.After, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotReady) Unwrap() error { return e.Err }

// Is makes each NotReady an ErrNotReady.
func (e *NotReady) Is(target error) bool { return target == ErrNotReady }

// Bounds of the time after which a refused caller is to come back, which is sent in whole
// seconds. A caller gives up after some three seconds in all, so one that is sent away for
// longer than maxRetryAfter has no second try.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
)

// retryAfter is when a caller is to come back if what is known was last proved current then: an
// outage that has lasted for a while is likely to last for as long again.
func retryAfter(current time.Time) time.Duration {
	if current.IsZero() {
		return minRetryAfter
	}
	return min(max(time.Since(current).Round(time.Second), minRetryAfter), maxRetryAfter)
}

// notReady is the refusal of a call that had no effect.
func (s *Service) notReady(reason string, err error) *NotReady {
	oldest := s.dependencies.Replica.SyncedAt()
	if _, proof := s.dependencies.Catalog.Current(); proof.Before(oldest) {
		oldest = proof
	}
	return &NotReady{Reason: reason, After: retryAfter(oldest), Err: err}
}
