// Package ledger is the one ordered history of everything that must last or be agreed.
//
// An append to the platform's log is only a proposal. State.With folds the records in the order
// of their offsets, and the verdict of a record depends on nothing but the records before it.
// Two proposers that race are therefore settled by order, the same in every process, without a
// lock and without a leader.
//
// # Usage
//
//	state, verdict := state.With(offset, data)
//
// A Follower reads the log and publishes the newest State; a Proposer appends records and waits
// for their verdicts.
//
// # Lost answers
//
// Every record has an id and the revision on which it was based. The fold drops a second record
// with the same id. It remembers the newest seenLimit ids, and rejects a record whose base is
// older than the oldest of them, so that a record that arrives late can never take effect
// twice. A proposer that wants to give up appends Void with the id: whichever of the two comes
// first stands.
package ledger

import (
	"encoding/json"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// Record is one proposal. Exactly one of the pointers is set.
type Record struct {
	// ID names the proposal. It is unique; a proposal that is appended again keeps its id.
	ID string `json:"id"`
	// Base is the revision that the proposer had seen.
	Base int64 `json:"base"`
	// At is the proposer's clock in milliseconds since 1970. It is for people and for waiting
	// times, never for order.
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

// Void settles that the record with the given id has no effect unless it came before.
type Void struct {
	ID string `json:"id"`
}

// PutConfig replaces one entry of the configuration.
type PutConfig struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// Revision is the revision of the entry that is replaced; zero for one that does not exist.
	Revision int64  `json:"revision"`
	Author   string `json:"author"`
}

// JoinWorker makes a worker with its agent known, or replaces the agent's incarnation.
type JoinWorker struct {
	Worker Worker `json:"worker"`
}

// LeaveWorker says that an agent takes no new work.
type LeaveWorker struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
}

// CreateSession adds a session.
type CreateSession struct {
	Spec SessionSpec `json:"spec"`
	// Trace is the W3C traceparent of the operator's call, if that was traced. It is carried to
	// whatever runs the session.
	Trace string `json:"trace,omitempty"`
}

// CancelSession ends a session by an operator's word.
type CancelSession struct {
	Session string `json:"session"`
}

// Place gives a waiting session its accelerators, all or none. The record's offset is the
// placement's fencing token.
type Place struct {
	Session  string             `json:"session"`
	Members  []placement.Member `json:"members"`
	Borrowed bool               `json:"borrowed"`
}

// Start says that all members are ready, so that the gang runs.
type Start struct {
	Token int64 `json:"token"`
}

// Stop takes a placement back; its session waits again.
type Stop struct {
	Token  int64  `json:"token"`
	Reason string `json:"reason"`
	// For is the session that the room is meant for, if any.
	For string `json:"for,omitempty"`
}

// Finish says that the work of the placement's session is done.
type Finish struct {
	Token int64 `json:"token"`
}

// ReleaseCause says why accelerators are known to be free.
type ReleaseCause string

// The causes. Silence is none of them.
const (
	// StoppedByAgent is the word of the agent beside the worker.
	StoppedByAgent ReleaseCause = "agent"
	// WorkerGone is the platform's word that the worker is gone.
	WorkerGone ReleaseCause = "gone"
)

// Release frees the accelerators of one member of a placement.
type Release struct {
	Token  int64        `json:"token"`
	Worker string       `json:"worker"`
	Cause  ReleaseCause `json:"cause"`
	// Progress is the work that the member's checkpoint holds, in nanoseconds; zero if there is
	// none.
	Progress time.Duration `json:"progress_ns"`
}

// Saved says that a whole snapshot of the revision is in the snapshot stream.
type Saved struct {
	Revision int64 `json:"revision"`
}

// Checkpoint says that checkpoints of all members of a placement hold some work.
type Checkpoint struct {
	Token    int64         `json:"token"`
	Progress time.Duration `json:"progress_ns"`
}

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads a stored record. Its errors name the field.
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

// The outcomes.
const (
	Accepted   Status = "accepted"
	Rejected   Status = "rejected"
	Duplicate  Status = "duplicate"
	Unreadable Status = "unreadable"
)

// Verdict is what the fold decided about one record.
type Verdict struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Status Status `json:"status"`
	Reason string `json:"reason,omitempty"`
}
