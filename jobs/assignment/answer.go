package assignment

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Answer is the leader's answer to a poll.
type Answer struct {
	Term int64 `json:"term"`
	// Fence is the fence of the agent's orders to its worker.
	Fence int64 `json:"fence"`
	// FenceOffered is set if the leader has not accepted this process of the agent yet, so that
	// Fence is only an offer. The agent's next poll has to report the fence, and its orders must
	// not carry it until an answer without FenceOffered arrives.
	FenceOffered bool `json:"offer,omitempty"`
	// HeldMillis is the time for which the leader held the poll.
	HeldMillis int64 `json:"held_ms"`
	// LeaseMillis is how long after the answer runs may be kept alive; zero extends nothing.
	LeaseMillis int64 `json:"lease_ms"`
	// Start lists runs that should be on the worker.
	Start []Start `json:"start,omitempty"`
	// Stop lists runs of the poll that should not be on the worker.
	Stop []RunID `json:"stop,omitempty"`
	// StopUnlisted lists runs to stop although the poll does not contain them: their start may be
	// in flight, or the leader has missed their end and waits for it.
	StopUnlisted []RunID `json:"settle,omitempty"`
	// ZoneOpen is set if no operator has cordoned the worker's zone. ZoneProofMillis is the age of
	// the proof of that.
	ZoneOpen        bool  `json:"open,omitempty"`
	ZoneProofMillis int64 `json:"open_ms,omitempty"`
	// Roles lists those of the worker's runs that have a latency target or are best-effort.
	Roles []Role `json:"roles,omitempty"`
	// Incarnation is the incarnation to which Start, Stop, StopUnlisted, Roles and AckedEnd refer.
	Incarnation incarnation.ID `json:"life,omitzero"`
	// AckedEnd is the highest number of the ends that the leader has stored.
	AckedEnd int64 `json:"seen,omitempty"`
	// AckedPoll is the number of the newest poll whose content the leader has stored completely.
	// Polls may overtake one another, and the leader processes only the newest one that has
	// arrived.
	AckedPoll int64 `json:"heard,omitempty"`
	// BasePoll is the number of the newest full poll that the leader has, on which a Delta may
	// build; zero if the leader has none.
	BasePoll int64 `json:"base,omitempty"`
}

// Start is a run that should be on the worker.
type Start struct {
	RunID
	Spec string `json:"spec"`
	// Checkpoint is the checkpoint from which the run resumes, if it is set.
	Checkpoint string `json:"s,omitempty"`
	// Permit is the token of a permit, on queues that require one.
	Permit string `json:"ticket,omitempty"`
	// Suspect is set if workers have crashed under the task. The agent sends such a start only if
	// the worker has answered immediately before. A start that is sent to a worker that is gone
	// would count as another crash.
	Suspect bool `json:"suspect,omitempty"`
}

// Role describes how a run shares its worker's processors with other runs.
type Role struct {
	RunID
	// LatencyTargetMillis is the limit for the tail latency of a run that serves users; zero if
	// there is none.
	LatencyTargetMillis int64 `json:"target_ms,omitempty"`
	// BestEffort is set if the run uses the processor time that other runs leave idle.
	BestEffort bool `json:"fills,omitempty"`
}

// Held returns HeldMillis as a duration.
func (a Answer) Held() time.Duration { return time.Duration(a.HeldMillis) * time.Millisecond }

// Lease returns LeaseMillis as a duration.
func (a Answer) Lease() time.Duration { return time.Duration(a.LeaseMillis) * time.Millisecond }

// ZoneProofAfter returns how long after the send time of the poll the proof of the open zone was
// taken; it is usually negative. The result is never too large: the answer was sent no earlier than
// the end of the hold, and ages are rounded up.
func (a Answer) ZoneProofAfter() time.Duration {
	return a.Held() - time.Duration(a.ZoneProofMillis)*time.Millisecond
}
