package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Mechanism is a part of the decision that can be switched off.
type Mechanism string

// The mechanisms, each with what happens without it.
const (
	// Guarantees: jobs within their team's guarantee come first and take room back. Without:
	// urgent jobs are all alike.
	Guarantees Mechanism = "guarantees"
	// InTimeFirst: urgent jobs that may still be in time come before late ones. Without: by
	// objective.
	InTimeFirst Mechanism = "in-time-first"
	// SmallFirst: small urgent jobs come before large ones. Without: by objective.
	SmallFirst Mechanism = "small-first"
	// ExpiredLast: jobs that are too late to be of use come last. Without: by objective.
	ExpiredLast Mechanism = "expired-last"
	// Reservations: room is reserved for waiting gangs. Without: whatever fits takes it.
	Reservations Mechanism = "reservations"
	// Preemption: work stops for urgent jobs. Without: they wait for room.
	Preemption Mechanism = "preemption"
	// PreemptionBudget: no more work is lost for an urgent job than it is worth. Without: any
	// amount.
	PreemptionBudget Mechanism = "preemption-budget"
	// StopsByChance: stops are planned where the urgent job is most likely in time, and for
	// what that is worth. Without: where they cost the least, whatever the workers' speed.
	StopsByChance Mechanism = "stops-by-chance"
	// RepeatCost: a task that was stopped before costs more to stop. Without: only the work
	// that is lost.
	RepeatCost Mechanism = "repeat-cost"
	// WaitForRoom: nothing stops where room becomes free in time by itself. Without: work stops
	// at once.
	WaitForRoom Mechanism = "wait-for-room"
	// KeepFreed: room that stops free is kept for the unit they were for. Without: it is for
	// the first in the queue.
	KeepFreed Mechanism = "keep-freed"
	// Forecasts: durations are predicted from what was observed. Without: callers' estimates
	// are used.
	Forecasts Mechanism = "forecasts"
	// NominalLengths: observed durations are converted to those on an average worker. Without:
	// they are used as observed.
	NominalLengths Mechanism = "nominal-lengths"
	// Quarantine: workers that fail what they start get nothing for a while. Without: they get
	// work.
	Quarantine Mechanism = "quarantine"
	// AvoidFailed: a task is not placed where it failed a short while ago. Without: anywhere.
	AvoidFailed Mechanism = "avoid-failed"
	// MoveStalled: runs without progress are moved. Without: they stay until their worker ends
	// them.
	MoveStalled Mechanism = "move-stalled"
	// Evacuation: what can't end on a leaving worker in time is moved. Without: it is lost with
	// the worker.
	Evacuation Mechanism = "evacuation"
	// SuspectsApart: tasks under which workers crashed are tried where little else can be lost.
	// Without: they are placed like others.
	SuspectsApart Mechanism = "suspects-apart"
	// FullestFirst: the fullest rack and worker are filled first. Without: in the order of names.
	FullestFirst Mechanism = "fullest-first"
	// FewWorkers: a gang takes as few workers as it can. Without: it fills the fullest one by one.
	FewWorkers Mechanism = "few-workers"
	// Speeds: urgent jobs go to fast workers, others to slow ones. Without: speeds don't matter.
	Speeds Mechanism = "speeds"
	// SavesApart: work that saves checkpoints and work that doesn't fill the racks from either end.
	// Without: they share racks.
	SavesApart Mechanism = "saves-apart"
	// Headroom: work that can wait leaves room free for urgent jobs. Without: it takes whatever
	// fits.
	Headroom Mechanism = "headroom"
	// DataPatience: a task waits a while for room near its data. Without: it goes elsewhere at
	// once.
	DataPatience Mechanism = "data-patience"
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Guarantees, InTimeFirst, SmallFirst, ExpiredLast, Reservations,
		Preemption, PreemptionBudget, StopsByChance, RepeatCost, WaitForRoom, KeepFreed,
		Forecasts, NominalLengths, Quarantine, AvoidFailed, MoveStalled, Evacuation, SuspectsApart,
		FullestFirst, FewWorkers, Speeds, SavesApart, Headroom, DataPatience,
	}
}

// Policy says which mechanisms are on. The zero value has all of them; a policy never changes.
type Policy struct{ off map[Mechanism]bool }

// Without returns the policy without the named mechanisms, or an error for the first that
// doesn't exist.
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

// Has reports whether a mechanism is on.
func (p Policy) Has(m Mechanism) bool { return !p.off[m] }
