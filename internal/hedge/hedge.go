// Package hedge makes calls to a service that may be slow, lose answers, or be away: when a try gets no answer within the
// usual time, the next one begins beside it, and the first answer counts. It is for calls that do no harm when they are
// carried out twice.
//
// A try that has begun is not given up when the next one begins: a service that is merely slow answers the first one, and
// giving it up would only add load.
//
// # Usage
//
//	latency := hedge.NewLatency()
//	calls := hedge.Calls[int64]{Way: append, After: latency.Patience, Limit: 3 * time.Second}
//	offset, err := calls.Do(ctx)
package hedge

import (
	"context"
	"time"
)

// Call is one call that is tried as often as it takes.
type Call[T any] struct {
	// Attempt makes a try; tries count from 0.
	Attempt func(ctx context.Context, try int) (T, error)
	// HedgeAfter is how long a try may go without an answer until the next one begins beside it.
	HedgeAfter func(try int) time.Duration
	// RetryDelay is how long after a failed try the next one begins.
	RetryDelay time.Duration
	// Timeout bounds one try.
	Timeout time.Duration
	// MaxAttempts bounds the number of tries; zero is no bound.
	MaxAttempts int
	// IsPermanent reports whether an error makes further tries useless. Nil is never.
	IsPermanent func(error) bool
	// MergeErrors chooses between the errors of two tries, when all have failed. Nil takes the later one.
	MergeErrors func(earlier, later error) error
}

// outcome is what came of a try.
type outcome[T any] struct {
	value T
	err   error
}

// Do returns the first answer, or the error of a final one, or when all tries have failed the worst error. When ctx ends
// first it returns the cause.
func (c Call[T]) Do(ctx context.Context) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome[T])
	next := time.NewTimer(0)
	defer next.Stop()
	var failed error
	for begun, open := 0, 0; ; {
		select {
		case <-next.C:
			if c.MaxAttempts > 0 && begun == c.MaxAttempts {
				continue
			}
			go c.try(ctx, begun, results)
			next.Reset(c.HedgeAfter(begun))
			begun++
			open++
		case r := <-results:
			open--
			if r.err == nil || c.IsPermanent != nil && c.IsPermanent(r.err) {
				return r.value, r.err
			}
			failed = c.worse(failed, r.err)
			if begun == c.MaxAttempts && open == 0 {
				return r.value, failed
			}
			next.Reset(c.RetryDelay)
		case <-ctx.Done():
			var none T
			return none, context.Cause(ctx)
		}
	}
}

// try makes one try and hands its outcome over, unless nobody waits for it any more.
func (c Call[T]) try(ctx context.Context, number int, results chan<- outcome[T]) {
	attempt, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	value, err := c.Attempt(attempt, number)
	select {
	case results <- outcome[T]{value: value, err: err}:
	case <-ctx.Done():
	}
}

func (c Call[T]) worse(earlier, later error) error {
	if earlier == nil || c.MergeErrors == nil {
		return later
	}
	return c.MergeErrors(earlier, later)
}
