// Package hedge makes hedged calls to a service that may be slow, lose answers or be down: an
// attempt without an answer within the usual time is followed by another one in parallel, and the
// first answer counts. It is only for calls that may be carried out twice without harm.
//
// Earlier attempts go on when the next one starts: a service that is merely slow answers the first
// one, and cancelling it would only add load.
//
// The package keeps no state but the latency estimate of a Latency, and relies on the runtime's
// clock.
//
// # Usage
//
//	latency := hedge.NewLatency()
//	call := hedge.Call[int64]{
//		Attempt:    append,
//		HedgeAfter: latency.HedgeDelay,
//		Timeout:    3 * time.Second,
//	}
//	offset, err := call.Do(ctx)
package hedge

import (
	"context"
	"time"
)

// Call is a call that is attempted until one attempt succeeds. Attempts are numbered from 0.
type Call[T any] struct {
	// Attempt makes one attempt.
	Attempt func(ctx context.Context, attempt int) (T, error)
	// HedgeAfter returns how long an attempt may go unanswered before the next one starts in
	// parallel.
	HedgeAfter func(attempt int) time.Duration
	// RetryDelay is the delay between a failed attempt and the next one.
	RetryDelay time.Duration
	// Timeout bounds each attempt.
	Timeout time.Duration
	// MaxAttempts bounds the number of attempts; zero means no bound.
	MaxAttempts int
	// IsPermanent reports whether an error ends the call. Nil means that no error does.
	IsPermanent func(error) bool
	// MergeErrors chooses between the errors of two attempts, for the error of a call whose
	// attempts have all failed. Nil chooses the later one.
	MergeErrors func(earlier, later error) error
}

// result is the outcome of an attempt.
type result[T any] struct {
	value T
	err   error
}

// Do returns the first answer. It returns an error when one is permanent, when all attempts have
// failed, or when ctx ends, which is reported by its cause.
func (c Call[T]) Do(ctx context.Context) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T])
	next := time.NewTimer(0)
	defer next.Stop()
	var failed error
	for started, running := 0, 0; ; {
		select {
		case <-next.C:
			if c.MaxAttempts > 0 && started == c.MaxAttempts {
				continue
			}
			go c.run(ctx, started, results)
			next.Reset(c.HedgeAfter(started))
			started++
			running++
		case r := <-results:
			running--
			if r.err == nil || c.isPermanent(r.err) {
				return r.value, r.err
			}
			failed = c.mergeErrors(failed, r.err)
			if started == c.MaxAttempts && running == 0 {
				return r.value, failed
			}
			next.Reset(c.RetryDelay)
		case <-ctx.Done():
			var none T
			return none, context.Cause(ctx)
		}
	}
}

// run makes one attempt and delivers its result, unless the call has ended.
func (c Call[T]) run(ctx context.Context, attempt int, results chan<- result[T]) {
	bounded, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	value, err := c.Attempt(bounded, attempt)
	select {
	case results <- result[T]{value: value, err: err}:
	case <-ctx.Done():
	}
}

func (c Call[T]) isPermanent(err error) bool { return c.IsPermanent != nil && c.IsPermanent(err) }

func (c Call[T]) mergeErrors(earlier, later error) error {
	if earlier == nil || c.MergeErrors == nil {
		return later
	}
	return c.MergeErrors(earlier, later)
}
