// Package admission decides about callers' calls: which queue and team a call belongs to, whether it may be taken now, and
// what a caller is told of a job. It knows no wire: the folder that meets the users' platform translates.
//
// A call is judged by the newest configuration only while there is a proof that nothing newer is in force, and a job is
// said to be unknown only while there is a proof that all jobs are known. Without the proof the caller is sent away for a
// moment, never told that a key, a queue or a job does not exist.
//
// # Usage
//
//	a, err := s.Admit(host, path, key)
//	err = s.Submit(ctx, a, j)
package admission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Answers that are no success. All others of Submit and Cancel mean that it is not known what became of the call.
var (
	// ErrNotReady says that nothing was done and that the caller should come back; it is what a NotReady is.
	ErrNotReady = errors.New("not ready; come back")
	// ErrUnknownQueue, ErrUnknownKey and ErrUnknownJob say that there is no such thing in force.
	ErrUnknownQueue = errors.New("no such queue")
	ErrUnknownKey   = errors.New("no such key")
	ErrUnknownJob   = errors.New("no such job")
	// ErrUncertain says that the call may have been carried out, or may still be; the same job may be handed in again.
	ErrUncertain = errors.New("no answer from the log; the same call may be made again")
)

// NotReady says that nothing was done, why, and when to come back.
type NotReady struct {
	Reason string
	After  time.Duration
	// Err is the cause, if there is one.
	Err error
}

