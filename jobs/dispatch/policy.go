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
	// Guarantees: jobs within their team's guarantee come first and take room back. Without: urgent jobs are all alike.
	Guarantees Mechanism = "guarantees"
	// InTimeFirst: urgent jobs that may still be in time come before those that are late. Without: by when they are due.
	InTimeFirst Mechanism = "in-time-first"
	// SmallFirst: of urgent jobs the smaller come first. Without: by when they are due.
	SmallFirst Mechanism = "small-first"
	// ExpiredLast: what is so late that its caller has no use for it comes last. Without: by when it was due.
	ExpiredLast Mechanism = "expired-last"
	// Reservations: room is held back for waiting gangs. Without: whatever fits takes it.
	Reservations Mechanism = "reservations"
	// Preemption: work stops for urgent jobs. Without: they wait for room.
	Preemption Mechanism = "preemption"
	// PreemptionBudget: no more work is lost for an urgent job than it is worth. Without: whatever it takes.
	PreemptionBudget Mechanism = "preemption-budget"
	// StopsByChance: work is stopped where the urgent job most likely is in time for it, and for what that is worth. Without: where it costs the
	// least, whatever the workers' speed.
	StopsByChance Mechanism = "stops-by-chance"
	// RepeatCost: a run of what has been stopped before costs more to stop. Without: all runs cost the work they lose.
	RepeatCost Mechanism = "repeat-cost"
	// WaitForRoom: nothing stops where room comes in time by itself. Without: work stops at once.
	WaitForRoom Mechanism = "wait-for-room"
	// KeepFreed: room that stops free is for the unit they were for. Without: for whoever is first.
	KeepFreed Mechanism = "keep-freed"
	// Forecasts: how long tasks work is predicted from what was seen. Without: callers' estimates are believed.
	Forecasts Mechanism = "forecasts"
	// NominalLengths: what is learnt of lengths is the time on an average worker. Without: on those on which it happened to run.
	NominalLengths Mechanism = "nominal-lengths"
	// Quarantine: workers that fail what they start get nothing for a while. Without: they get work as others do.
	Quarantine Mechanism = "quarantine"
	// AvoidFailed: a task is not placed where it failed a short while ago. Without: anywhere.
	AvoidFailed Mechanism = "avoid-failed"
	// MoveStalled: runs that stand still are moved. Without: they stay until their worker ends them.
	MoveStalled Mechanism = "move-stalled"
	// Evacuation: what can't end on a leaving worker in time is moved. Without: it is lost with the worker.
	Evacuation Mechanism = "evacuation"
	// SuspectsApart: tasks under which workers crashed are tried where little else can be lost. Without: where others are.
	SuspectsApart Mechanism = "suspects-apart"
	// FullestFirst: the fullest rack and worker are filled first. Without: in the order of names.
	FullestFirst Mechanism = "fullest-first"
	// FewWorkers: the members of a gang share as few workers as they can. Without: they fill the fullest workers one by one.
	FewWorkers Mechanism = "few-workers"
	// Speeds: urgent jobs go to the workers that have proved fast, what can wait to the slow ones. Without: speeds play no part.
	Speeds Mechanism = "speeds"
	// SavesApart: what saves its work and what does not fill the racks from either end. Without: all of it shares racks.
	SavesApart Mechanism = "saves-apart"
	// Headroom: what can wait leaves room free for urgent jobs like those seen lately. Without: it takes whatever fits.
	Headroom Mechanism = "headroom"
	// DataPatience: a task waits for room near its data for a while. Without: it goes elsewhere at once.
	DataPatience Mechanism = "data-patience"
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Guarantees, InTimeFirst, SmallFirst, ExpiredLast, Reservations, Preemption, PreemptionBudget, StopsByChance, RepeatCost, WaitForRoom, KeepFreed,
		Forecasts, NominalLengths, Quarantine, AvoidFailed, MoveStalled, Evacuation, SuspectsApart, FullestFirst, FewWorkers, Speeds, SavesApart, Headroom, DataPatience,
	}
}

// Policy says which mechanisms decide. The zero value has all of them; it never changes.
type Policy struct{ off map[Mechanism]bool }

// Without returns the policy without some mechanisms, or an error that names the first one that does not exist.
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

// Has reports whether a mechanism decides.
func (p Policy) Has(m Mechanism) bool { return !p.off[m] }
