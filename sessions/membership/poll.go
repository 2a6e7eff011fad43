// Package membership holds what agents and entries tell each other about who is there and what
// is in force.
//
// An agent holds one open poll at an entry. The poll says what the agent has and what has
// become of its gangs; the answer says what is newer. Both sides name revisions, so that
// nothing is lost when a poll or its answer is, and nothing goes back: an agent refuses a view
// older than its own.
//
// # Usage
//
// The agent sends a PollRequest to POST /internal/poll and gets a View; an entry that has
// nothing newer answers after PollWait with the same revisions, and keeps the connection alive
// until then.
package membership

import (
	"encoding/json"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// The pace of an open poll. An entry with nothing newer to tell holds it for PollWait, and
// sends a newline every KeepAlive meanwhile. An agent that gets nothing for PollIdle turns to
// another entry, so that the silent loss of an entry's box delays a configuration by less than
// the 7 s in which it has to be in force. A newline costs an entry a fraction of a new poll,
// which is why the hold is long.
const (
	PollWait  = 30 * time.Second
	KeepAlive = 2500 * time.Millisecond
	PollIdle  = 6 * time.Second
)

// Stopped says that a member runs nothing and never will.
type Stopped struct {
	Token int64 `json:"token"`
	// Progress is the work that its last checkpoint holds, in nanoseconds.
	Progress time.Duration `json:"progress_ns"`
}

// PollRequest is an agent's poll.
type PollRequest struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// Revision is that of the last view; ConfigRevision that of the configuration in force at
	// the agent.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// Leaving says that the agent takes no new work.
	Leaving bool          `json:"leaving,omitempty"`
	Gangs   []gang.Report `json:"gangs,omitempty"`
	Stopped []Stopped     `json:"stopped,omitempty"`
}

// JoinAnswer is the answer to POST /internal/join.
type JoinAnswer struct {
	// Joined is the offset of the record by which the incarnation joined.
	Joined int64 `json:"joined"`
}

// Peer is a member of a gang, as the other members reach it.
type Peer struct {
	Worker  string `json:"worker"`
	Address string `json:"address"`
}

// Assignment is an agent's part of a placement.
type Assignment struct {
	Token        int64                 `json:"token"`
	Session      string                `json:"session"`
	Phase        ledger.PlacementPhase `json:"phase"`
	Accelerators []int                 `json:"accelerators"`
	// Members has all members; the first is the leader.
	Members    []Peer        `json:"members"`
	Work       time.Duration `json:"work_ns"`
	Checkpoint time.Duration `json:"checkpoint_ns"`
	// Trace is the W3C traceparent of the call that created the session, if that was traced.
	Trace string `json:"trace,omitempty"`
}

// ConfigItem is a value of the configuration as an agent needs it.
type ConfigItem struct {
	Key      string          `json:"key"`
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// EntryInfo says where an entry is.
type EntryInfo struct {
	Name    string `json:"name"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// PingAnswer is an entry's answer to another entry.
type PingAnswer struct {
	EntryInfo
	// LogReachable says that its last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
}

// View is what an agent should have.
type View struct {
	// Revision is that of the last record that changed something for this worker.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// Config has the entries that changed since the configuration that the poll named.
	Config []ConfigItem `json:"config,omitempty"`
	// Assignments is the whole list.
	Assignments []Assignment `json:"assignments,omitempty"`
	Entries     []EntryInfo  `json:"entries,omitempty"`
}

// NewView returns what a worker should have, with the configuration that is newer than
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
		Token: p.Token, Session: p.Session, Phase: p.Phase, Accelerators: part.Accelerators,
		Work: time.Duration(session.Work) * time.Second, Checkpoint: session.Progress, Trace: session.Trace,
	}
	for _, m := range p.Members {
		w, _ := s.Worker(m.Worker)
		a.Members = append(a.Members, Peer{Worker: m.Worker, Address: w.Address})
	}
	return a
}
