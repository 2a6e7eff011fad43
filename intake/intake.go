// Package intake decides about callers' calls: which queue and team a call belongs to, whether it may be taken now, and
// what a caller is told of a job. It knows no wire: the folder that meets the users' platform translates.
//
// A call is judged by the newest configuration only while there is a proof that nothing newer is in force, and a job is
// said to be unknown only while there is a proof that all jobs are known. Without the proof the caller is sent away for a
// moment, never told that a key, a queue or a job does not exist.
//
// # Usage
//
//	a, err := in.Admit(host, path, key)
//	err = in.Submit(ctx, a, j)
package intake

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/catalog"
	"yarrowgrade.example/yarrowgrade/job"
	"yarrowgrade.example/yarrowgrade/jobstore"
)

// Answers that are no success. All others of Submit and Cancel mean that it is not known what became of the call.
var (
	// ErrNotReady says that nothing was done and that the caller should come back after RetryAfter.
	ErrNotReady = errors.New("not ready; come back")
	// ErrUnknownQueue, ErrUnknownKey and ErrUnknownJob say that there is no such thing in force.
	ErrUnknownQueue = errors.New("no such queue")
	ErrUnknownKey   = errors.New("no such key")
	ErrUnknownJob   = errors.New("no such job")
	// ErrUncertain says that the call may have been carried out, or may still be; the same job may be handed in again.
	ErrUncertain = errors.New("no answer from the log; the same call may be made again")
)

// RetryAfter is when to come back after ErrNotReady.
const RetryAfter = time.Second

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

// Settings of an intake.
type Settings struct {
	// KeyProof is how old the proof of the configuration may be when a key is accepted under it.
	KeyProof time.Duration
}

// Parts are what an intake works with.
type Parts struct {
	Keeper  *jobstore.Keeper
	Replica *jobstore.Replica
	Catalog *catalog.Follower
	Logger  zerolog.Logger
	Metrics tally.Scope
}

// Intake judges callers' calls.
type Intake struct {
	settings Settings
	parts    Parts
	metrics  metrics
}

// New returns an intake.
func New(s Settings, p Parts) *Intake {
	return &Intake{settings: s, parts: p, metrics: newMetrics(p.Metrics)}
}

// Admission is a call that may be made.
type Admission struct {
	Queue catalog.Queue
	Team  string
	// Job is empty for a call about the queue itself.
	Job job.ID
	// BodyBytes bounds the body.
	BodyBytes int64
}

// Ready reports whether calls can be served.
func (in *Intake) Ready() bool {
	c, proof := in.parts.Catalog.Current()
	return c != nil && time.Since(proof) < in.settings.KeyProof-keyMargin && time.Since(in.parts.Replica.Proof()) < jobsProof
}

// Admit finds the queue, the team and the job of a call.
func (in *Intake) Admit(host, path, key string) (Admission, error) {
	a, err := in.admit(host, path, key)
	in.metrics.admissions.Inc(outcomeOf(err))
	if err != nil {
		in.parts.Logger.Info().Str("step", "intake.admit").Str("host", host).Str("path", path).Err(err).Msg("call is not admitted")
	}
	return a, err
}

func (in *Intake) admit(host, path, key string) (Admission, error) {
	c, proof := in.parts.Catalog.Current()
	in.metrics.proof(proof)
	if c == nil || time.Since(proof) >= in.settings.KeyProof-keyMargin {
		return Admission{}, ErrNotReady
	}
	q, ok := c.Route(host, path)
	if !ok {
		return Admission{}, ErrUnknownQueue
	}
	a := Admission{Queue: q, Job: job.ID(path[len(q.Prefix):]), BodyBytes: c.BodyBytes}
	if a.BodyBytes <= 0 {
		a.BodyBytes = defaultBody
	}
	if !q.Open {
		if a.Team, ok = c.TeamOf(key); !ok {
			return Admission{}, ErrUnknownKey
		}
	}
	return a, nil
}

