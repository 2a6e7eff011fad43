package leader

import (
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// metrics are a candidate's.
type metrics struct {
	terms telemetry.Counters[string]
	// passTime is the time of a decision, workTime the part of it outside its append.
	passTime, workTime tally.Histogram
	// pollAnswers counts the answers that were made to polls, also those that were not sent
	// because the poll was held on.
	pollAnswers tally.Counter
	dispatch    *dispatch.Metrics
}

// Values of the label "event" of the counter "terms".
const (
	termBegun      = "taken"
	termLost       = "lost"
	termHandedOver = "handed_over"
)

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		terms:       telemetry.NewCounters(scope, "terms", "event", termBegun, termLost, termHandedOver),
		passTime:    telemetry.Times(scope, "pass_time"),
		workTime:    telemetry.Times(scope, "pass_work_time"),
		pollAnswers: scope.Counter("poll_looks"),
		dispatch:    dispatch.NewMetrics(scope),
	}
}
