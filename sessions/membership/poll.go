// Package membership defines the messages between agents and entries, and between entries, about
// who is present and what is in force, and the orders in which entries are preferred.
//
// An agent keeps one poll open at an entry. The poll has the revisions that the agent knows and the
// state of its gangs; the answer has what is newer. Because both sides send revisions, a lost poll
// or answer loses nothing, and an agent ignores views that are older than what it has.
//
// The package owns no state. It relies on package ledger for what a View contains.
//
// # Usage
//
// The agent sends a PollRequest to POST /internal/poll and gets a View. An entry that has nothing
// newer answers after PollWait with the same revisions:
//
//	view := membership.NewView(state, worker, poll.ConfigRevision, entries)
package membership

import (
	"encoding/json"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// The timing of a poll. An entry with nothing newer holds the poll for PollWait and sends a newline
// every KeepAlive, which costs less than a new poll. An agent that receives nothing for PollIdle
// polls another entry. PollIdle is below the 7 s within which a change of the configuration must
// take effect, also if the entry's box is lost without notice.
const (
	PollWait  = 30 * time.Second
	KeepAlive = 2500 * time.Millisecond
	PollIdle  = 6 * time.Second
)

// Stopped reports that a member on the worker has stopped and will not run again.
type Stopped struct {
	Token int64 `json:"token"`
	// Progress is the work that its last checkpoint holds.
	Progress time.Duration `json:"progress_ns"`
}

// PollRequest is an agent's poll.
type PollRequest struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// Revision is the revision of the last view, ConfigRevision that of the configuration the
	// agent applies.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// Leaving means that the agent takes no new work.
	Leaving bool          `json:"leaving,omitempty"`
	Gangs   []gang.Report `json:"gangs,omitempty"`
	Stopped []Stopped     `json:"stopped,omitempty"`
}

// JoinAnswer is the answer to POST /internal/join.
type JoinAnswer struct {
	// Joined is the offset of the record by which the incarnation joined.
	Joined int64 `json:"joined"`
}

// Peer is a member of a gang and the address of its agent.
type Peer struct {
	Worker  string `json:"worker"`
	Address string `json:"address"`
}

// Assignment is a worker's part of a placement.
type Assignment struct {
	Token        int64                 `json:"token"`
	Session      string                `json:"session"`
	Phase        ledger.PlacementPhase `json:"phase"`
	Accelerators []int                 `json:"accelerators"`
	// Members has all members. The first one is the leader.
	Members    []Peer        `json:"members"`
	Work       time.Duration `json:"work_ns"`
	Checkpoint time.Duration `json:"checkpoint_ns"`
	// Trace is the W3C traceparent of the call that created the session; empty if it was not
	// traced.
	Trace string `json:"trace,omitempty"`
}

// ConfigItem is an entry of the configuration without its history.
type ConfigItem struct {
	Key      string          `json:"key"`
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// EntryInfo is the name, place and address of an entry.
type EntryInfo struct {
	Name    string `json:"name"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// PingAnswer is an entry's answer to the ping of another entry.
type PingAnswer struct {
	EntryInfo
	// LogReachable means that its last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
}

// View is what an agent should apply.
type View struct {
	// Revision is the offset of the last record that changed something for the worker.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// Config has the entries of the configuration that are newer than the poll's ConfigRevision.
	Config []ConfigItem `json:"config,omitempty"`
	// Assignments has all assignments of the worker.
	Assignments []Assignment `json:"assignments,omitempty"`
	// Entries has the entries to poll.
	Entries []EntryInfo `json:"entries,omitempty"`
}

// NewView returns the view of a worker, with the entries of the configuration that are newer than
// configRevision.
func NewView(s ledger.State, worker ledger.Worker, configRevision int64, entries []EntryInfo) View {
	v := View{Revision: worker.Revision, ConfigRevision: s.ConfigRevision(), Entries: entries}
	for _, e := range s.Config() {
		if e.Revision > configRevision {
			v.Config = append(v.Config, ConfigItem{Key: e.Key, Revision: e.Revision, Value: e.Value})
		}
	}
	tokens := make(map[int64]bool)
	for _, token := range worker.Holders {
		if token == 0 || tokens[token] {
			continue
		}
		tokens[token] = true
		if p, found := s.Placement(token); found {
			v.Assignments = append(v.Assignments, newAssignment(s, worker.Name, p))
		}
	}
	return v
}

func newAssignment(s ledger.State, worker string, p ledger.Placement) Assignment {
	session, _ := s.Session(p.Session)
	part, _ := p.Member(worker)
	a := Assignment{
		Token:        p.Token,
		Session:      p.Session,
		Phase:        p.Phase,
		Accelerators: part.Accelerators,
		Work:         time.Duration(session.Work) * time.Second,
		Checkpoint:   session.Progress,
		Trace:        session.Trace,
	}
	for _, m := range p.Members {
		w, _ := s.Worker(m.Worker)
		a.Members = append(a.Members, Peer{Worker: m.Worker, Address: w.Address})
	}
	return a
}
