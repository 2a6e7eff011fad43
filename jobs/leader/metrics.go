package leader

import (
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// metrics are a candidate's.
type metrics struct {
	terms telemetry.Counters[string]
	// passTime is that of a round of the leading goroutine, workTime the part of it without its append.
	passTime, workTime tally.Histogram
	// looks counts how often a poll was compared with what is wanted: when it came, when it was held long enough, and when something was wanted anew.
	looks tally.Counter
	// dispatch are those of the decision; they move while this entry leads.
	dispatch *dispatch.Metrics
}

// Events of terms, as they are counted.
const (
	termBegun      = "taken"
	termLost       = "lost"
	termHandedOver = "handed_over"
)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		terms:    telemetry.NewCounters(scope, "terms", "event", termBegun, termLost, termHandedOver),
		passTime: telemetry.Times(scope, "pass_time"),
		workTime: telemetry.Times(scope, "pass_work_time"),
		looks:    scope.Counter("poll_looks"),
		dispatch: dispatch.NewMetrics(scope),
	}
}