func (e *NotReady) Error() string {
	text := fmt.Sprintf("%v in %v: %s", ErrNotReady, e.After, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotReady) Unwrap() error { return e.Err }

// Is makes every NotReady an ErrNotReady.
func (e *NotReady) Is(target error) bool { return target == ErrNotReady }

// Bounds of the time after which callers are to come back. In between it is as long as the log has been away: an outage that
// has lasted for long is likely to last on for as long again. HTTP tells it in whole seconds. Callers on the users' sites wait
// three seconds in all: one that is sent away for longer than two has no second try.
const (
	leastRetry = time.Second
	mostRetry  = 2 * time.Second
)

// Times of a call.
const (
	// keepTimeout bounds how long a caller waits for a record to be kept; callers wait for some three seconds.
	keepTimeout = 2200 * time.Millisecond
	// jobsProof is how old the proof may be that all jobs are known when a job is said to be unknown.
	jobsProof = 2500 * time.Millisecond
	// keyMargin is taken off the age at which a proof of the configuration is too old, for what follows the look at it.
	keyMargin = 500 * time.Millisecond
	// defaultBody bounds a body as long as no configuration says otherwise.
	defaultBody = 256 << 10
)

// Settings of the admission.
type Settings struct {
	// KeyProof is how old the proof of the configuration may be when a key is accepted under it.
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

// Service judges callers' calls.
type Service struct {
	settings Settings
	parts    Dependencies
	metrics  metrics
}

// New returns the admission service.
func New(s Settings, p Dependencies) *Service {
	return &Service{settings: s, parts: p, metrics: newMetrics(p.Metrics)}
}

// Call is a call that may be made.
type Call struct {
	Queue catalog.Queue
	Team  string
	// Job is empty for a call about the queue itself.
	Job job.ID
	// BodyBytes bounds the body.
	BodyBytes int64
}

// Ready reports whether calls can be served.
func (s *Service) Ready() bool {
	c, proof := s.parts.Catalog.Current()
	return c != nil && time.Since(proof) < s.settings.KeyProof-keyMargin && time.Since(s.parts.Replica.SyncedAt()) < jobsProof
}

// Admit finds the queue, the team and the job of a call.
func (s *Service) Admit(host, path, key string) (Call, error) {
	a, err := s.admit(host, path, key)
	s.metrics.admissions.Inc(outcomeOf(err))
	if err != nil {
		s.parts.Logger.Info().Str("step", "admission.admit").Str("host", host).Str("path", path).Err(err).Msg("call is not admitted")
	}
	return a, err
}

func (s *Service) admit(host, path, key string) (Call, error) {
	c, proof := s.parts.Catalog.Current()
	s.metrics.proof(proof)
	if c == nil {
		return Call{}, s.notReady("no configuration has come yet", nil)
	}
	if age := time.Since(proof); age >= s.settings.KeyProof-keyMargin {
		return Call{}, s.notReady("a newer configuration may be in force", nil)
	}
	q, ok := c.Route(host, path)
	if !ok {
		return Call{}, ErrUnknownQueue
	}
	a := Call{Queue: q, Job: job.ID(path[len(q.Prefix):]), BodyBytes: c.BodyBytes}
	if a.BodyBytes <= 0 {
		a.BodyBytes = defaultBody
	}
	if !q.Public {
		if a.Team, ok = c.TeamOf(key); !ok {
			return Call{}, ErrUnknownKey
		}
	}
	return a, nil
}

// Submit keeps a job. It returns nil once it is kept, also if it was kept before.
func (s *Service) Submit(ctx context.Context, a Call, j *job.Job) error {
	j.ID, j.Queue, j.Team, j.Service = a.Job, a.Queue.Name, a.Team, a.Queue.Service
	j.Priority, j.MaxAttempts, j.ObjectiveFactor, j.ObjectiveSlack = a.Queue.Priority, a.Queue.MaxAttempts, a.Queue.ObjectiveFactor, a.Queue.ObjectiveSlack
	j.NeedsPermit, j.Accepted = a.Queue.NeedsPermit, time.Now()
	if err := j.Validate(); err != nil {
		s.refused(a, err)
		return err
	}
	if _, known := s.parts.Replica.Phase(j.ID); known {
		return nil
	}
	record, err := jobstore.SubmissionRecord(j)
	if err != nil {
		return err
	}
	if err := s.keep(ctx, record); err != nil {
		s.refused(a, err)
		return err
	}
	s.metrics.submissions.Inc(outcomeDone)
	s.parts.Logger.Info().Str("step", "admission.submit").Str("job", string(j.ID)).Str("queue", j.Queue).Str("team", j.Team).
		Int("steps", len(j.Steps)).Msg("job is accepted")
	return nil
}

// Reject notes that the body of an admitted call can't be read as a job. It returns the error.
func (s *Service) Reject(a Call, err error) error {
	s.refused(a, err)
	return err
}

func (s *Service) refused(a Call, err error) {
	s.metrics.submissions.Inc(outcomeOf(err))
	s.parts.Logger.Info().Str("step", "admission.submit").Str("job", string(a.Job)).Str("queue", a.Queue.Name).Err(err).Msg("job is not accepted")
}

// keep keeps a record, or says whether nothing was done.
func (s *Service) keep(ctx context.Context, record topic.Record) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	began := time.Now()
	err := s.parts.Writer.Write(ctx, record)
	switch {
	case err == nil:
		s.metrics.keepTime.RecordDuration(time.Since(began))
		return nil
	case topic.NotApplied(err):
		return s.notReady("the log does not take it", err)
	}
	return errors.Join(ErrUncertain, err)
}

// notReady is the refusal of a call of which nothing was done.
func (s *Service) notReady(reason string, err error) *NotReady {
	oldest := s.parts.Replica.SyncedAt()
	if _, proof := s.parts.Catalog.Current(); proof.Before(oldest) {
		oldest = proof
	}
	after := leastRetry
	if !oldest.IsZero() {
		after = min(max(time.Since(oldest).Round(time.Second), leastRetry), mostRetry)
	}
	return &NotReady{Reason: reason, After: after, Err: err}
}

func (s *Service) jobsKnown() bool {
	proof := s.parts.Replica.SyncedAt()
	return !proof.IsZero() && time.Since(proof) < jobsProof
}

// refreshTimeout bounds the read that a caller's question waits for. The log answers in some 4 ms; when it is slow or away, what is known
// is told.
const refreshTimeout = 150 * time.Millisecond

// Phase returns the phase of a job. One that may have changed is read anew.
func (s *Service) Phase(ctx context.Context, a Call) (job.Phase, error) {
	if phase, ok := s.parts.Replica.Phase(a.Job); ok && phase.Final() {
		return phase, nil
	}
	fresh, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	s.parts.Replica.Refresh(fresh)
	phase, ok := s.parts.Replica.Phase(a.Job)
	switch {
	case ok:
		return phase, nil
	case !s.jobsKnown():
		return 0, s.notReady("jobs may have come that are not known here", nil)
	}
	return 0, ErrUnknownJob
}

// Cancel keeps the wish to cancel a job.
func (s *Service) Cancel(ctx context.Context, a Call) error {
	err := s.cancel(ctx, a)
	s.metrics.cancels.Inc(outcomeOf(err))
	if err != nil {
		s.parts.Logger.Info().Str("step", "admission.cancel").Str("job", string(a.Job)).Err(err).Msg("cancel is not kept")
	}
	return err
}

func (s *Service) cancel(ctx context.Context, a Call) error {
	if err := a.Job.Validate(); err != nil {
		return err
	}
	phase, err := s.Phase(ctx, a)
	if err != nil {
		return err
	}
	if phase.Final() {
		return nil
	}
	if err := s.keep(ctx, jobstore.CancelRecord(a.Job)); err != nil {
		return err
	}
	s.parts.Logger.Info().Str("step", "admission.cancel").Str("job", string(a.Job)).Msg("cancel is kept")
	return nil
}

// Pending counts the queue's jobs none of whose tasks has begun.
func (s *Service) Pending(a Call) (int, error) {
	if !s.jobsKnown() {
		return 0, s.notReady("jobs may have come that are not known here", nil)
	}
	return s.parts.Replica.Pending(a.Queue.Name), nil
}
