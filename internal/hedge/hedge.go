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

// Calls is one call that is tried as often as it takes.
type Calls[T any] struct {
	// Way makes a try; tries count from 0.
	Way func(ctx context.Context, try int) (T, error)
	// After is how long a try may go without an answer until the next one begins beside it.
	After func(try int) time.Duration
	// Pause is how long after a failed try the next one begins.
	Pause time.Duration
	// Limit bounds one try.
	Limit time.Duration
	// Tries bounds the number of tries; zero is no bound.
	Tries int
	// Final reports whether an error makes further tries useless. Nil is never.
	Final func(error) bool
	// Worse chooses between the errors of two tries, when all have failed. Nil takes the later one.
	Worse func(earlier, later error) error
}

// outcome is what came of a try.
type outcome[T any] struct {
	value T
	err   error
}

// Do returns the first answer, or the error of a final one, or when all tries have failed the worst error. When ctx ends
// first it returns the cause.
func (c Calls[T]) Do(ctx context.Context) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome[T])
	next := time.NewTimer(0)
	defer next.Stop()
	var failed error
	for begun, open := 0, 0; ; {
		select {
		case <-next.C:
			if c.Tries > 0 && begun == c.Tries {
				continue
			}
			go c.try(ctx, begun, results)
			next.Reset(c.After(begun))
			begun++
			open++
		case r := <-results:
			open--
			if r.err == nil || c.Final != nil && c.Final(r.err) {
				return r.value, r.err
			}
			failed = c.worse(failed, r.err)
			if begun == c.Tries && open == 0 {
				return r.value, failed
			}
			next.Reset(c.Pause)
		case <-ctx.Done():
			var none T
			return none, context.Cause(ctx)
		}
	}
}

// try makes one try and hands its outcome over, unless nobody waits for it any more.
func (c Calls[T]) try(ctx context.Context, number int, results chan<- outcome[T]) {
	attempt, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	value, err := c.Way(attempt, number)
	select {
	case results <- outcome[T]{value: value, err: err}:
	case <-ctx.Done():
	}
}

func (c Calls[T]) worse(earlier, later error) error {
	if earlier == nil || c.Worse == nil {
		return later
	}
	return c.Worse(earlier, later)
}
