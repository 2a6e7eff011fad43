// Package placement is the decision core: which waiting session starts where, and what has to
// be taken back for it.
//
// Everything here is a pure function of its arguments. There is no clock, no I/O and no random
// source, so that the same input gives the same decisions in every process, and a test or an
// experiment can call it directly.
//
// # Terms
//
// A Shape is a number of accelerators with an adjacency. A Guarantee gives a team a number of
// shapes that it can have back at any time. A placement that uses a guarantee of its team is
// held; any other is borrowed, and yields.
//
// # Usage
//
//	topology := placement.NewTopology(workers)
//	decisions := placement.Decide(placement.Input{Topology: topology, ...}, placement.CompletionProfile())
package placement

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Adjacency says how close the accelerators of a shape must be to each other.
type Adjacency string

// The adjacencies, from the loosest to the tightest. AnyPlace is anywhere in one region:
// regions lose each other for minutes, and a gang that spans two would stop each time.
const (
	AnyPlace   Adjacency = "any"
	SameZone   Adjacency = "zone"
	SameRack   Adjacency = "rack"
	SameWorker Adjacency = "worker"
)

// MaxGang is the largest number of accelerators of one gang.
const MaxGang = 64

// Shape is what a gang asks for.
type Shape struct {
	Accelerators int       `json:"accelerators"`
	Adjacency    Adjacency `json:"adjacency"`
}

// Defaults returns the shape with an adjacency.
func (s Shape) Defaults() Shape {
	if s.Adjacency == "" {
		s.Adjacency = AnyPlace
	}
	return s
}

// Validate returns a *fault.Field whose name starts with the given prefix.
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

// tightness orders adjacencies: a higher one is harder to satisfy.
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

// Covers reports whether a guarantee of the shape s serves a session of the other shape: one of
// the same size that asks for no closer adjacency. The session is then placed as s says. A
// smaller one is not served, because its end would have to leave room for the whole of s, which
// nothing would have kept together.
func (s Shape) Covers(other Shape) bool {
	return s.Accelerators == other.Accelerators && s.Adjacency.tightness() >= other.Adjacency.tightness()
}

// Guarantee is a number of shapes that a team can always have back.
type Guarantee struct {
	Shape
	// Count is how many of the shape the team holds at once.
	Count int `json:"count"`
}

// Member is the part of a placement that lies on one worker.
type Member struct {
	Worker       string `json:"worker"`
	Accelerators []int  `json:"accelerators"`
}

// Worker is a machine with the holders of its accelerators.
type Worker struct {
	Name   string
	Rack   string
	Zone   string
	Region string
	// Holders has the token of the placement on each accelerator, zero where it is free.
	Holders []int64
}

// Running is a placement that holds accelerators.
type Running struct {
	Token   int64
	Session string
	Team    string
	Shape   Shape
	// Borrowed placements yield to guarantees and to urgent work.
	Borrowed bool
	// Urgent placements yield to guarantees only: two urgent sessions would otherwise take from
	// each other for ever.
	Urgent bool
	// Stopping placements release their accelerators soon.
	Stopping bool
	// For is the session that a stopping placement makes room for.
	For string
	// YieldRank orders victims: lower yields first.
	YieldRank int
	// Unsaved is the work lost if it is stopped now and its checkpoint fails.
	Unsaved time.Duration
	// Left is the expected time until it ends; zero if it is not known.
	Left time.Duration
}

// Waiting is a session that wants to start.
type Waiting struct {
	Session string
	Team    string
	Shape   Shape
	Urgent  bool
	// Waited is the time since the session began to wait.
	Waited time.Duration
	// Estimate is the expected run time; zero if it is not known.
	Estimate time.Duration
}

// Entitlement is one guarantee of a team with the number of it that running placements use.
type Entitlement struct {
	Team  string
	Shape Shape
	Count int
	Used  int
}

// Input is all that a decision looks at.
type Input struct {
	Workers      []Worker
	Running      []Running
	Waiting      []Waiting
	Entitlements []Entitlement
}

// Decision is one thing to do. Exactly one of Members and Victims is set.
type Decision struct {
	Session string
	// Members is where the session starts.
	Members []Member
	// Borrowed says that the start uses no guarantee.
	Borrowed bool
	// Victims are the tokens of the placements to take back for the session.
	Victims []int64
}
