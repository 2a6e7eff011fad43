// Package hedge makes hedged calls to a service that may be slow, lose responses or be down. If an
// attempt gets no response within the usual time, another attempt is started in parallel, and the
// first response is used. Only idempotent calls may be hedged.
//
// Earlier attempts continue when the next one starts, because a slow service may still respond to
// the first one, and cancelling it would only add load.
//
// The package holds no state other than the estimate in a Latency. It relies on the runtime's
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

// Call describes a call that is attempted until one attempt succeeds. Attempts are numbered from 0.
type Call[T any] struct {
	// Attempt makes one attempt.
	Attempt func(ctx context.Context, attempt int) (T, error)
	// HedgeAfter returns the time to wait for a response to an attempt before the next one is
	// started in parallel.
	HedgeAfter func(attempt int) time.Duration
	// RetryDelay is the delay between a failed attempt and the next one.
	RetryDelay time.Duration
	// Timeout is the timeout of each attempt.
	Timeout time.Duration
	// MaxAttempts is the maximum number of attempts; zero means no limit.
	MaxAttempts int
	// IsPermanent reports whether an error ends the call without further attempts. If it is nil, no
	// error does.
	IsPermanent func(error) bool
	// MergeErrors chooses between the errors of two attempts. If all attempts fail, Do returns the
	// chosen error. If MergeErrors is nil, the latest error is returned.
	MergeErrors func(earlier, later error) error
}

// result is the outcome of an attempt.
type result[T any] struct {
	value T
	err   error
}

// Do returns the value of the first successful attempt. It returns an error if an attempt fails
// with a permanent error, if all attempts have failed, or if ctx ends; the error is then the cause
// of ctx.
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

// run makes one attempt and sends its result, unless the call has ended.
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
