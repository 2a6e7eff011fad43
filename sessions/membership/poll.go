// Package membership defines the messages that agents and entries, and entries among themselves,
// exchange about membership, assignments, configuration and status. It also defines the orders of
// preference among entries.
//
// An agent keeps one long poll open at an entry. The request contains the revisions that the agent
// has and the state of its gangs; the response contains everything newer. Because both sides send
// revisions, no information is lost with a request or a response, and an agent ignores views that
// are older than its own.
//
// The package owns no state. It reads the content of a View from the state in package ledger.
//
// # Usage
//
// The agent sends a PollRequest to POST /internal/poll and receives a View. An entry that has
// nothing newer responds after PollWait with the same revisions:
//
//	view := membership.NewView(state, worker, poll.ConfigRevision, entries)
package membership

import (
	"encoding/json"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// The timing of a poll. An entry that has nothing newer holds the poll for PollWait and sends a
// newline every KeepAliveInterval, which costs less than a new poll. An agent that receives nothing
// for PollIdleTimeout polls another entry. PollIdleTimeout is shorter than the 7 s within which a
// configuration change must take effect, even if the entry's box is lost without notice.
const (
	PollWait          = 30 * time.Second
	KeepAliveInterval = 2500 * time.Millisecond
	PollIdleTimeout   = 6 * time.Second
)

// StoppedMember reports that a member on the worker has stopped and will not run again.
type StoppedMember struct {
	Token int64 `json:"token"`
	// Progress is the amount of work saved by the member's last checkpoint.
	Progress time.Duration `json:"progress_ns"`
}

// PollRequest is the body of an agent's poll.
type PollRequest struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// Revision is the revision of the agent's last view. ConfigRevision is the revision of the
	// configuration that the agent has applied.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// Leaving means that the agent accepts no new work.
	Leaving bool            `json:"leaving,omitempty"`
	Gangs   []gang.Report   `json:"gangs,omitempty"`
	Stopped []StoppedMember `json:"stopped,omitempty"`
}

// JoinAnswer is the response to POST /internal/join.
type JoinAnswer struct {
	// Joined is the offset of the record with which the incarnation joined.
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
	// Members lists all members of the gang. The first one is the leader.
	Members    []Peer        `json:"members"`
	Work       time.Duration `json:"work_ns"`
	Checkpoint time.Duration `json:"checkpoint_ns"`
	// Trace is the W3C traceparent of the call that created the session; empty if the call was not
	// traced.
	Trace string `json:"trace,omitempty"`
}

// ConfigItem is a ledger.ConfigEntry without its history.
type ConfigItem struct {
	Key      string          `json:"key"`
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// EntryInfo is the name, location and address of an entry.
type EntryInfo struct {
	Name    string `json:"name"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// PingAnswer is an entry's response to a ping from another entry.
type PingAnswer struct {
	EntryInfo
	// LogReachable means that the entry's last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
}

// View is the state that an agent applies.
type View struct {
	// Revision is the offset of the last record that changed something for the worker.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// Config lists the configuration items that are newer than the poll's ConfigRevision.
	Config []ConfigItem `json:"config,omitempty"`
	// Assignments lists all assignments of the worker.
	Assignments []Assignment `json:"assignments,omitempty"`
	// Entries lists the entries that the agent may poll.
	Entries []EntryInfo `json:"entries,omitempty"`
}

// NewView returns the view of a worker, with the configuration items that are newer than
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
