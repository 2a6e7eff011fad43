package admission

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

const (
	// storeTimeout bounds how long a caller waits for a record to be stored; callers wait for
	// some three seconds.
	storeTimeout = 2200 * time.Millisecond
	// refreshTimeout bounds the read that a question about a job waits for. When the log is
	// slow or away, the answer is what is known.
	refreshTimeout = 150 * time.Millisecond
)

// Submit stores a job of the call's queue. It returns nil once the job is stored, also if it
// was stored before. An error that is a *fault.Field names what won't do.
func (s *Service) Submit(ctx context.Context, call Call, j *job.Job) error {
	call.complete(j)
	if err := j.Validate(); err != nil {
		return s.Reject(call, err)
	}
	if _, known := s.dependencies.Replica.Phase(j.ID); known {
		return nil
	}
	record, err := jobstore.SubmissionRecord(j)
	if err != nil {
		return err
	}
	if err := s.store(ctx, record); err != nil {
		return s.Reject(call, err)
	}
	s.metrics.submissions.Inc(outcomeDone)
	s.dependencies.Logger.Info().Str("step", "admission.submit").Str("job", string(j.ID)).Str("queue", j.Queue).
		Str("team", j.Team).Int("steps", len(j.Steps)).Msg("job is accepted")
	return nil
}

// complete sets what a job has from its queue and its team.
func (c Call) complete(j *job.Job) {
	j.ID = c.Job
	j.Queue = c.Queue.Name
	j.Team = c.Team
	j.Service = c.Queue.Service
	j.Priority = c.Queue.Priority
	j.MaxAttempts = c.Queue.MaxAttempts
	j.ObjectiveFactor = c.Queue.ObjectiveFactor
	j.ObjectiveSlack = c.Queue.ObjectiveSlack
	j.NeedsPermit = c.Queue.NeedsPermit
	j.Accepted = time.Now()
}

// Reject counts and logs a submission that is not accepted, and returns its error.
func (s *Service) Reject(call Call, err error) error {
	s.metrics.submissions.Inc(outcomeOf(err))
	s.dependencies.Logger.Info().Str("step", "admission.submit").Str("job", string(call.Job)).
		Str("queue", call.Queue.Name).Err(err).Msg("job is not accepted")
	return err
}

// store stores a record. Its error is ErrNotReady if that surely was not done, and ErrUncertain
// otherwise.
func (s *Service) store(ctx context.Context, record topic.Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	err := s.dependencies.Writer.Write(ctx, record)
	switch {
	case err == nil:
		s.metrics.storeTime.RecordDuration(time.Since(began))
		return nil
	case topic.NotApplied(err):
		return s.notReady("the log does not take it", err)
	}
	return errors.Join(ErrUncertain, err)
}

// Phase returns the phase of a job. One that may have changed is read again first.
func (s *Service) Phase(ctx context.Context, call Call) (job.Phase, error) {
	if phase, ok := s.dependencies.Replica.Phase(call.Job); ok && phase.Final() {
		return phase, nil
	}
	refresh, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	s.dependencies.Replica.Refresh(refresh)
	phase, ok := s.dependencies.Replica.Phase(call.Job)
	switch {
	case ok:
		return phase, nil
	case !s.jobsKnown():
		return 0, s.notReady("jobs may have come that are not known here", nil)
	}
	return 0, ErrUnknownJob
}

// Cancel stores the wish to cancel a job. It returns nil once it is stored, or if the job has
// ended.
func (s *Service) Cancel(ctx context.Context, call Call) error {
	err := s.cancel(ctx, call)
	s.metrics.cancels.Inc(outcomeOf(err))
	if err != nil {
		s.dependencies.Logger.Info().Str("step", "admission.cancel").Str("job", string(call.Job)).Err(err).
			Msg("cancel is not accepted")
	}
	return err
}

func (s *Service) cancel(ctx context.Context, call Call) error {
	if err := call.Job.Validate(); err != nil {
		return err
	}
	phase, err := s.Phase(ctx, call)
	if err != nil {
		return err
	}
	if phase.Final() {
		return nil
	}
	if err := s.store(ctx, jobstore.CancelRecord(call.Job)); err != nil {
		return err
	}
	s.dependencies.Logger.Info().Str("step", "admission.cancel").Str("job", string(call.Job)).
		Msg("cancel is accepted")
	return nil
}

// Pending counts the queue's jobs with no started task.
func (s *Service) Pending(call Call) (int, error) {
	if !s.jobsKnown() {
		return 0, s.notReady("jobs may have come that are not known here", nil)
	}
	return s.dependencies.Replica.Pending(call.Queue.Name), nil
}
