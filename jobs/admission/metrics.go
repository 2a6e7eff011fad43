package admission

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
)

// outcome is the outcome of a call as a metric label.
type outcome string

const (
	outcomeDone         outcome = "done"
	outcomeNotReady     outcome = "not_ready"
	outcomeUnknownQueue outcome = "unknown_queue"
	outcomeUnknownKey   outcome = "unknown_key"
	outcomeUnknownJob   outcome = "unknown_job"
	outcomeBadInput     outcome = "bad_input"
	outcomeUncertain    outcome = "uncertain"
	outcomeOverloaded   outcome = "overloaded"
)

func outcomeOf(err error) outcome {
	var field *fault.Field
	var overloaded *Overloaded
	switch {
	case err == nil:
		return outcomeDone
	case errors.As(err, &overloaded):
		return outcomeOverloaded
	case errors.As(err, &field):
		return outcomeBadInput
	case errors.Is(err, ErrNotReady):
		return outcomeNotReady
	case errors.Is(err, ErrUnknownQueue):
		return outcomeUnknownQueue
	case errors.Is(err, ErrUnknownKey):
		return outcomeUnknownKey
	case errors.Is(err, ErrUnknownJob):
		return outcomeUnknownJob
	}
	return outcomeUncertain
}

// metrics holds the metrics of an admission service.
type metrics struct {
	admissions, submissions, cancels telemetry.Counters[outcome]
	storeTime                        tally.Histogram
	configAge                        tally.Gauge
	forecastAge                      tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	counters := func(name string) telemetry.Counters[outcome] {
		return telemetry.NewCounters(scope, name, "outcome",
			outcomeDone,
			outcomeNotReady,
			outcomeUnknownQueue,
			outcomeUnknownKey,
			outcomeUnknownJob,
			outcomeBadInput,
			outcomeUncertain,
			outcomeOverloaded,
		)
	}
	return metrics{
		admissions:  counters("calls_admitted"),
		submissions: counters("jobs_submitted"),
		cancels:     counters("jobs_cancelled"),
		storeTime:   telemetry.NewDurationHistogram(scope, "record_keep_time"),
		configAge:   scope.Gauge("configuration_proof_age_seconds"),
		forecastAge: scope.Gauge("backlog_forecast_age_seconds"),
	}
}

// recordConfigAge records the time since the configuration against which a call is checked was last
// confirmed to be current.
func (m metrics) recordConfigAge(syncedAt time.Time) {
	m.configAge.Update(time.Since(syncedAt).Seconds())
}

// noForecastAge is the recorded age if no forecast is usable.
const noForecastAge = -1

// recordForecastAge records the age of the forecast by which a submission is judged.
func (m metrics) recordForecastAge(age time.Duration, usable bool) {
	if !usable {
		m.forecastAge.Update(noForecastAge)
		return
	}
	m.forecastAge.Update(age.Seconds())
}
