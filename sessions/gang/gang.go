// Package gang ensures that either all members of a placement run or none of them does.
//
// # Protocol
//
// The first member of a placement is its leader. Every member sends the leader a Heartbeat with its
// status and receives a Grant. The leader grants leases only while the ledger says that the gang
// runs, the newest heartbeat of each member is no older than Timing.HeartbeatTimeout, and no member
// has failed. A member runs its task only under a lease. The lease starts at the time when the
// member sent the heartbeat, measured by the member's monotonic clock.
//
// Neither entries nor the log are involved while a gang runs, so the gang survives their outages.
// If a member is lost at time t, the leader grants no lease after t+HeartbeatTimeout, so the others
// stop by t+HeartbeatTimeout+LeaseDuration. The worker of the lost member holds a lease on the task
// that is no longer than the remaining part of the member's own, so the task ends by
// t+2·LeaseDuration even if the agent froze during a renewal. Timing.MaxStopDelay is the larger of
// the two delays.
//
// # State
//
// A Leader owns the newest state of all members, a Member the stage of one. Both are kept in memory
// by the agents of the gang; a member that is lost with its agent is not recovered.
//
// # Dependencies
//
// hosting.Workers runs the tasks. The agent receives the ledger's phase of the placement from an
// entry, and calls Leader.SetRunning and Member.Stop.
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

// Timing holds the periods and timeouts of a gang.
type Timing struct {
	// HeartbeatInterval is the heartbeat period.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the maximum age of each member's newest heartbeat when the leader grants
	// a lease.
	HeartbeatTimeout time.Duration
	// LeaseDuration is the time for which a grant is valid.
	LeaseDuration time.Duration
	// CheckpointInterval is the checkpoint period of a running member.
	CheckpointInterval time.Duration
}

// DefaultTiming returns the default periods. The leader of 64 members handles 32 heartbeats/s.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:  2 * time.Second,
		HeartbeatTimeout:   5 * time.Second,
		LeaseDuration:      5 * time.Second,
		CheckpointInterval: 10 * time.Minute,
	}
}

// MaxStopDelay returns the maximum time that other members can run after one is lost.
func (t Timing) MaxStopDelay() time.Duration {
	return max(t.HeartbeatTimeout+t.LeaseDuration, 2*t.LeaseDuration)
}

// Validate returns a *fault.Field if healthy gangs would stop because of these periods.
func (t Timing) Validate() error {
	if t.HeartbeatInterval <= 0 {
		return fault.BadField("gang-beat", "want more than 0, got %v", t.HeartbeatInterval)
	}
	if t.HeartbeatTimeout < 2*t.HeartbeatInterval {
		return fault.BadField("gang-fresh",
			"want at least twice the beat of %v, got %v", t.HeartbeatInterval, t.HeartbeatTimeout)
	}
	if t.LeaseDuration < 2*t.HeartbeatInterval {
		return fault.BadField("gang-lease",
			"want at least twice the beat of %v, got %v", t.HeartbeatInterval, t.LeaseDuration)
	}
	if t.CheckpointInterval < t.LeaseDuration {
		return fault.BadField("gang-checkpoint",
			"want at least the lease of %v, got %v", t.LeaseDuration, t.CheckpointInterval)
	}
	return nil
}

// Status is the stage of a member.
type Status string

// The stages of a member, in order. Every member ends as Stopped.
const (
	// Preparing members wait for their accelerators to become free.
	Preparing Status = "preparing"
	// Ready members have their accelerators and wait for the first grant.
	Ready   Status = "ready"
	Running Status = "running"
	// Finished members have completed their work; others may still be running.
	Finished Status = "finished"
	// Failed members cannot continue and are being stopped.
	Failed Status = "failed"
	// Stopped members never run again.
	Stopped Status = "stopped"
)

// Heartbeat is the message from a member to its leader.
type Heartbeat struct {
	Token  int64  `json:"t"`
	Worker string `json:"w"`
	Status Status `json:"s"`
	// Progress is the amount of work saved by the member's last checkpoint, in ns.
	Progress time.Duration `json:"p,omitempty"`
}

// Grant is the leader's answer to a heartbeat. The zero Grant asks the member to wait.
type Grant struct {
	// Run grants a lease that starts at the time when the member sent the heartbeat.
	Run bool `json:"r,omitempty"`
	// Stop means that the gang has failed. The member stops at once instead of at the end of its
	// lease.
	Stop bool `json:"x,omitempty"`
}

// Report is the state of a gang that its leader reports to an entry.
type Report struct {
	Token int64 `json:"token"`
	// Ready means that all members are Ready, Running or Finished.
	Ready bool `json:"ready,omitempty"`
	// Finished means that all members have completed their work.
	Finished bool `json:"finished,omitempty"`
	// Progress is the smallest amount of work saved by any member, in ns.
	Progress time.Duration `json:"progress_ns,omitempty"`
	// Failed is the reason why the gang must stop; empty if it need not.
	Failed string `json:"failed,omitempty"`
}
