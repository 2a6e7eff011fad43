// Package gang makes sure that either all members of a placement run or none does.
//
// # Protocol
//
// The first member of a placement is its leader. Every member sends the leader a Heartbeat with
// its status and receives a Grant. The leader grants leases only while the ledger says that the
// gang runs, the newest heartbeat of each member is fresh, and no member has failed. A member runs
// its task only under a lease. The lease starts when the member sent the heartbeat, measured by
// the member's monotonic clock.
//
// Neither entries nor the log are involved while a gang runs, so it survives their outages. If a
// member is lost at time t, the leader grants no lease after t+Fresh, so the others stop by
// t+Fresh+Lease. The worker of the lost member holds a lease on the task that is no longer than
// the rest of the member's own, so the task ends by t+2·Lease even if the agent froze in a renewal.
// Timing.Bound is the larger of the two.
//
// # State
//
// A Leader owns the newest state of all members, a Member the stage of one. Both live in memory in
// the agents of the gang; a member that is lost with its agent is not recovered.
//
// # Dependencies
//
// hosting.Workers runs the tasks. The ledger's phase of the placement arrives through the agent,
// which calls Leader.SetRunning and Member.Stop.
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

// Timing has the periods and timeouts of a gang.
type Timing struct {
	// Beat is the heartbeat period.
	Beat time.Duration
	// Fresh is the maximum age of each member's newest heartbeat when the leader grants a lease.
	Fresh time.Duration
	// Lease is how long a grant is valid.
	Lease time.Duration
	// Checkpoint is the checkpoint period of a running member.
	Checkpoint time.Duration
}

// DefaultTiming returns the default periods. The leader of 64 members handles 32 heartbeats/s.
func DefaultTiming() Timing {
	return Timing{
		Beat:       2 * time.Second,
		Fresh:      5 * time.Second,
		Lease:      5 * time.Second,
		Checkpoint: 10 * time.Minute,
	}
}

// Bound returns how long other members can run at most after one was lost.
func (t Timing) Bound() time.Duration { return max(t.Fresh+t.Lease, 2*t.Lease) }

// Validate returns a *fault.Field if healthy gangs would stop with these periods.
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

// Status is the stage of a member.
type Status string

// The stages of a member, in order. Every member ends as Stopped.
const (
	// Preparing members wait until their accelerators are free.
	Preparing Status = "preparing"
	// Ready members have their accelerators and wait for the first grant.
	Ready   Status = "ready"
	Running Status = "running"
	// Finished members have done their work; others may still be running.
	Finished Status = "finished"
	// Failed members can't go on and are being stopped.
	Failed Status = "failed"
	// Stopped members never run again.
	Stopped Status = "stopped"
)

// Heartbeat is the message from a member to its leader.
type Heartbeat struct {
	Token  int64  `json:"t"`
	Worker string `json:"w"`
	Status Status `json:"s"`
	// Progress is the work saved by the member's last checkpoint, in ns.
	Progress time.Duration `json:"p,omitempty"`
}

// Grant is the leader's answer to a heartbeat. The zero Grant asks the member to wait.
type Grant struct {
	// Run grants a lease that starts when the member sent the heartbeat.
	Run bool `json:"r,omitempty"`
	// Stop means that the gang has failed. The member stops now instead of at the end of its lease.
	Stop bool `json:"x,omitempty"`
}

// Report is the state of a gang that its leader reports to an entry.
type Report struct {
	Token int64 `json:"token"`
	// Ready means that all members are ready or further.
	Ready bool `json:"ready,omitempty"`
	// Finished means that all members have done their work.
	Finished bool `json:"finished,omitempty"`
	// Progress is the least work saved by a member, in ns.
	Progress time.Duration `json:"progress_ns,omitempty"`
	// Failed is the reason why the gang must stop, or empty.
	Failed string `json:"failed,omitempty"`
}
