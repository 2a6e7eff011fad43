// Package placement decides which waiting sessions start on which accelerators, and which running
// placements are reclaimed for them.
//
// Its functions are pure: they use no clock, no I/O and no random numbers, so the same input gives
// the same decisions in every process. The package owns no state and depends on nothing but its
// input.
//
// # Terms
//
// A Shape is a number of accelerators with an adjacency. A Guarantee entitles a team to a number of
// shapes at any time. A placement that uses a guarantee of its team cannot be reclaimed; any other
// placement is borrowed and can be.
//
// # Usage
//
//	input := state.DecisionInput(now, yieldRank) // or a placement.Input built by the caller
//	decisions := placement.Decide(input, placement.CompletionProfile())
package placement

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Adjacency is the domain that all accelerators of a shape must share.
type Adjacency string

// The adjacencies, from the loosest to the tightest. No gang spans regions, because the connection
// between regions can be lost for minutes, which would stop the gang.
const (
	SameRegion Adjacency = "any"
	SameZone   Adjacency = "zone"
	SameRack   Adjacency = "rack"
	SameWorker Adjacency = "worker"
)

// MaxGang is the maximum number of accelerators of a gang.
const MaxGang = 64

// Shape is the number and the adjacency of the accelerators of a gang.
type Shape struct {
	Accelerators int       `json:"accelerators"`
	Adjacency    Adjacency `json:"adjacency"`
}

// WithDefaults returns the shape with the adjacency SameRegion if it has none.
func (s Shape) WithDefaults() Shape {
	if s.Adjacency == "" {
		s.Adjacency = SameRegion
	}
	return s
}

// Validate returns a *fault.Field for the first invalid field. The name of the field starts with
// the prefix.
func (s Shape) Validate(prefix string) error {
	if s.Accelerators < 1 || s.Accelerators > MaxGang {
		return fault.BadField(prefix+".accelerators", "want 1 to %d, got %d", MaxGang, s.Accelerators)
	}
	switch s.Adjacency {
	case SameRegion, SameZone, SameRack, SameWorker:
		return nil
	}
	return fault.BadField(prefix+".adjacency", "want any, zone, rack or worker, got %q", s.Adjacency)
}

// tightness returns the level of the topology at which the adjacency is satisfied.
func (a Adjacency) tightness() int {
	switch a {
	case SameWorker:
		return workerLevel
	case SameRack:
		return rackLevel
	case SameZone:
		return zoneLevel
	}
	return regionLevel
}

// Covers reports whether a session of the other shape can use a guarantee of shape s. The other
// shape must have the same size and no tighter adjacency, and the session is placed with shape s. A
// smaller session is not covered, because others could take the remaining accelerators of s.
func (s Shape) Covers(other Shape) bool {
	return s.Accelerators == other.Accelerators && s.Adjacency.tightness() >= other.Adjacency.tightness()
}

// Guarantee entitles a team to a number of placements of a shape.
type Guarantee struct {
	Shape
	// Count is the number of placements of the shape that are guaranteed at the same time.
	Count int `json:"count"`
}

// Member is the part of a placement on one worker.
type Member struct {
	Worker       string `json:"worker"`
	Accelerators []int  `json:"accelerators"`
}

// Worker is a box with the placements on its accelerators.
type Worker struct {
	Name   string
	Rack   string
	Zone   string
	Region string
	// Holders is the token of the placement on each accelerator; zero if the accelerator is free.
	Holders []int64
}

// Running is a placement that holds accelerators.
type Running struct {
	Token   int64
	Session string
	Team    string
	Shape   Shape
	// Borrowed placements can be reclaimed for guarantees and urgent sessions.
	Borrowed bool
	// Urgent placements can be reclaimed for guarantees only. Otherwise two urgent sessions would
	// reclaim from each other forever.
	Urgent bool
	// Stopping placements will release their accelerators.
	Stopping bool
	// ReclaimedFor is the session for which a stopping placement was reclaimed.
	ReclaimedFor string
	// YieldRank determines the order of reclaiming; the lowest rank is reclaimed first.
	YieldRank int
	// Unsaved is the work lost if the placement stops now and its checkpoint fails.
	Unsaved time.Duration
	// Remaining is the expected time until the placement ends; zero if unknown.
	Remaining time.Duration
}

// Waiting is a session that waits to start.
type Waiting struct {
	Session string
	Team    string
	Shape   Shape
	Urgent  bool
	// Waited is the time that the session has spent waiting.
	Waited time.Duration
	// Estimate is the expected run time; zero if unknown.
	Estimate time.Duration
}

// Entitlement is a guarantee of a team with the number of placements that use it.
type Entitlement struct {
	Team  string
	Shape Shape
	Count int
	Used  int
}

// Input is the complete input of Decide.
type Input struct {
	Workers      []Worker
	Running      []Running
	Waiting      []Waiting
	Entitlements []Entitlement
}

// Decision starts a session or reclaims placements for it. Exactly one of Members and Victims
// is set.
type Decision struct {
	Session string
	// Members are the accelerators on which the session starts.
	Members []Member
	// Borrowed means that the session starts without a guarantee.
	Borrowed bool
	// Victims are the tokens of the placements to reclaim for the session.
	Victims []int64
}
