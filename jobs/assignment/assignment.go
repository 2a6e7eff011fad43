// Package assignment defines the messages between an agent and the leader. The agent's poll reports
// what its worker runs, and the answer lists what the worker should run.
//
// The exchange is level-triggered: each answer is computed from the desired state and the reported
// state, so a lost message needs no separate recovery. An agent follows the leader of the highest
// term that it has seen. A lease counts from the time at which the leader sent the answer: an agent
// that sent its poll at time t, and learns that it was held for h, may keep runs alive until t + h
// + Lease at the latest.
//
// The package defines the wire format of these messages and makes no decisions. It depends on
// packages job and incarnation for the identifiers in the messages.
//
// # Usage
//
//	POST /internal/assignments, Poll -> Answer (200) or Redirect (409)
//
// If two processes of one agent are running, the leader accepts the newer one. The other one is
// answered 409 with Superseded, and continues to poll without receiving orders until the newer one
// stops polling.
package assignment

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Paths of the endpoints of entries that agents and other entries call.
const (
	// Path is the endpoint where a leader accepts polls.
	Path = "/internal/assignments"
	// LeaderPath is the endpoint where an entry names the leader.
	LeaderPath = "/internal/leader"
	// HandoverPath is the endpoint where an entry is asked to take over from a leader.
	HandoverPath = "/internal/leader/handover"
)

// Handover is a leader's offer to hand over leadership because it cannot reach the log.
type Handover struct {
	Term int64  `json:"term"`
	Name string `json:"holder"`
	// FailingMillis is how long the leader has been unable to reach the log.
	FailingMillis int64 `json:"failing_ms"`
}

// Redirect names the leader, if the entry knows it.
type Redirect struct {
	Term    int64  `json:"term"`
	Address string `json:"address"`
	// EntryIncarnation identifies the current start of the entry that answers.
	EntryIncarnation string `json:"self"`
	// Superseded is set if the entry is the leader and accepts polls from a newer process of the
	// polling agent.
	Superseded bool `json:"superseded,omitempty"`
}

// WorkerState is a worker's report on itself in one incarnation.
type WorkerState struct {
	ID       incarnation.ID `json:"id"`
	Machine  string         `json:"machine,omitempty"`
	Service  string         `json:"service"`
	Zone     string         `json:"zone"`
	Rack     string         `json:"rack,omitempty"`
	Labels   []string       `json:"labels,omitempty"`
	Capacity job.Resources  `json:"room"`
	// Draining is set if the worker accepts no new work. DrainMillis is the minimum time for which
	// it stays.
	Draining    bool  `json:"leaving,omitempty"`
	DrainMillis int64 `json:"leaves_in,omitempty"`
	// Version is the software version that the worker states. Agents of the previous version don't
	// pass it on.
	Version string `json:"version,omitempty"`
}

// RunID identifies one run of a task.
type RunID struct {
	Task job.TaskName `json:"t"`
	Run  int          `json:"r"`
}

// Run is a run that is on a worker, or that the worker's agent is about to start.
type Run struct {
	RunID
	// Percent is the progress of the task in percent; -1 until the worker has listed the run.
	Percent int `json:"p"`
	// Checkpoint is the newest checkpoint. It is not sent to the leader, which learns it from the
	// end of the run.
	Checkpoint string `json:"-"`
	// AgeMillis is how long the run has been running; zero if the agent did not observe the start.
	AgeMillis int64 `json:"age_ms,omitempty"`
	// ListedMillis is how old the run was when the worker listed the percentage; zero if unknown.
	ListedMillis int64 `json:"listed_ms,omitempty"`
	// LatencyMillis is the tail latency over the last half second, for a run with a latency target.
	// It is not sent to the leader.
	LatencyMillis int `json:"-"`
}

// Age returns AgeMillis as a duration.
func (r Run) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// End is the end of a run as a worker has listed it. Numbers increase from 1 within an incarnation.
type End struct {
	RunID
	Number     int64         `json:"n"`
	Reason     job.EndReason `json:"h"`
	Checkpoint string        `json:"s,omitempty"`
	// TookMillis is how long the run was running; zero if the agent did not observe the start.
	TookMillis int64 `json:"took_ms,omitempty"`
}

// Took returns TookMillis as a duration.
func (e End) Took() time.Duration { return time.Duration(e.TookMillis) * time.Millisecond }

// Refusal is a run that the worker has not started and never will.
type Refusal struct {
	RunID
	Reason string `json:"reason"`
	// Uncertain is set if the run may have started: the worker did not answer until its lease had
	// expired.
	Uncertain bool `json:"silent,omitempty"`
	// Started is set if an uncertain run had started.
	Started bool `json:"begun,omitempty"`
}

// MaxOrderDelay is the longest time after which a worker may still carry out an order without an
// answer. The platform guarantees no limit, only that the delay is a matter of seconds.
const MaxOrderDelay = 12 * time.Second

// MaxOpenStartTime is the longest time for which a start that no agent reports can be open: the
// maximum delay of the order, plus the longest lease of the run that it starts.
const MaxOpenStartTime = MaxOrderDelay + 8*time.Second

// OpenStart is a start that got no answer, or has got none yet. A later incarnation of the worker
// with the same instance may still carry it out. Until the start is closed, no other run of the
// task may start elsewhere.
type OpenStart struct {
	RunID
	// OpenMillis is how long a run that the start may begin can continue without being listed.
	OpenMillis int64 `json:"ms"`
}

// Open returns OpenMillis as a duration.
func (o OpenStart) Open() time.Duration { return time.Duration(o.OpenMillis) * time.Millisecond }

// IncarnationEnd reports that no run of an incarnation is running, and which runs it had when it
// ended.
type IncarnationEnd struct {
	ID incarnation.ID `json:"id"`
	// Drained is set if the worker shut down after draining; otherwise it crashed.
	Drained bool `json:"left,omitempty"`
	// Draining is set if a worker that crashed was draining.
	Draining bool `json:"leaving,omitempty"`
	// Runs lists the runs that were running, or may have been.
	Runs []InterruptedRun `json:"runs,omitempty"`
	// Complete is set if the worker had listed its runs, so that Runs is complete.
	Complete bool `json:"listed,omitempty"`
	// LastContactMillis is how long before the poll the agent last had contact with the worker;
	// zero if unknown.
	LastContactMillis int64 `json:"since_ms,omitempty"`
}

// LastContactAge returns LastContactMillis as a duration.
func (e IncarnationEnd) LastContactAge() time.Duration {
	return time.Duration(e.LastContactMillis) * time.Millisecond
}

// InterruptedRun is a run that ended together with the incarnation of its worker.
type InterruptedRun struct {
	RunID
	// Started is set if the worker had confirmed the run. Otherwise a start was in flight, and it
	// is unknown whether it was carried out.
	Started bool `json:"b,omitempty"`
	// AgeMillis is how long the run had been running at the worker's last answer; zero if the agent
	// did not observe the start.
	AgeMillis int64 `json:"age_ms,omitempty"`
}
