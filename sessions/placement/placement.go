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
// shapes at any time. A placement that uses a guarantee of its team is held; any other placement is
// borrowed and can be reclaimed.
//
// # Usage
//
//	input := state.DecisionInput(now, yieldRank) // or a placement.Input of the caller's own
//	decisions := placement.Decide(input, placement.CompletionProfile())
package placement

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Adjacency is the domain that all accelerators of a shape must share.
type Adjacency string

// The adjacencies, from the loosest to the tightest. AnyPlace means anywhere in one region, because
// the connection between regions can be lost for minutes, which would stop a gang.
const (
	AnyPlace   Adjacency = "any"
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

// Defaults returns the shape with AnyPlace if it has no adjacency.
func (s Shape) Defaults() Shape {
	if s.Adjacency == "" {
		s.Adjacency = AnyPlace
	}
	return s
}

// Validate returns a *fault.Field for the first invalid field. Its name starts with the prefix.
func (s Shape) Validate(prefix string) error {
	if s.Accelerators < 1 || s.Accelerators > MaxGang {
		return fault.BadField(prefix+".accelerators", "want 1 to %d, got %d", MaxGang, s.Accelerators)
	}
	switch s.Adjacency {
	case AnyPlace, SameZone, SameRack, SameWorker:
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

// Covers reports whether a guarantee of shape s can be used by a session of the other shape, which
// must have the same size and no tighter adjacency. The session is then placed with the shape s. A
// smaller session is not covered, because the remaining accelerators of s could be taken by others.
func (s Shape) Covers(other Shape) bool {
	return s.Accelerators == other.Accelerators && s.Adjacency.tightness() >= other.Adjacency.tightness()
}

// Guarantee entitles a team to a number of placements of a shape.
type Guarantee struct {
	Shape
	// Count is how many placements of the shape are guaranteed at the same time.
	Count int `json:"count"`
}

// Member is the part of a placement on one worker.
type Member struct {
	Worker       string `json:"worker"`
	Accelerators []int  `json:"accelerators"`
}

// Worker is a machine and the use of its accelerators.
type Worker struct {
	Name   string
	Rack   string
	Zone   string
	Region string
	// Holders has the token of the placement on each accelerator; zero if it is free.
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
	// For is the session for which a stopping placement was reclaimed.
	For string
	// YieldRank is the order of reclaiming, the lowest first.
	YieldRank int
	// Unsaved is the work lost if the placement stops now and its checkpoint fails.
	Unsaved time.Duration
	// Left is the expected time until the placement ends; zero if unknown.
	Left time.Duration
}

// Waiting is a session that waits to start.
type Waiting struct {
	Session string
	Team    string
	Shape   Shape
	Urgent  bool
	// Waited is the time for which it has been waiting.
	Waited time.Duration
	// Estimate is the expected run time; zero if unknown.
	Estimate time.Duration
}

// Entitlement is a guarantee of a team and how many placements use it.
type Entitlement struct {
	Team  string
	Shape Shape
	Count int
	Used  int
}

// Input is everything that decisions depend on.
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
	// Borrowed means that the session uses no guarantee.
	Borrowed bool
	// Victims are the tokens of the placements to reclaim for the session.
	Victims []int64
}
