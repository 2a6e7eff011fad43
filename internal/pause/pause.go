// Package pause waits for a given duration or until a context ends. It holds no state.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		poll()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still active. It returns early when ctx ends, and
// immediately if d is zero or negative.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
