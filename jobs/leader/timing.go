package leader

import "time"

// Timing holds the intervals and time limits of leadership.
type Timing struct {
	// Lease is how long after an answer an agent may keep its worker's runs alive.
	Lease time.Duration
	// MaxProofAge is the largest age of the leader's newest acknowledged write at which it grants
	// leases.
	MaxProofAge time.Duration
	// MaxClockDrift is the largest relative error of a worker's clock, LeaseMargin an addition
	// for delays.
	MaxClockDrift float64
	LeaseMargin   time.Duration
	// PollWait is how long a poll is held if there is nothing to answer.
	PollWait time.Duration
	// AgentTimeout is how long the present incarnation of an agent may be silent until a former one
	// is heard again. It exceeds PollWait and the time between two polls together.
	AgentTimeout time.Duration
	// HeartbeatInterval is how often a leader writes at least.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the silence after which a standby claims the next term. It exceeds
	// HeartbeatInterval and a slow append together.
	ElectionTimeout time.Duration
	// SuspicionTimeout is the silence after which a standby asks the leader whether it still
	// runs. It is shorter than ElectionTimeout.
	SuspicionTimeout time.Duration
	// NonStandbyDelay is how much longer other entries wait. It exceeds HeartbeatInterval and the
	// time between two of their reads together.
	NonStandbyDelay time.Duration
	// IsolationTimeout is how long a leader with unfinished jobs goes on without any poll. It
	// then gives up, and claims nothing for as long, so that an entry that reaches the agents can
	// lead.
	IsolationTimeout time.Duration
}

// DefaultTiming returns the timing for leases of the given length.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{
		Lease:             lease,
		MaxProofAge:       3 * time.Second,
		MaxClockDrift:     0.03,
		LeaseMargin:       300 * time.Millisecond,
		PollWait:          500 * time.Millisecond,
		AgentTimeout:      1500 * time.Millisecond,
		HeartbeatInterval: 400 * time.Millisecond,
		ElectionTimeout:   time.Second,
		SuspicionTimeout:  600 * time.Millisecond,
		NonStandbyDelay:   time.Second,
		IsolationTimeout:  3 * time.Second,
	}
}

// leaseEnd is how long after granting a lease a run under it may still go on.
func (t Timing) leaseEnd() time.Duration {
	return time.Duration(float64(t.Lease)*(1+t.MaxClockDrift)) + t.LeaseMargin
}
