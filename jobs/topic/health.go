package topic

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// rejectedAfter is the number of consecutive errors after which the log is considered to reject
// this process. A single error may be the reset of one connection.
const rejectedAfter = 2

// health tracks whether the log responds, and logs when it stops responding and when it responds
// again.
type health struct {
	topic  string
	logger zerolog.Logger

	failures     int
	failingSince time.Time
	// errors counts consecutive attempts that ended with an error other than a timeout. Other
	// goroutines read it.
	errors atomic.Int64
}

// attemptFailed records an attempt that ended with an error.
func (h *health) attemptFailed(ctx context.Context, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		h.errors.Add(1)
	}
	h.failed(ctx, err)
}

// failed records a failure, and logs the first of consecutive ones.
func (h *health) failed(ctx context.Context, err error) {
	h.failures++
	if h.failures > 1 || ctx.Err() != nil {
		return
	}
	h.failingSince = time.Now()
	h.logger.Warn().Str("step", "jobstore.read").Str("topic", h.topic).Err(err).Msg("the log does not answer")
}

// succeeded records a response.
func (h *health) succeeded() {
	h.errors.Store(0)
	if h.failures == 0 {
		return
	}
	h.logger.Info().Str("step", "jobstore.read").Str("topic", h.topic).Int("failures", h.failures).
		Dur("away_ms", time.Since(h.failingSince)).Msg("the log answers again")
	h.failures = 0
}

// rejected reports whether the log rejects this process.
func (h *health) rejected() bool { return h.errors.Load() >= rejectedAfter }
