package leader

import (
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// metrics are the metrics of a candidate.
type metrics struct {
	terms telemetry.Counters[string]
	// passTime is the duration of a decision. workTime is the part of it that excludes the append.
	passTime, workTime tally.Histogram
	// pollAnswers counts the answers computed for polls, including those not sent because the poll
	// was held further.
	pollAnswers tally.Counter
	dispatch    *dispatch.Metrics
}

// Values of the "event" label of the "terms" counter.
const (
	termBegun      = "taken"
	termLost       = "lost"
	termHandedOver = "handed_over"
)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		terms:       telemetry.NewCounters(scope, "terms", "event", termBegun, termLost, termHandedOver),
		passTime:    telemetry.NewDurationHistogram(scope, "pass_time"),
		workTime:    telemetry.NewDurationHistogram(scope, "pass_work_time"),
		pollAnswers: scope.Counter("poll_looks"),
		dispatch:    dispatch.NewMetrics(scope),
	}
}
