package runner

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// outcome is what came of an order to the worker, or of a poll, as it is counted.
type outcome string

const (
	outcomeDone      outcome = "done"
	outcomeOtherLife outcome = "other_life"
	outcomeFenced    outcome = "fenced"
	outcomeRefused   outcome = "refused"
	outcomeNone      outcome = "no_answer"
)

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeDone
	case errors.Is(err, ErrOtherIncarnation):
		return outcomeOtherLife
	case errors.Is(err, ErrFenced):
		return outcomeFenced
	case errors.Is(err, ErrAlreadyRan), errors.Is(err, ErrLeaseOver), errors.Is(err, ErrNoCapacity), errors.Is(err, ErrUnavailable), errors.Is(err, ErrRejected):
		return outcomeRefused
	}
	return outcomeNone
}

// lifeOutcome is how a life of the worker ended, as it is counted.
type lifeOutcome string

const (
	lifeLeft    lifeOutcome = "left"
	lifeCrashed lifeOutcome = "crashed"
)

func lifeOutcomeOf(end assignment.IncarnationEnd) lifeOutcome {
	if end.Drained {
		return lifeLeft
	}
	return lifeCrashed
}

// metrics are a runner's.
type metrics struct {
	lives                       telemetry.Counters[lifeOutcome]
	starts, stops, holds, polls telemetry.Counters[outcome]
	ends                        telemetry.Counters[job.EndReason]
	// cordoned counts starts that had to wait until it was known that the zone is not cordoned.
	cordoned tally.Counter
	// passedOver counts ends that count as read by their number and were not read, gone the runs that went from a list without an end.
	passedOver, gone tally.Counter
	// unreadable counts rows of lists that could not be read.
	unreadable tally.Counter
	// odd counts heartbeats that said otherwise what can't change.
	odd tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	counters := func(name string) telemetry.Counters[outcome] {
		return telemetry.NewCounters(scope, name, "outcome", outcomeDone, outcomeOtherLife, outcomeFenced, outcomeRefused, outcomeNone)
	}
	return metrics{
		lives:      telemetry.NewCounters(scope, "lives_over", "how", lifeLeft, lifeCrashed),
		cordoned:   scope.Counter("starts_held_for_cordon"),
		odd:        scope.Counter("heartbeats_odd"),
		unreadable: scope.Counter("rows_unreadable"),
		passedOver: scope.Counter("ends_passed_over"), gone: scope.Counter("runs_gone_without_end"),
		starts: counters("starts_ordered"), stops: counters("stops_ordered"), holds: counters("holds"), polls: counters("polls"),
		ends: telemetry.NewCounters(scope, "ends_listed", "how", job.EndDone, job.EndFailed, job.EndStopped, job.EndLeaseExpired, job.EndGangBroken,
			job.EndGangIncomplete),
	}
}
