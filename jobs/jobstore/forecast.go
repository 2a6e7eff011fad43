package jobstore

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/backlog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// forecastKey is the key of the record with the leader's forecast of the backlog. Processes that
// don't know the key ignore the record.
const forecastKey = "f"

// ForecastRecord returns the record that stores a forecast.
func ForecastRecord(f backlog.Forecast) (topic.Record, error) {
	value, err := f.Encode()
	return topic.Record{Key: forecastKey, Value: value}, err
}

// AgedForecast is a forecast as a replica knows it.
type AgedForecast struct {
	backlog.Forecast
	// Age is the greatest possible age of the forecast.
	Age time.Duration
	// Later holds the jobs that were submitted later than those of the forecast.
	Later []*job.Job
}

// forecastState is the newest stored forecast.
type forecastState struct {
	offset int64
	value  backlog.Forecast
	// notBefore is a time before which the forecast was certainly not written; zero if that is
	// unknown, in which case the forecast is not used.
	notBefore suspend.Instant
	// stored reports whether the stored forecast names any service, or can't be decoded.
	stored bool
}

// noForecast is the state without a record.
var noForecast = forecastState{offset: -1}

// applyForecast applies a record with a forecast. The lock must be held, and the records of an
// update have to be applied before the update marks the replica as synced: the forecast may have
// been written at any time since the replica was last in sync. A record of a snapshot may be of any
// age, and one that was applied before must not become younger.
func (r *Replica) applyForecast(s topic.StoredRecord, snapshot bool) {
	if s.Offset <= r.forecast.offset {
		return
	}
	r.forecast = forecastState{offset: s.Offset}
	if len(s.Value) == 0 {
		return
	}
	value, err := backlog.Decode(s.Value)
	if err != nil {
		r.forecast.stored = true
		r.logger.Error().Str("step", "jobstore.read").Int64("offset", s.Offset).Err(err).Msg("forecast is unreadable")
		return
	}
	r.forecast.value, r.forecast.stored = value, !value.Empty()
	if !snapshot {
		r.forecast.notBefore = r.sync.at
	}
}

// Forecast returns the newest forecast with its greatest possible age, including suspensions of the
// box, and the jobs whose submissions this replica knows and the forecast doesn't. It returns false
// if the forecast is void: there is none, it is as old as backlog.MaxAge, it came with a snapshot,
// or the leader that wrote it no longer leads as far as is known.
func (r *Replica) Forecast() (f AgedForecast, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.Forecast = r.forecast.value
	if f.Empty() || r.forecast.notBefore.IsZero() {
		return AgedForecast{}, false
	}
	f.Age = r.sync.clock.Since(r.forecast.notBefore)
	if f.Age >= backlog.MaxAge || f.Term() != r.leader.Term || r.leader.Incarnation == "" {
		return AgedForecast{Age: f.Age}, false
	}
	if f.Next() > 0 {
		f.Later = r.jobs.submittedFrom(f.Next())
	}
	return f, true
}

// ForecastStored reports whether the stored forecast names any service, or can't be decoded. A new
// leader then has to replace it even if no service is overloaded.
func (r *Replica) ForecastStored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forecast.stored
}
