package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Mechanism is a part of the decision that can be switched off.
type Mechanism string

// The mechanisms, each with the behaviour when it is disabled.
const (
	// Guarantees: jobs within their team's guarantee come first and reclaim borrowed capacity.
	// Disabled: urgent jobs are treated alike.
	Guarantees Mechanism = "guarantees"
	// InTimeFirst: urgent jobs that can still be on time come before late ones. Disabled: ordered
	// by objective.
	InTimeFirst Mechanism = "in-time-first"
	// OnTimeUnderOverload: while a service is overloaded, jobs of all priorities that can still be on
	// time come before late ones. Disabled: jobs that are not urgent are ordered by objective.
	OnTimeUnderOverload Mechanism = "on-time-under-overload"
	// TeamShares: while a service is overloaded and several teams wait, jobs of the team that has used
	// the least of it come first. Disabled: the order doesn't depend on teams.
	TeamShares Mechanism = "team-shares"
	// FinishBegun: while a service is overloaded, jobs that have begun come before jobs of the same
	// queue that have not. Disabled: ordered by objective.
	FinishBegun Mechanism = "finish-begun"
	// SmallFirst: small urgent jobs come before large ones. Disabled: ordered by objective.
	SmallFirst Mechanism = "small-first"
	// ExpiredLast: jobs that are too late to be useful come last. Disabled: ordered by objective.
	ExpiredLast Mechanism = "expired-last"
	// Reservations: capacity is reserved for waiting gangs. Disabled: any work that fits takes it.
	Reservations Mechanism = "reservations"
	// OverloadReservations: while a service is overloaded, more waiting gangs have reservations.
	// Disabled: as many as at other times.
	OverloadReservations Mechanism = "overload-reservations"
	// Preemption: work is stopped for urgent jobs. Disabled: they wait for free capacity.
	Preemption Mechanism = "preemption"
	// PreemptionBudget: the work lost for an urgent job is bounded by a budget based on the job's
	// own work. Disabled: any amount may be lost.
	PreemptionBudget Mechanism = "preemption-budget"
	// ProbabilisticPreemption: stops are planned where the urgent job is most likely to be on time,
	// within a budget that depends on that probability. Disabled: where they cost the least,
	// regardless of the workers' speed.
	ProbabilisticPreemption Mechanism = "stops-by-chance"
	// RepeatCost: a task that was stopped before costs more to stop. Disabled: only the lost work
	// counts.
	RepeatCost Mechanism = "repeat-cost"
	// WaitForCapacity: nothing is stopped if capacity becomes free in time without stops. Disabled:
	// work is stopped at once.
	WaitForCapacity Mechanism = "wait-for-room"
	// HoldFreedCapacity: capacity freed by stops is held for the unit that they were made for.
	// Disabled: it goes to the first unit in the queue.
	HoldFreedCapacity Mechanism = "keep-freed"
	// Forecasts: durations are predicted from observations. Disabled: callers' estimates are used.
	Forecasts Mechanism = "forecasts"
	// NormalizedDurations: observed durations are converted to those on an average worker.
	// Disabled: they are used as observed.
	NormalizedDurations Mechanism = "nominal-lengths"
	// BoundedSamples: single tasks that take far longer than the others of their step or queue don't
	// count for the speed of their worker and for predicted durations. Disabled: they count like
	// others.
	BoundedSamples Mechanism = "bounded-samples"
	// Quarantine: workers that fail what they start get no work for a while. Disabled: they get
	// work.
	Quarantine Mechanism = "quarantine"
	// SharedQuarantine: workers that fail what they start at the same time are blamed sooner, and
	// are quarantined and tried together. Disabled: each on its own.
	SharedQuarantine Mechanism = "shared-quarantine"
	// SafeProbation: a worker on probation gets a task that can afford to fail, and is proven by a
	// run that makes progress. Disabled: it gets any run, which must succeed.
	SafeProbation Mechanism = "safe-probation"
	// SlowWorkers: workers whose runs have lost pace get nothing urgent, and urgent runs that can be
	// on time elsewhere are moved. Disabled: such workers are like others.
	SlowWorkers Mechanism = "slow-workers"
	// AvoidFailed: a task is not placed where it failed recently. Disabled: it may be placed
	// anywhere.
	AvoidFailed Mechanism = "avoid-failed"
	// MoveStalled: runs without progress are moved. Disabled: they stay until their worker ends
	// them.
	MoveStalled Mechanism = "move-stalled"
	// Evacuation: runs that can't end before their worker leaves are moved. Disabled: they are lost
	// with the worker.
	Evacuation Mechanism = "evacuation"
	// IsolateSuspects: tasks that workers crashed under are retried where little else can be lost.
	// Disabled: they are placed like others.
	IsolateSuspects Mechanism = "suspects-apart"
	// FullestFirst: the fullest rack and worker are filled first. Disabled: in order of names.
	FullestFirst Mechanism = "fullest-first"
	// FewWorkers: a gang takes as few workers as possible. Disabled: it fills the fullest one by
	// one.
	FewWorkers Mechanism = "few-workers"
	// Speeds: urgent jobs go to fast workers, others to slow ones. Disabled: speeds are ignored.
	Speeds Mechanism = "speeds"
	// SeparateCheckpointed: work that saves checkpoints and work that doesn't fill the racks from
	// opposite ends. Disabled: they share racks.
	SeparateCheckpointed Mechanism = "saves-apart"
	// Headroom: work that can wait leaves capacity free for urgent jobs. Disabled: it takes
	// whatever fits.
	Headroom Mechanism = "headroom"
	// StoppedWait: while a service is overloaded, work that was stopped for an urgent job is not
	// restarted in the headroom until the burst of stops is over. Disabled: it takes the headroom like
	// other work.
	StoppedWait Mechanism = "stopped-wait"
	// Rollouts: while the workers of a service are replaced, work that would be lost with its worker
	// goes to workers that stay. Disabled: versions are ignored.
	Rollouts Mechanism = "rollouts"
	// DataLocality: a task waits for a while for capacity near its data. Disabled: it is placed
	// elsewhere at once.
	DataLocality Mechanism = "data-patience"
	// LoadShedding: while a service is overloaded, the leader publishes its backlog, by which entries
	// refuse submissions. Disabled: nothing is published, and nothing is refused for overload.
	LoadShedding Mechanism = "load-shedding"
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Guarantees, InTimeFirst, OnTimeUnderOverload, TeamShares, FinishBegun, SmallFirst, ExpiredLast,
		Reservations, OverloadReservations, Preemption, PreemptionBudget, ProbabilisticPreemption, RepeatCost,
		WaitForCapacity, HoldFreedCapacity, Forecasts, NormalizedDurations, BoundedSamples, Quarantine,
		SharedQuarantine, SafeProbation, SlowWorkers, AvoidFailed, MoveStalled, Evacuation, IsolateSuspects,
		FullestFirst, FewWorkers, Speeds, SeparateCheckpointed, Headroom, StoppedWait, DataLocality, Rollouts,
		LoadShedding,
	}
}

// Policy determines which mechanisms are enabled. The zero value enables all of them. A policy is
// immutable.
type Policy struct{ off map[Mechanism]bool }

// Without returns the policy without the named mechanisms, or an error for the first unknown name.
func (p Policy) Without(names ...string) (Policy, error) {
	off := maps.Clone(p.off)
	if off == nil {
		off = map[Mechanism]bool{}
	}
	for _, name := range names {
		if !slices.Contains(Mechanisms(), Mechanism(name)) {
			return p, fmt.Errorf("want one of %s, got %q", strings.Join(mechanismNames(), ", "), name)
		}
		off[Mechanism(name)] = true
	}
	return Policy{off: off}, nil
}

func mechanismNames() []string {
	var names []string
	for _, m := range Mechanisms() {
		names = append(names, string(m))
	}
	return names
}

// Has reports whether a mechanism is enabled.
func (p Policy) Has(m Mechanism) bool { return !p.off[m] }
