package leader

import (
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/dispatch"
	"yarrowgrade.example/yarrowgrade/telemetry"
)

// metrics are a candidate's.
type metrics struct {
	terms telemetry.Counters[string]
	// passTime is that of a round of the leading goroutine.
	passTime tally.Histogram
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
		dispatch: dispatch.NewMetrics(scope),
	}
}
