// Package assignment holds the messages between an agent and the leader. The agent's poll
// reports what its worker runs; the answer lists what the worker should run.
//
// The exchange is level-triggered: each answer is made from the desired state and the reported
// one, so a lost message needs no recovery of its own. An agent follows the leader of the
// highest term that it has seen. A lease counts from when the leader sent the answer: an agent
// that sent its poll at t, and hears that it was held for h, may keep runs alive until t + h +
// Lease at the latest.
//
// The package owns the form of these messages on the wire and decides nothing. It relies on
// packages job and incarnation for what the messages name.
//
// # Usage
//
//	POST /internal/assignments, Poll -> Answer (200) or Redirect (409)
//
// Of two live processes of one agent the leader hears the newer one. The other one is answered 409
// with Superseded, and polls on without orders until the newer one is silent.
package assignment

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Paths of the entries that agents and other entries call.
const (
	// Path is where a leader takes polls.
	Path = "/internal/assignments"
	// LeaderPath is where an entry names the leader.
	LeaderPath = "/internal/leader"
	// HandoverPath is where an entry is asked to take over from a leader.
	HandoverPath = "/internal/leader/handover"
)

// Handover is a leader's offer of its place, because it does not reach the log.
type Handover struct {
	Term int64  `json:"term"`
	Name string `json:"holder"`
	// FailingMillis is how long the leader has not reached the log.
	FailingMillis int64 `json:"failing_ms"`
}

// Redirect names the leader, as far as the entry knows it.
type Redirect struct {
	Term    int64  `json:"term"`
	Address string `json:"address"`
	// Self names this start of the entry that answers.
	Self string `json:"self"`
	// Superseded is set if the entry leads, and hears a newer process of the agent whose poll it
	// answers.
	Superseded bool `json:"superseded,omitempty"`
}

// WorkerState is what a worker reports of itself in an incarnation.
type WorkerState struct {
	ID       incarnation.ID `json:"id"`
	Machine  string         `json:"machine,omitempty"`
	Service  string         `json:"service"`
	Zone     string         `json:"zone"`
	Rack     string         `json:"rack,omitempty"`
	Labels   []string       `json:"labels,omitempty"`
	Capacity job.Resources  `json:"room"`
	// Draining is set if the worker takes no new work, and DrainMillis is how long it stays
	// at least.
	Draining    bool  `json:"leaving,omitempty"`
	DrainMillis int64 `json:"leaves_in,omitempty"`
}

// RunID names one run of a task.
type RunID struct {
	Task job.TaskName `json:"t"`
	Run  int          `json:"r"`
}

// Run is a run that is on a worker, or that its agent is about to start.
type Run struct {
	RunID
	// Percent is how much of the task is done; -1 until the worker has listed the run.
	Percent int `json:"p"`
	// Checkpoint is the newest one. It stays with the agent: the leader learns it from the end
	// of the run.
	Checkpoint string `json:"-"`
	// AgeMillis is how long the run has been running; zero if the agent did not see the
	// start.
	AgeMillis int64 `json:"age_ms,omitempty"`
	// ListedMillis is how old the run was when the worker listed the percentage; zero if unknown.
	ListedMillis int64 `json:"listed_ms,omitempty"`
	// LatencyMillis is the tail of the latencies over the last half second, for a run with a
	// latency target. It stays with the agent.
	LatencyMillis int `json:"-"`
}

// Age is AgeMillis as a duration.
func (r Run) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// End is how a run ended, as a worker has listed it. Numbers rise from 1 within an incarnation.
type End struct {
	RunID
	Number     int64         `json:"n"`
	Reason     job.EndReason `json:"h"`
	Checkpoint string        `json:"s,omitempty"`
	// TookMillis is how long the run was running; zero if the agent did not see the start.
	TookMillis int64 `json:"took_ms,omitempty"`
}

// Took is TookMillis as a duration.
func (e End) Took() time.Duration { return time.Duration(e.TookMillis) * time.Millisecond }

// Refusal is a run that the worker did not start and never will.
type Refusal struct {
	RunID
	Reason string `json:"reason"`
	// Uncertain is set if the run may have started: the worker gave no answer until its lease
	// was over.
	Uncertain bool `json:"silent,omitempty"`
	// Started is set if such a run had started.
	Started bool `json:"begun,omitempty"`
}

// MaxOrderDelay is the longest time after which a worker still carries out an order that got no
// answer. The platform promises no bound, only that it is seconds.
const MaxOrderDelay = 12 * time.Second

// MaxOpenTime bounds how long a start is open that no agent tells of: the delay of an order, and the
// longest lease of what it begins.
const MaxOpenTime = MaxOrderDelay + 8*time.Second

// OpenStart is a start that got no answer, or none yet. A later incarnation of the worker under
// the same instance may still carry it out. Until it is closed, no other run of the task may
// start elsewhere.
type OpenStart struct {
	RunID
	// OpenMillis is how long what it may begin can go on without being listed.
	OpenMillis int64 `json:"ms"`
}

// Open is OpenMillis as a duration.
func (o OpenStart) Open() time.Duration { return time.Duration(o.OpenMillis) * time.Millisecond }

// IncarnationEnd reports that nothing of an incarnation of the worker runs any more, and what
// was running when it ended.
type IncarnationEnd struct {
	ID incarnation.ID `json:"id"`
	// Drained is set if the worker stopped as it had announced; otherwise it crashed.
	Drained bool `json:"left,omitempty"`
	// Draining is set if a worker that crashed was draining.
	Draining bool `json:"leaving,omitempty"`
	// Runs are those that were running, or may have been.
	Runs []InterruptedRun `json:"runs,omitempty"`
	// Complete is set if the worker had listed its runs, so that Runs are all.
	Complete bool `json:"listed,omitempty"`
	// SinceMillis is how long before the poll the last contact with the worker was; zero if
	// unknown.
	SinceMillis int64 `json:"since_ms,omitempty"`
}

// Since is SinceMillis as a duration.
func (e IncarnationEnd) Since() time.Duration { return time.Duration(e.SinceMillis) * time.Millisecond }

// InterruptedRun is a run that ended with the incarnation of its worker.
type InterruptedRun struct {
	RunID
	// Started is set if the worker had confirmed the run. Otherwise a start was under way, and
	// it is not known whether it was carried out.
	Started bool `json:"b,omitempty"`
	// AgeMillis is how long the run had been running at the worker's last answer; zero if
	// the agent did not see the start.
	AgeMillis int64 `json:"age_ms,omitempty"`
}
