// Package ledger defines the durable state of sessions, workers and the configuration as the result
// of an ordered log of records.
//
// A record in the platform's log is only a proposal. State.Apply applies the records in the order
// of their offsets, and the verdict on a record depends only on the records before it. All
// processes therefore resolve competing proposals identically, without locks or a leader.
//
// # State
//
// The package owns the streams hosting.LedgerStream and hosting.SnapshotStream of the log. A
// process that starts reads the newest snapshot and the records after it.
//
// # Dependencies
//
// The package reads and appends to the platform's log, and asks other processes (PeerStates) for
// newer states while the log cannot be read. Package placement defines shapes and guarantees, and
// package policy validates policies.
//
// # Usage
//
//	state, verdict := state.Apply(offset, data)
//
// A Follower reads the log, a Replica holds the newest State, and a Proposer appends records and
// waits for their verdicts.
//
// # Retries
//
// A proposer retries an append whose response was lost. Every record has an ID and the revision on
// which it is based, and a second record with the same ID has no effect. State remembers the newest
// seenLimit IDs and rejects records whose base is older than the oldest of them, so that a delayed
// record cannot take effect twice. To withdraw a record, a proposer appends a Void with its ID;
// whichever of the two comes first in the log takes effect.
package ledger

import (
	"encoding/json"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// Record is a proposal. Exactly one of the pointers is set.
type Record struct {
	// ID is unique. A record that is appended again keeps its ID.
	ID string `json:"id"`
	// Base is the revision of the state on which the proposal is based.
	Base int64 `json:"base"`
	// At is the proposer's clock in ms since 1970. It is used for waiting times and shown to
	// people, but never used for ordering.
	At int64 `json:"at"`

	Void       *Void          `json:"void,omitempty"`
	Config     *PutConfig     `json:"config,omitempty"`
	Join       *JoinWorker    `json:"join,omitempty"`
	Leave      *LeaveWorker   `json:"leave,omitempty"`
	Create     *CreateSession `json:"create,omitempty"`
	Cancel     *CancelSession `json:"cancel,omitempty"`
	Place      *Place         `json:"place,omitempty"`
	Start      *Start         `json:"start,omitempty"`
	Stop       *Stop          `json:"stop,omitempty"`
	Finish     *Finish        `json:"finish,omitempty"`
	Release    *Release       `json:"release,omitempty"`
	Saved      *Saved         `json:"saved,omitempty"`
	Checkpoint *Checkpoint    `json:"checkpoint,omitempty"`
}

// Void cancels the record with the given ID, unless that record precedes it in the log.
type Void struct {
	ID string `json:"id"`
}

// PutConfig replaces one entry of the configuration.
type PutConfig struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Revision is the revision of the entry to replace; zero to create one.
	Revision int64  `json:"revision"`
	Author   string `json:"author"`
}

// JoinWorker adds a worker, or replaces the incarnation of its agent.
type JoinWorker struct {
	Worker Worker `json:"worker"`
}

// LeaveWorker marks a worker as leaving, so that it takes no new work.
type LeaveWorker struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
}

// CreateSession adds a session.
type CreateSession struct {
	Spec SessionSpec `json:"spec"`
	// Trace is the W3C traceparent of the operator's call; empty if it was not traced. It is passed
	// on to the agents.
	Trace string `json:"trace,omitempty"`
}

// CancelSession cancels a session.
type CancelSession struct {
	Session string `json:"session"`
}

// Place assigns accelerators to all members of a waiting session's gang, or to none. The offset of
// the record becomes the token of the placement.
type Place struct {
	Session  string             `json:"session"`
	Members  []placement.Member `json:"members"`
	Borrowed bool               `json:"borrowed"`
}

// Start records that all members are ready and the gang runs.
type Start struct {
	Token int64 `json:"token"`
}

// Stop stops a placement. Its session waits again once all members are released.
type Stop struct {
	Token  int64  `json:"token"`
	Reason string `json:"reason"`
	// For is the session for which the accelerators are reclaimed; empty if there is none.
	For string `json:"for,omitempty"`
}

// Finish records that the placement's session has completed its work.
type Finish struct {
	Token int64 `json:"token"`
}

// ReleaseCause is the evidence that accelerators are free.
type ReleaseCause string

// The release causes. That a worker does not respond is not a cause, because it may still run its
// task.
const (
	// StoppedByAgent means that the worker's agent reported the end of the task.
	StoppedByAgent ReleaseCause = "agent"
	// WorkerGone means that the platform declared the worker gone.
	WorkerGone ReleaseCause = "gone"
)

// Release frees the accelerators of one member of a placement.
type Release struct {
	Token  int64        `json:"token"`
	Worker string       `json:"worker"`
	Cause  ReleaseCause `json:"cause"`
	// Progress is the work that the member's checkpoint holds; zero if there is none.
	Progress time.Duration `json:"progress_ns"`
}

// Saved records that the snapshot stream has a complete snapshot of the revision.
type Saved struct {
	Revision int64 `json:"revision"`
}

// Checkpoint records the work that the checkpoints of all members of a placement hold.
type Checkpoint struct {
	Token    int64         `json:"token"`
	Progress time.Duration `json:"progress_ns"`
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord parses the stored form of a record. Its errors name the field.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := fault.Decode(data, &r); err != nil {
		return Record{}, err
	}
	if r.ID == "" {
		return Record{}, fault.BadField("id", "must not be empty")
	}
	if n := r.bodies(); n != 1 {
		return Record{}, fault.BadField("record", "want exactly one body, got %d", n)
	}
	return r, nil
}

func (r Record) bodies() int {
	set := []bool{
		r.Void != nil, r.Config != nil, r.Join != nil, r.Leave != nil, r.Create != nil, r.Cancel != nil,
		r.Place != nil, r.Start != nil, r.Stop != nil, r.Finish != nil, r.Release != nil, r.Saved != nil,
		r.Checkpoint != nil,
	}
	n := 0
	for _, s := range set {
		if s {
			n++
		}
	}
	return n
}

// Status is the outcome of a record.
type Status string

// The statuses. Only an accepted record has an effect.
const (
	Accepted   Status = "accepted"
	Rejected   Status = "rejected"
	Duplicate  Status = "duplicate"
	Unreadable Status = "unreadable"
)

// Verdict is the outcome of one record, with the reason if it was not accepted.
type Verdict struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Status Status `json:"status"`
	Reason string `json:"reason,omitempty"`
}
