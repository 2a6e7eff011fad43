// Package admission decides about callers' calls: which queue and team a call belongs to,
// whether it may be taken now, and what the caller learns about a job. It is independent of the
// wire format, which package platform translates.
//
// A call is judged by the newest configuration only while it is proved that none newer is in
// force, and a job is reported as unknown only while it is proved that all jobs are known here.
// Without the proof the caller is refused at once with a time to come back, and never learns
// that a key, a queue or a job does not exist. A submission or a cancel is acknowledged once
// its record is stored, and refused only if it surely was not.
//
// The package owns no state. It relies on catalog.Follower for the configuration, and on
// jobstore's Replica and Writer for the jobs.
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
	// jobsMaxAge is how old the proof that all jobs are known may be when a job is reported as
	// unknown.
	jobsMaxAge = 2500 * time.Millisecond
	// configMargin is subtracted from the age that the proof of the configuration may have, for
	// the time until the call is done.
	configMargin = 500 * time.Millisecond
	// defaultBodyBytes bounds a body while no configuration does.
	defaultBodyBytes = 256 << 10
)

// Settings of the admission.
type Settings struct {
	// KeyProof is how old the proof that a configuration is the newest may be when a key is
	// accepted under it.
	KeyProof time.Duration
}

// Dependencies are what admission works with.
type Dependencies struct {
	Writer  *jobstore.Writer
	Replica *jobstore.Replica
	Catalog *catalog.Follower
	Logger  zerolog.Logger
	Metrics tally.Scope
}

// Service judges callers' calls. It is safe for concurrent use.
type Service struct {
	settings     Settings
	dependencies Dependencies
	metrics      metrics
}

// New returns the admission service.
func New(s Settings, d Dependencies) *Service {
	return &Service{settings: s, dependencies: d, metrics: newMetrics(d.Metrics)}
}

// Call is a call that was admitted.
type Call struct {
	Queue catalog.Queue
	// Team is empty on a public queue.
	Team string
	// Job is empty for a call about the queue itself.
	Job job.ID
	// BodyBytes bounds the body.
	BodyBytes int64
}

// Ready reports whether calls can be served.
func (s *Service) Ready() bool {
	c, proof := s.dependencies.Catalog.Current()
	return c != nil && s.configCurrent(proof) && s.jobsKnown()
}

// configCurrent reports whether a configuration that was proved to be the newest then may still
// be relied on.
func (s *Service) configCurrent(proof time.Time) bool {
	return time.Since(proof) < s.settings.KeyProof-configMargin
}

// jobsKnown reports whether it is proved that all jobs are known here.
func (s *Service) jobsKnown() bool {
	proof := s.dependencies.Replica.SyncedAt()
	return !proof.IsZero() && time.Since(proof) < jobsMaxAge
}

// Admit finds the queue, the team and the job of a call.
func (s *Service) Admit(host, path, key string) (Call, error) {
	call, err := s.admit(host, path, key)
	s.metrics.admissions.Inc(outcomeOf(err))
	if err != nil {
		s.dependencies.Logger.Info().Str("step", "admission.admit").Str("host", host).Str("path", path).Err(err).
			Msg("call is not admitted")
	}
	return call, err
}

func (s *Service) admit(host, path, key string) (Call, error) {
	c, proof := s.dependencies.Catalog.Current()
	s.metrics.noteConfigAge(proof)
	if c == nil {
		return Call{}, s.notReady("no configuration has come yet", nil)
	}
	if !s.configCurrent(proof) {
		return Call{}, s.notReady("a newer configuration may be in force", nil)
	}
	queue, ok := c.Route(host, path)
	if !ok {
		return Call{}, ErrUnknownQueue
	}
	call := Call{Queue: queue, Job: job.ID(path[len(queue.Prefix):]), BodyBytes: c.BodyBytes}
	if call.BodyBytes <= 0 {
		call.BodyBytes = defaultBodyBytes
	}
	if queue.Public {
		return call, nil
	}
	if call.Team, ok = c.TeamOf(key); !ok {
		return Call{}, ErrUnknownKey
	}
	return call, nil
}
