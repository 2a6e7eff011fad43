package topic

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
)

// result is the outcome of a call to the log, used as a label of the counters.
type result string

const (
	resultDone     result = "done"
	resultRejected result = "refused"
	resultConflict result = "conflict"
	resultFenced   result = "fenced"
	resultExpired  result = "expired"
	resultNoAnswer result = "no_answer"
)

func resultOf(err error) result {
	switch {
	case err == nil:
		return resultDone
	case errors.Is(err, ErrRejected):
		return resultRejected
	case errors.Is(err, ErrConflict):
		return resultConflict
	case errors.Is(err, ErrFenced):
		return resultFenced
	case errors.Is(err, ErrExpired):
		return resultExpired
	}
	return resultNoAnswer
}

// measuredLog counts the calls to a log by result, and measures the duration of appends.
type measuredLog struct {
	log        Log
	appends    telemetry.Counters[result]
	reads      telemetry.Counters[result]
	loads      telemetry.Counters[result]
	appendTime tally.Histogram
	unreadable tally.Counter
}

// WithMetrics returns a log that counts the calls to the given one. All topics of a process share
// the counters.
func WithMetrics(log Log, scope tally.Scope) Log {
	results := []result{resultDone, resultRejected, resultConflict, resultFenced, resultExpired, resultNoAnswer}
	counters := func(name string) telemetry.Counters[result] {
		return telemetry.NewCounters(scope, name, "result", results...)
	}
	return &measuredLog{
		log:        log,
		appends:    counters("log_appends"),
		reads:      counters("log_reads"),
		loads:      counters("log_loads"),
		appendTime: telemetry.NewDurationHistogram(scope, "log_append_time"),
		unreadable: scope.Counter("log_records_unreadable"),
	}
}

// Append implements Log.
func (m *measuredLog) Append(ctx context.Context, records []Record, c Condition) (int64, error) {
	sent := time.Now()
	offset, err := m.log.Append(ctx, records, c)
	m.appends.Inc(resultOf(err))
	if err == nil {
		m.appendTime.RecordDuration(time.Since(sent))
	}
	return offset, err
}

// Read implements Log.
func (m *measuredLog) Read(ctx context.Context, q Query) (Batch, error) {
	batch, err := m.log.Read(ctx, q)
	m.reads.Inc(resultOf(err))
	return batch, err
}

// Newest implements Log.
func (m *measuredLog) Newest(ctx context.Context) (Batch, error) {
	batch, err := m.log.Newest(ctx)
	m.loads.Inc(resultOf(err))
	m.unreadable.Inc(int64(len(batch.Unreadable)))
	return batch, err
}
