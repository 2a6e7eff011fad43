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
	// storeTimeout limits how long a call waits for its record to be stored. Callers give up
	// after about three seconds.
	storeTimeout = 2200 * time.Millisecond
	// refreshTimeout limits the refresh of the replica before the phase of a job is reported.
	// While the log is slow or unavailable, the last known phase is reported.
	refreshTimeout = 150 * time.Millisecond
)

// Submit stores a job in the call's queue. It returns nil once the job is stored, also if it was
// already stored. An invalid job is reported as a *fault.Field, and one that is refused because its
// service is overloaded as an *Overloaded.
func (s *Service) Submit(ctx context.Context, call Call, j *job.Job) error {
	call.setQueueFields(j)
	if err := j.Validate(); err != nil {
		return s.Reject(call, err)
	}
	if _, known := s.dependencies.Replica.Phase(j.ID); known {
		return nil
	}
	refusal, known := s.shed(ctx, j)
	switch {
	case known:
		return nil
	case refusal != nil:
		return refusal
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

// setQueueFields sets the fields of a job that come from the call, its queue and its team.
func (c Call) setQueueFields(j *job.Job) {
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

// Reject counts and logs a rejected submission, and returns its error.
func (s *Service) Reject(call Call, err error) error {
	s.metrics.submissions.Inc(outcomeOf(err))
	s.dependencies.Logger.Info().Str("step", "admission.submit").Str("job", string(call.Job)).
		Str("queue", call.Queue.Name).Err(err).Msg("job is not accepted")
	return err
}

// store stores a record. The error is ErrNotReady if the record was certainly not stored, and
// ErrUncertain otherwise.
func (s *Service) store(ctx context.Context, record topic.Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	err := s.dependencies.Writer.Write(ctx, record)
	switch {
	case err == nil:
		s.metrics.storeTime.RecordDuration(time.Since(start))
		return nil
	case topic.NotApplied(err):
		return s.notReady("the log did not store the record", err)
	}
	return errors.Join(ErrUncertain, err)
}

// Phase returns the phase of a job. Unless the known phase is final, it refreshes the replica
// first.
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
	case !s.replicaCurrent():
		return 0, s.notReady("the job list may be out of date", nil)
	}
	return 0, ErrUnknownJob
}

// Cancel stores a request to cancel a job. It returns nil once the request is stored, or if the
// job has ended.
func (s *Service) Cancel(ctx context.Context, call Call) error {
	err := s.cancel(ctx, call)
	s.metrics.cancels.Inc(outcomeOf(err))
	if err != nil {
		s.dependencies.Logger.Info().Str("step", "admission.cancel").Str("job", string(call.Job)).Err(err).
			Msg("cancellation is not accepted")
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
		Msg("cancellation is accepted")
	return nil
}

// Pending returns the number of the queue's jobs that have no started task.
func (s *Service) Pending(call Call) (int, error) {
	if !s.replicaCurrent() {
		return 0, s.notReady("the job list may be out of date", nil)
	}
	return s.dependencies.Replica.Pending(call.Queue.Name), nil
}
