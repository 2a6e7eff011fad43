// Package admission handles the calls of callers: it determines the queue and team of a call,
// decides whether the call can be served now, and reports the phase of jobs. It is independent of
// the wire format, which is implemented by package platform.
//
// A call is checked against the newest known configuration only while that configuration is
// confirmed to be current, and a job is reported as unknown only while the local replica is
// confirmed to hold all jobs. Without this confirmation a call is rejected at once with a time
// after which to retry, and never reports that a key, a queue or a job does not exist. A
// submission or a cancellation is acknowledged once its record is stored, and rejected only if
// the record was certainly not stored.
//
// The package owns no state. It uses catalog.Follower for the configuration, and jobstore's
// Replica and Writer for the jobs.
//
// # Usage
//
//	s := admission.New(settings, dependencies)
//	call, err := s.Admit(host, path, key)
//	err = s.Submit(ctx, call, j)
package admission

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
)

const (
	// maxReplicaAge limits the time since the replica was last confirmed to hold all jobs when a
	// job is reported as unknown.
	maxReplicaAge = 2500 * time.Millisecond
	// configAgeMargin is subtracted from Settings.MaxConfigAge, to allow for the time until the
	// call is done.
	configAgeMargin = 500 * time.Millisecond
	// defaultMaxBodyBytes limits the size of a body if the configuration sets no limit.
	defaultMaxBodyBytes = 256 << 10
)

// Settings configures the admission service.
type Settings struct {
	// MaxConfigAge limits the time since a configuration was last confirmed to be current when a
	// key is accepted under it.
	MaxConfigAge time.Duration
}

// Dependencies are the components that the admission service uses.
type Dependencies struct {
	Writer  *jobstore.Writer
	Replica *jobstore.Replica
	Catalog *catalog.Follower
	Logger  zerolog.Logger
	Metrics tally.Scope
}

// Service admits and serves the calls of callers. It is safe for concurrent use.
type Service struct {
	settings     Settings
	dependencies Dependencies
	metrics      metrics
}

// New returns an admission service.
func New(s Settings, d Dependencies) *Service {
	return &Service{settings: s, dependencies: d, metrics: newMetrics(d.Metrics)}
}

// Call is an admitted call.
type Call struct {
	Queue catalog.Queue
	// Team is empty on a public queue.
	Team string
	// Job is empty for a call about the queue itself.
	Job job.ID
	// MaxBodyBytes is the maximum size of the body.
	MaxBodyBytes int64
}

// Ready reports whether calls can be served.
func (s *Service) Ready() bool {
	c, syncedAt := s.dependencies.Catalog.Current()
	return c != nil && s.configCurrent(syncedAt) && s.replicaCurrent()
}

// configCurrent reports whether a configuration that was last confirmed to be current at syncedAt
// may still be used.
func (s *Service) configCurrent(syncedAt time.Time) bool {
	return time.Since(syncedAt) < s.settings.MaxConfigAge-configAgeMargin
}

// replicaCurrent reports whether the replica is confirmed to hold all jobs.
func (s *Service) replicaCurrent() bool {
	syncedAt := s.dependencies.Replica.SyncedAt()
	return !syncedAt.IsZero() && time.Since(syncedAt) < maxReplicaAge
}

// Admit determines the queue, the team and the job of a call.
func (s *Service) Admit(host, path, key string) (Call, error) {
	call, err := s.admit(host, path, key)
	s.metrics.admissions.Inc(outcomeOf(err))
	if err != nil {
		s.dependencies.Logger.Info().Str("step", "admission.admit").Str("host", host).Str("path", path).Err(err).
			Msg("call rejected")
	}
	return call, err
}

func (s *Service) admit(host, path, key string) (Call, error) {
	c, syncedAt := s.dependencies.Catalog.Current()
	s.metrics.recordConfigAge(syncedAt)
	if c == nil {
		return Call{}, s.notReady("no configuration received yet", nil)
	}
	if !s.configCurrent(syncedAt) {
		return Call{}, s.notReady("the configuration may be out of date", nil)
	}
	queue, ok := c.Route(host, path)
	if !ok {
		return Call{}, ErrUnknownQueue
	}
	call := Call{Queue: queue, Job: job.ID(path[len(queue.Prefix):]), MaxBodyBytes: c.MaxBodyBytes}
	if call.MaxBodyBytes <= 0 {
		call.MaxBodyBytes = defaultMaxBodyBytes
	}
	if queue.Public {
		return call, nil
	}
	if call.Team, ok = c.TeamOf(key); !ok {
		return Call{}, ErrUnknownKey
	}
	return call, nil
}
