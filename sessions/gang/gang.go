// Package gang keeps the members of a placement together: all run, or none.
//
// # Protocol
//
// The first member of a placement is its leader. Every member sends the leader a Beat with its
// status, and gets a Grant back. The leader grants a lease only while every member's newest
// beat is fresh, none has failed, and the ledger says that the gang runs. A member runs its
// task only under a lease, which counts from the moment at which it sent the beat, on its own
// monotonic clock.
//
// No entry and no log takes part while a gang runs, so it goes on through their outages. When a
// member is lost at time t, the leader grants until t+Fresh at the latest, and what it granted
// then ends by t+Fresh+Lease. The task of the lost member itself runs under a lease at its
// worker that is never longer than what is left of the member's own, so it ends by t+2·Lease
// even if the agent was frozen while it renewed. Timing.Bound is the larger of the two.
//
// # Usage
//
//	leader := gang.NewLeader(token, members, timing)
//	member := gang.NewMember(spec, link, workers, timing, changed, inTrace)
//	go member.Run(ctx)
package gang

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Timing is the pace of a gang.
type Timing struct {
	// Beat is the time between two beats of a member.
	Beat time.Duration
	// Fresh is how old a member's newest beat may be when the leader grants.
	Fresh time.Duration
	// Lease is how long a member runs on one grant.
	Lease time.Duration
	// Checkpoint is the time between two checkpoints of a running member.
	Checkpoint time.Duration
}

// DefaultTiming is used unless the settings say otherwise. With 64 members a leader takes 32
// beats a second.
func DefaultTiming() Timing {
	return Timing{Beat: 2 * time.Second, Fresh: 5 * time.Second, Lease: 5 * time.Second, Checkpoint: 10 * time.Minute}
}

// Bound is the longest time for which a part of a gang can run after a member has been lost.
func (t Timing) Bound() time.Duration { return max(t.Fresh+t.Lease, 2*t.Lease) }

// Validate returns a *fault.Field for a pace at which healthy gangs would stop.
func (t Timing) Validate() error {
	if t.Beat <= 0 {
		return fault.BadField("gang-beat", "want more than 0, got %v", t.Beat)
	}
	if t.Fresh < 2*t.Beat {
		return fault.BadField("gang-fresh", "want at least twice the beat of %v, got %v", t.Beat, t.Fresh)
	}
	if t.Lease < 2*t.Beat {
		return fault.BadField("gang-lease", "want at least twice the beat of %v, got %v", t.Beat, t.Lease)
	}
	if t.Checkpoint < t.Lease {
		return fault.BadField("gang-checkpoint", "want at least the lease of %v, got %v", t.Lease, t.Checkpoint)
	}
	return nil
}

// Status is the stage of one member.
type Status string

// The stages of a member, in order. Failed is one that can't go on; Stopped is the end of every
// member.
const (
	// Preparing members wait until their accelerators are free.
	Preparing Status = "preparing"
	// Ready members hold their accelerators and run nothing.
	Ready Status = "ready"
	// Running members run their task.
	Running Status = "running"
	// Finished members have done their work; the others may still be at it.
	Finished Status = "finished"
	// Failed members will stop.
	Failed Status = "failed"
	// Stopped members run nothing and will never run again.
	Stopped Status = "stopped"
)

// Heartbeat is what a member tells its leader.
type Heartbeat struct {
	Token  int64  `json:"t"`
	Worker string `json:"w"`
	Status Status `json:"s"`
	// Progress is the work that the member's last checkpoint holds, in nanoseconds.
	Progress time.Duration `json:"p,omitempty"`
}

// Grant is the leader's answer to a beat.
type Grant struct {
	// Run says that the member may run for one lease from the moment at which it sent the beat.
	Run bool `json:"r,omitempty"`
	// Stop says that the gang has failed: stop now instead of when the lease ends.
	Stop bool `json:"x,omitempty"`
}

// Report is what a leader knows of its gang, for the entry.
type Report struct {
	Token int64 `json:"token"`
	// Ready says that all members are ready or further.
	Ready bool `json:"ready,omitempty"`
	// Finished says that the work of all members is done.
	Finished bool `json:"finished,omitempty"`
	// Progress is the work that the checkpoints of all members hold, in nanoseconds.
	Progress time.Duration `json:"progress_ns,omitempty"`
	// Failed has the reason why the gang can't go on, if it can't.
	Failed string `json:"failed,omitempty"`
}