// Submit keeps a job. It returns nil once it is kept, also if it was kept before.
func (in *Intake) Submit(ctx context.Context, a Admission, j *job.Job) error {
	j.ID, j.Queue, j.Team, j.Service = a.Job, a.Queue.Name, a.Team, a.Queue.Service
	j.Priority, j.Attempts, j.Stretch, j.Aim = a.Queue.Priority, a.Queue.Attempts, a.Queue.Stretch, a.Queue.Aim
	j.Advised, j.Accepted = a.Queue.Advised, time.Now()
	if err := j.Validate(); err != nil {
		in.refused(a, err)
		return err
	}
	if _, known := in.parts.Replica.Phase(j.ID); known {
		return nil
	}
	record, err := jobstore.SubmissionRecord(j)
	if err != nil {
		return err
	}
	if err := in.keep(ctx, record); err != nil {
		in.refused(a, err)
		return err
	}
	in.metrics.submissions.Inc(outcomeDone)
	in.parts.Logger.Info().Str("step", "intake.submit").Str("job", string(j.ID)).Str("queue", j.Queue).Str("team", j.Team).
		Int("steps", len(j.Steps)).Msg("job is accepted")
	return nil
}

// Reject notes that the body of an admitted call can't be read as a job. It returns the error.
func (in *Intake) Reject(a Admission, err error) error {
	in.refused(a, err)
	return err
}

func (in *Intake) refused(a Admission, err error) {
	in.metrics.submissions.Inc(outcomeOf(err))
	in.parts.Logger.Info().Str("step", "intake.submit").Str("job", string(a.Job)).Str("queue", a.Queue.Name).Err(err).Msg("job is not accepted")
}

// keep keeps a record, or says whether nothing was done.
func (in *Intake) keep(ctx context.Context, record jobstore.Record) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	began := time.Now()
	err := in.parts.Keeper.Keep(ctx, record)
	switch {
	case err == nil:
		in.metrics.keepTime.RecordDuration(time.Since(began))
		return nil
	case jobstore.NotDone(err):
		return errors.Join(ErrNotReady, err)
	}
	return errors.Join(ErrUncertain, err)
}

func (in *Intake) jobsKnown() bool {
	proof := in.parts.Replica.Proof()
	return !proof.IsZero() && time.Since(proof) < jobsProof
}

// Phase returns the phase of a job.
func (in *Intake) Phase(a Admission) (job.Phase, error) {
	phase, ok := in.parts.Replica.Phase(a.Job)
	switch {
	case ok:
		return phase, nil
	case !in.jobsKnown():
		return 0, ErrNotReady
	}
	return 0, ErrUnknownJob
}

// Cancel keeps the wish to cancel a job.
func (in *Intake) Cancel(ctx context.Context, a Admission) error {
	err := in.cancel(ctx, a)
	in.metrics.cancels.Inc(outcomeOf(err))
	if err != nil {
		in.parts.Logger.Info().Str("step", "intake.cancel").Str("job", string(a.Job)).Err(err).Msg("cancel is not kept")
	}
	return err
}

func (in *Intake) cancel(ctx context.Context, a Admission) error {
	if err := a.Job.Validate(); err != nil {
		return err
	}
	phase, err := in.Phase(a)
	if err != nil {
		return err
	}
	if phase.Final() {
		return nil
	}
	if err := in.keep(ctx, jobstore.CancelRecord(a.Job)); err != nil {
		return err
	}
	in.parts.Logger.Info().Str("step", "intake.cancel").Str("job", string(a.Job)).Msg("cancel is kept")
	return nil
}

// Pending counts the queue's jobs none of whose tasks has begun.
func (in *Intake) Pending(a Admission) (int, error) {
	if !in.jobsKnown() {
		return 0, ErrNotReady
	}
	return in.parts.Replica.Pending(a.Queue.Name), nil
}
