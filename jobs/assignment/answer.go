package assignment

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Answer is the leader's answer to a poll.
type Answer struct {
	Term int64 `json:"term"`
	// Fence is what the agent's orders to its worker carry.
	Fence int64 `json:"fence"`
	// Offer is set if the leader does not hear this process of the agent yet: its next poll has to
	// show the fence, and until an answer without Offer comes its orders don't carry it.
	Offer bool `json:"offer,omitempty"`
	// HeldMillis is how long the poll was held.
	HeldMillis int64 `json:"held_ms"`
	// LeaseMillis is how long after the answer runs may be kept alive; zero extends nothing.
	LeaseMillis int64 `json:"lease_ms"`
	// Start lists runs that should be on the worker.
	Start []Start `json:"start,omitempty"`
	// Stop lists runs of the poll that should not be there.
	Stop []RunID `json:"stop,omitempty"`
	// StopUnlisted lists runs that the poll does not name and that are to stop all the same:
	// their start may be under way, or the leader has missed their end and waits for it.
	StopUnlisted []RunID `json:"settle,omitempty"`
	// ZoneOpen is set if no operator has cordoned the worker's zone, and ZoneProofMillis is the
	// age of the proof of that.
	ZoneOpen        bool  `json:"open,omitempty"`
	ZoneProofMillis int64 `json:"open_ms,omitempty"`
	// Roles lists those of the worker's runs that have a latency target or are best-effort.
	Roles []Role `json:"roles,omitempty"`
	// Incarnation is the one that Start, Stop, StopUnlisted, Roles and AckedEnd are about.
	Incarnation incarnation.ID `json:"life,omitzero"`
	// AckedEnd is up to which end the leader has stored them.
	AckedEnd int64 `json:"seen,omitempty"`
	// AckedPoll is the number of the newest poll that the leader has stored all of. Polls may
	// overtake one another; only the newest that has arrived is taken over.
	AckedPoll int64 `json:"heard,omitempty"`
	// BasePoll is the number of the newest poll that described the worker, on which a Delta may
	// build; zero if the leader has none.
	BasePoll int64 `json:"base,omitempty"`
}

// Start is a run that should be on the worker.
type Start struct {
	RunID
	Spec string `json:"spec"`
	// Checkpoint is where the run begins, if it is set.
	Checkpoint string `json:"s,omitempty"`
	// Permit is the token of a permit, on queues that need one.
	Permit string `json:"ticket,omitempty"`
	// Suspect is set if workers have crashed under the task. The agent sends such a start only
	// once the worker has answered just before: one to a worker that is gone would count as one more
	// crash.
	Suspect bool `json:"suspect,omitempty"`
}

// Role is how a run shares its worker's processors with others.
type Role struct {
	RunID
	// LatencyTargetMillis bounds the tail of the latencies of a run that serves users; zero if
	// there is no bound.
	LatencyTargetMillis int64 `json:"target_ms,omitempty"`
	// BestEffort is set if the run takes the processor time that others leave.
	BestEffort bool `json:"fills,omitempty"`
}

// Held is HeldMillis as a duration.
func (a Answer) Held() time.Duration { return time.Duration(a.HeldMillis) * time.Millisecond }

// Lease is LeaseMillis as a duration.
func (a Answer) Lease() time.Duration { return time.Duration(a.LeaseMillis) * time.Millisecond }

// ZoneProofAfter is how long after the poll was sent the proof of the open zone was taken; most
// often that is negative. It is never too large: the answer was sent no sooner than the poll
// had been held, and ages are rounded up.
func (a Answer) ZoneProofAfter() time.Duration {
	return a.Held() - time.Duration(a.ZoneProofMillis)*time.Millisecond
}
