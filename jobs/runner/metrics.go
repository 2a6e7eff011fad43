package runner

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// outcome is the result of a call to the worker or of a poll, as a metric label.
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
	refusals := []error{ErrAlreadyRan, ErrLeaseExpired, ErrNoCapacity, ErrUnavailable, ErrRejected}
	if isAny(err, refusals) {
		return outcomeRefused
	}
	return outcomeNoAnswer
}

// endOutcome is how an incarnation of the worker ended, as a metric label.
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

// metrics holds the metrics of a runner.
type metrics struct {
	incarnations telemetry.Counters[endOutcome]

	starts, stops, syncs, polls telemetry.Counters[outcome]

	ends telemetry.Counters[job.EndReason]
	// zoneWaits counts the starts that had to wait for a proof that the zone is not cordoned.
	zoneWaits tally.Counter
	// startsWithdrawn counts the starts that were given up because the session in which they were
	// ordered has ended.
	startsWithdrawn tally.Counter
	// skippedEnds counts the unread ends that were skipped because their numbers were already
	// acknowledged.
	skippedEnds tally.Counter
	// vanishedRuns counts the runs that disappeared from a list without an end.
	vanishedRuns tally.Counter
	// listsOmittingEnds counts the lists that may have omitted ends.
	listsOmittingEnds tally.Counter
	// unreadableRows counts the rows of lists that could not be read.
	unreadableRows tally.Counter
	// unexpectedIdentities counts the heartbeats that were dropped because of the identity that
	// they claim.
	unexpectedIdentities tally.Counter
	// superseded counts how often this process has stood down for a newer one.
	superseded tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	counters := func(name string) telemetry.Counters[outcome] {
		return telemetry.NewCounters(scope, name, "outcome",
			outcomeDone, outcomeOtherIncarnation, outcomeFenced, outcomeRefused, outcomeNoAnswer)
	}
	return metrics{
		incarnations:         telemetry.NewCounters(scope, "lives_over", "how", endDrained, endCrashed),
		starts:               counters("starts_ordered"),
		stops:                counters("stops_ordered"),
		syncs:                counters("holds"),
		polls:                counters("polls"),
		zoneWaits:            scope.Counter("starts_held_for_cordon"),
		startsWithdrawn:      scope.Counter("starts_withdrawn"),
		skippedEnds:          scope.Counter("ends_passed_over"),
		vanishedRuns:         scope.Counter("runs_gone_without_end"),
		listsOmittingEnds:    scope.Counter("lists_omitting_ends"),
		unreadableRows:       scope.Counter("rows_unreadable"),
		unexpectedIdentities: scope.Counter("heartbeats_odd"),
		superseded:           scope.Counter("superseded"),
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
