// Package pause waits for a while, or until a context ends.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		look()
//	}
package pause

import (
	"context"
	"time"
)

// For waits that long, and reports whether ctx goes on. It returns early when ctx ends, and at once for a time of zero or less.
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
