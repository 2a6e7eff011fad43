package topic

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
)

// result is what came of a call to the log, as it is counted.
type result string

const (
	resultDone     result = "done"
	resultRefused  result = "refused"
	resultConflict result = "conflict"
	resultFenced   result = "fenced"
	resultExpired  result = "expired"
	resultNone     result = "no_answer"
)

func resultOf(err error) result {
	switch {
	case err == nil:
		return resultDone
	case errors.Is(err, ErrRejected):
		return resultRefused
	case errors.Is(err, ErrConflict):
		return resultConflict
	case errors.Is(err, ErrFenced):
		return resultFenced
	case errors.Is(err, ErrExpired):
		return resultExpired
	}
	return resultNone
}

// metered counts the calls to a log and their times.
type metered struct {
	log                  Log
	appends, reads, news telemetry.Counters[result]
	appendTime           tally.Histogram
	unreadable           tally.Counter
}

// WithMetrics returns the log with its calls counted. All topics of a process share the counters.
func WithMetrics(log Log, scope tally.Scope) Log {
	counters := func(name string) telemetry.Counters[result] {
		return telemetry.NewCounters(scope, name, "result", resultDone, resultRefused, resultConflict, resultFenced, resultExpired, resultNone)
	}
	return &metered{
		log: log, appends: counters("log_appends"), reads: counters("log_reads"), news: counters("log_loads"),
		appendTime: telemetry.Times(scope, "log_append_time"), unreadable: scope.Counter("log_records_unreadable"),
	}
}

// Append implements Log.
func (m *metered) Append(ctx context.Context, records []Record, c Condition) (int64, error) {
	sent := time.Now()
	offset, err := m.log.Append(ctx, records, c)
	m.appends.Inc(resultOf(err))
	if err == nil {
		m.appendTime.RecordDuration(time.Since(sent))
	}
	return offset, err
}

// Read implements Log.
func (m *metered) Read(ctx context.Context, q Query) (Batch, error) {
	batch, err := m.log.Read(ctx, q)
	m.reads.Inc(resultOf(err))
	return batch, err
}

// Newest implements Log.
func (m *metered) Newest(ctx context.Context) (Batch, error) {
	batch, err := m.log.Newest(ctx)
	m.news.Inc(resultOf(err))
	m.unreadable.Inc(int64(len(batch.Unreadable)))
	return batch, err
}
