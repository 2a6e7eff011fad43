package admission

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/backlog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// shedRefreshTimeout limits the refresh of the replica before a refusal, so that a refused caller
	// is answered within 100 ms. A submission whose refresh takes longer is accepted.
	shedRefreshTimeout = 80 * time.Millisecond
	// maxShedReplicaAge limits the time since the replica was last in sync when a submission is
	// refused. An entry that reads continuously is in sync once in each wait of a read, which is
	// 300 ms; if it is not, the log is slow or silent, and the ID may be stored.
	maxShedReplicaAge = 500 * time.Millisecond
	// maxRetrySpread is the largest factor by which the delay told to a refused caller is lengthened,
	// so that refused callers don't return together.
	maxRetrySpread = 1.5
)

// Overloaded is the refusal of a submission because its service is overloaded: the call stored and
// sent nothing, and never will.
type Overloaded struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *Overloaded) Error() string { return fmt.Sprintf("%s; retry in %v", e.Reason, e.RetryAfter) }

// shed decides whether a submission is refused because its service is overloaded. It stores and
// sends nothing. Before it refuses, it refreshes the replica and judges once more. The caller must
// have checked that the ID is unknown; after a refresh that makes it known, known is true.
func (s *Service) shed(ctx context.Context, j *job.Job) (refusal *Overloaded, known bool) {
	if !s.judge(j).refused() || s.dependencies.Writer.InDoubt(j.ID) {
		return nil, false
	}
	refresh, cancel := context.WithTimeout(ctx, shedRefreshTimeout)
	defer cancel()
	s.dependencies.Replica.Refresh(refresh)
	if _, known := s.dependencies.Replica.Phase(j.ID); known {
		return nil, true
	}
	if refresh.Err() != nil || !s.replicaCurrent() || !s.replicaRefreshed() || s.dependencies.Writer.InDoubt(j.ID) {
		return nil, false
	}
	v := s.judge(j)
	if !v.refused() {
		return nil, false
	}
	refusal = &Overloaded{Reason: v.reason, RetryAfter: spread(v.delay, rand.Float64())}
	s.metrics.submissions.Inc(outcomeOf(refusal))
	s.dependencies.Logger.Info().Str("step", "admission.submit").Str("job", string(j.ID)).Str("queue", j.Queue).
		Str("team", j.Team).Int64("wait_ms", v.wait.Milliseconds()).
		Int("retry_after_s", int(refusal.RetryAfter.Seconds())).
		Str("why", v.reason).Msg("job refused: overload")
	return refusal, false
}

// judge judges a submission by what this entry knows now.
func (s *Service) judge(j *job.Job) verdict {
	f, ok := s.dependencies.Replica.Forecast()
	s.metrics.recordForecastAge(f.Age, ok)
	if !ok {
		return verdict{}
	}
	return submission{
		job:      j,
		forecast: f.Forecast,
		age:      f.Age,
		later:    f.Later,
		weight:   backlog.EqualWeights,
	}.judge()
}

// replicaRefreshed reports whether the replica was in sync recently enough for a refusal.
func (s *Service) replicaRefreshed() bool {
	return time.Since(s.dependencies.Replica.SyncedAt()) < maxShedReplicaAge
}

// spread lengthens a delay by a factor between 1 and maxRetrySpread, drawn uniformly by the caller
// from [0, 1), and rounds it up to whole seconds, the unit of Retry-After.
func spread(delay time.Duration, draw float64) time.Duration {
	lengthened := delay.Seconds() * (1 + (maxRetrySpread-1)*draw)
	return time.Duration(math.Ceil(lengthened)) * time.Second
}
