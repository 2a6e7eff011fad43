package runner

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// outcome is how a call to the worker, or a poll, ended, as it is counted.
type outcome string

const (
	outcomeDone             outcome = "done"
	outcomeOtherIncarnation outcome = "other_life"
	outcomeFenced           outcome = "fenced"
	outcomeRefused          outcome = "refused"
	outcomeNoAnswer         outcome = "no_answer"
)

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeDone
	case errors.Is(err, ErrOtherIncarnation):
		return outcomeOtherIncarnation
	case errors.Is(err, ErrFenced):
		return outcomeFenced
	}
	refusals := []error{ErrAlreadyRan, ErrLeaseOver, ErrNoCapacity, ErrUnavailable, ErrRejected}
	if isAny(err, refusals) {
		return outcomeRefused
	}
	return outcomeNoAnswer
}

// endOutcome is how an incarnation of the worker ended, as it is counted.
type endOutcome string

const (
	endDrained endOutcome = "left"
	endCrashed endOutcome = "crashed"
)

func endOutcomeOf(end assignment.IncarnationEnd) endOutcome {
	if end.Drained {
		return endDrained
	}
	return endCrashed
}

// metrics are a runner's.
type metrics struct {
	incarnations telemetry.Counters[endOutcome]

	starts, stops, syncs, polls telemetry.Counters[outcome]

	ends telemetry.Counters[job.EndReason]
	// zoneWaits counts starts that had to wait for a proof that the zone is not cordoned.
	zoneWaits tally.Counter
	// skippedEnds counts ends that were skipped, since their numbers count as stored.
	skippedEnds tally.Counter
	// goneRuns counts runs that went from a list without an end.
	goneRuns tally.Counter
	// unreadableRows counts rows of lists that could not be read.
	unreadableRows tally.Counter
	// implausible counts heartbeats that were dropped for the identity that they claim.
	implausible tally.Counter
	// superseded counts how often this process has given way to a newer one.
	superseded tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	counters := func(name string) telemetry.Counters[outcome] {
		return telemetry.NewCounters(scope, name, "outcome",
			outcomeDone, outcomeOtherIncarnation, outcomeFenced, outcomeRefused, outcomeNoAnswer)
	}
	return metrics{
		incarnations:   telemetry.NewCounters(scope, "lives_over", "how", endDrained, endCrashed),
		starts:         counters("starts_ordered"),
		stops:          counters("stops_ordered"),
		syncs:          counters("holds"),
		polls:          counters("polls"),
		zoneWaits:      scope.Counter("starts_held_for_cordon"),
		skippedEnds:    scope.Counter("ends_passed_over"),
		goneRuns:       scope.Counter("runs_gone_without_end"),
		unreadableRows: scope.Counter("rows_unreadable"),
		implausible:    scope.Counter("heartbeats_odd"),
		superseded:     scope.Counter("superseded"),
		ends: telemetry.NewCounters(scope, "ends_listed", "how",
			job.EndDone,
			job.EndFailed,
			job.EndStopped,
			job.EndLeaseExpired,
			job.EndGangBroken,
			job.EndGangIncomplete,
		),
	}
}
