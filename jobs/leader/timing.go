package leader

import "time"

// Timing holds the intervals and time limits of leadership.
type Timing struct {
	// Lease is how long an agent may keep its worker's runs alive after an answer.
	Lease time.Duration
	// MaxProofAge is the maximum age of the leader's latest acknowledged write at which it still
	// grants leases.
	MaxProofAge time.Duration
	// MaxClockDrift is the maximum relative error of a worker's clock. LeaseMargin is an additional
	// allowance for delays.
	MaxClockDrift float64
	LeaseMargin   time.Duration
	// PollWait is the maximum time for which a poll is held if there is nothing to answer.
	PollWait time.Duration
	// AgentTimeout is how long the current incarnation of an agent may be silent before a former
	// one is accepted again. It must exceed the sum of PollWait and the time between two polls.
	AgentTimeout time.Duration
	// HeartbeatInterval is the maximum time between two writes of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the silence after which a standby claims the next term. It must exceed the
	// sum of HeartbeatInterval and the duration of a slow append.
	ElectionTimeout time.Duration
	// SuspicionTimeout is the silence after which a standby asks the leader whether it is still
	// running. It must be shorter than ElectionTimeout.
	SuspicionTimeout time.Duration
	// NonStandbyDelay is how much longer the other entries wait than the standbys. It must exceed
	// the sum of HeartbeatInterval and the time between two of their reads.
	NonStandbyDelay time.Duration
	// IsolationTimeout is how long a leader with unfinished jobs continues without receiving any
	// poll. It then steps down and claims no term for the same time, so that an entry that can
	// reach the agents can lead.
	IsolationTimeout time.Duration
}

// DefaultTiming returns the default timing for leases of the given length.
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

// leaseEnd returns how long a run under a lease may continue after the lease was granted.
func (t Timing) leaseEnd() time.Duration {
	return time.Duration(float64(t.Lease)*(1+t.MaxClockDrift)) + t.LeaseMargin
}
