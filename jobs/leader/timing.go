package leader

import "time"

// Timing holds the intervals and time limits of leadership.
type Timing struct {
	// Lease is how long after an answer the agent may keep its worker's runs alive.
	Lease time.Duration
	// MaxProofAge is the largest age of the leader's newest acknowledged write at which it still
	// grants leases.
	MaxProofAge time.Duration
	// MaxClockDrift is the largest relative error of a worker's clock, and LeaseMargin what is
	// added for delays at the end of a lease.
	MaxClockDrift float64
	LeaseMargin   time.Duration
	// PollWait is how long a poll is held if there is nothing to answer.
	PollWait time.Duration
	// HeartbeatInterval is how often a leader writes at least.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the silence of the leader after which a standby claims the next term. It
	// exceeds HeartbeatInterval by more than a slow append.
	ElectionTimeout time.Duration
	// SuspicionTimeout is the silence after which a standby asks the leader whether it is still
	// there. It is shorter than ElectionTimeout.
	SuspicionTimeout time.Duration
	// NonStandbyDelay is how much longer than the standbys other entries wait before they ask or
	// claim. It exceeds the sum of HeartbeatInterval and the time between two of their reads.
	NonStandbyDelay time.Duration
	// IsolationTimeout is how long a leader with unfinished jobs goes on without any poll. It
	// then gives up leadership, and claims none for as long: an entry that reaches the log but no
	// agents must let another one try.
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
		HeartbeatInterval: 400 * time.Millisecond,
		ElectionTimeout:   time.Second,
		SuspicionTimeout:  600 * time.Millisecond,
		NonStandbyDelay:   time.Second,
		IsolationTimeout:  3 * time.Second,
	}
}

// leaseEnd is how long after granting a lease nothing that it covers can still run, even on a
// worker with a slow clock.
func (t Timing) leaseEnd() time.Duration {
	return time.Duration(float64(t.Lease)*(1+t.MaxClockDrift)) + t.LeaseMargin
}
