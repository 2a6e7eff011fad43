// Package assignment holds the messages between an agent and the leader: the agent polls, says what its
// worker runs, and hears what it should run.
//
// All of it is level-triggered: an answer is made from what is wanted and what the poll says, so a lost message needs no
// care of its own. An agent obeys the highest term that it has heard of. Times that bound a lease are counted from when
// the leader sent an answer: an agent that sent its poll at t and hears that it was held for h may keep what runs
// alive until t + h + Lease at the latest.
//
// # Usage
//
//	POST /internal/assignments, Poll -> Answer (200) or Redirect (409)
package assignment

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Path is where a leader takes polls.
const Path = "/internal/assignments"

// LeaderPath is where an entry says who the leader is.
const LeaderPath = "/internal/leader"

// HandoverPath is where an entry is asked to take over from a leader.
const HandoverPath = "/internal/leader/handover"

// Handover is a leader's offer of its place: it does not reach the log.
type Handover struct {
	Term int64  `json:"term"`
	Name string `json:"holder"`
	// FailingMillis is for how long the leader has not reached the log.
	FailingMillis int64 `json:"failing_ms"`
}

// WorkerState describes one life of a worker.
type WorkerState struct {
	ID       incarnation.ID `json:"id"`
	Machine  string         `json:"machine,omitempty"`
	Service  string         `json:"service"`
	Zone     string         `json:"zone"`
	Rack     string         `json:"rack,omitempty"`
	Labels   []string       `json:"labels,omitempty"`
	Capacity job.Resources  `json:"room"`
	// Draining says that it takes no new work, and LeavesIn how long it stays at least, in milliseconds.
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
	// Percent is how much of the task is done; -1 while it is not known to be there.
	Percent int `json:"p"`
	// Checkpoint is the newest checkpoint. The leader learns it from the end of the run.
	Checkpoint string `json:"-"`
	// AgeMillis is for how long the run has been there; zero if the agent did not see the start.
	AgeMillis int64 `json:"age_ms,omitempty"`
	// ListedMillis is how old the run was when the worker said the percentage; zero if that is not known.
	ListedMillis int64 `json:"listed_ms,omitempty"`
	// LatencyMillis is the worker's rough figure of the last half second: for a task with a target the tail of its answers' times, in
	// milliseconds.
	LatencyMillis int `json:"-"`
}

// Age is AgeMillis as a duration.
func (r Run) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// End is an end that a worker has listed. Numbers rise from 1 within a life.
type End struct {
	RunID
	Number     int64         `json:"n"`
	Reason     job.EndReason `json:"h"`
	Checkpoint string        `json:"s,omitempty"`
	// TookMillis is how long the run was there, as the agent saw it; zero if it did not see the start.
	TookMillis int64 `json:"took_ms,omitempty"`
}

// Took is TookMillis as a duration.
func (e End) Took() time.Duration { return time.Duration(e.TookMillis) * time.Millisecond }

// Refusal is a run that the worker did not start and never will. Silent says that this is not sure: it may have begun, and the worker has
// given no answer until after its lease was over.
type Refusal struct {
	RunID
	Reason    string `json:"reason"`
	Uncertain bool   `json:"silent,omitempty"`
	// Started says of a silent worker's run that it had begun.
	Started bool `json:"begun,omitempty"`
}

// IncarnationEnd says that nothing of a life of the worker runs any more, and what was there when it ended.
type IncarnationEnd struct {
	ID incarnation.ID `json:"id"`
	// Drained says that the worker has gone as it had told; otherwise it crashed. Leaving says of one that crashed that it was about to go.
	Drained  bool `json:"left,omitempty"`
	Draining bool `json:"leaving,omitempty"`
	// Runs lists what was there when the life ended, and what may have been. Listed says that this is all: the worker had said what ran there.
	Runs     []InterruptedRun `json:"runs,omitempty"`
	Complete bool             `json:"listed,omitempty"`
	// SinceMillis is how long before the poll the worker gave its last sign in that life; zero if that is not known.
	SinceMillis int64 `json:"since_ms,omitempty"`
}

// Since is SinceMillis as a duration.
func (e IncarnationEnd) Since() time.Duration { return time.Duration(e.SinceMillis) * time.Millisecond }

// InterruptedRun is a run that ended with the life of its worker.
type InterruptedRun struct {
	RunID
	// Started says that the worker had said so. Otherwise a start was under way, and whether it was carried out is not known.
	Started bool `json:"b,omitempty"`
	// AgeMillis is for how long the run was there when the worker answered last; zero if the agent did not see the start.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// Poll is what an agent says.
type Poll struct {
	// Worker names the box of the agent; Agent one life of the agent's process; Sequence rises with its polls.
	Worker   string `json:"worker"`
	Agent    string `json:"agent"`
	Sequence int64  `json:"seq"`
	// Term is the highest that the agent knows.
	Term int64 `json:"term"`
	// State is the worker's, or nil as long as none is known.
	State *WorkerState `json:"life,omitempty"`
	// Complete says that Runs and Ends are what the worker said after it had heard the fence of this life of the agent.
	Complete bool      `json:"listed,omitempty"`
	Runs     []Run     `json:"runs,omitempty"`
	Ends     []End     `json:"ends,omitempty"`
	Refused  []Refusal `json:"refused,omitempty"`
	// EndedIncarnations lists lives of which nothing runs any more.
	EndedIncarnations []IncarnationEnd `json:"lives_over,omitempty"`
	// ClosingIncarnations lists lives that are over and that Over does not tell yet, since orders for them may still have an effect. Nothing is to be placed there.
	ClosingIncarnations []incarnation.ID `json:"lives_closing,omitempty"`
	// Unresponsive says that the worker gives no answer: nothing more should be placed on it, and nothing can be extended.
	Unresponsive bool `json:"silent,omitempty"`
	// FailingMillis is for how long the worker has given no answer; zero while it does.
	FailingMillis int64 `json:"failing_ms,omitempty"`
	// AckedEnd is up to which end the agent has been told that it is kept.
	AckedEnd int64 `json:"seen,omitempty"`
	// Wait says that the answer may be held until there is something to say.
	Wait bool `json:"wait,omitempty"`
	// Delta, if it is set, takes the place of all that describes the worker: nothing has changed but how far its runs have come.
	Delta *Delta `json:"since,omitempty"`
}

// Delta says how far runs have come since an earlier poll of the same agent that described the worker, and that all else is as it was.
type Delta struct {
	// Sequence is that poll's, Millis for how long ago it was made.
	Sequence int64 `json:"seq"`
	Millis   int64 `json:"ms"`
	// ListedMillis is how much later the worker has said the percentages, which are in the order of that poll's runs.
	ListedMillis int64 `json:"listed_ms"`
	Percents     []int `json:"p"`
}

// Expand returns the poll as it would be if it described the worker itself, and false if base is not the poll that its Since is about.
func (p Poll) Expand(base Poll) (Poll, bool) {
	s := p.Delta
	if s == nil || s.Sequence != base.Sequence || p.Agent != base.Agent || len(s.Percents) != len(base.Runs) {
		return p, false
	}
	p.Delta, p.State, p.Complete, p.AckedEnd = nil, base.State, base.Complete, base.AckedEnd
	p.Runs = make([]Run, len(base.Runs))
	for i, r := range base.Runs {
		r.Percent = s.Percents[i]
		if r.AgeMillis > 0 {
			r.AgeMillis += s.Millis
		}
		if r.ListedMillis > 0 {
			r.ListedMillis += s.ListedMillis
		}
		p.Runs[i] = r
	}
	return p, true
}

// Start is a run that should be there.
type Start struct {
	RunID
	Spec       string `json:"spec"`
	Checkpoint string `json:"s,omitempty"`
	// Permit is that of the advice service, on queues that need one.
	Permit string `json:"ticket,omitempty"`
}

// Role is how a run shares its worker's processors with others beside it.
type Role struct {
	RunID
	// LatencyTargetMillis bounds the tail of the answers' times of a run that serves users; Fills says that it takes what others
	// leave.
	LatencyTargetMillis int64 `json:"target_ms,omitempty"`
	BestEffort          bool  `json:"fills,omitempty"`
}

// Answer is what the leader says.
type Answer struct {
	Term int64 `json:"term"`
	// Fence is what the agent sends to its worker with each order.
	Fence int64 `json:"fence"`
	// HeldMillis is how long the poll was held, LeaseMillis how long from the answer on runs may be kept alive. A lease
	// of zero extends nothing.
	HeldMillis  int64   `json:"held_ms"`
	LeaseMillis int64   `json:"lease_ms"`
	Start       []Start `json:"start,omitempty"`
	// Stop lists runs of the poll that should not be there. Settle lists runs that the poll does not name and that are to
	// stop all the same: their start may be under way, or the leader has missed their end and waits for it.
	Stop         []RunID `json:"stop,omitempty"`
	StopUnlisted []RunID `json:"settle,omitempty"`
	// ZoneOpen says that no operator has cordoned the worker's availability zone, and OpenMillis how old the proof of that is.
	ZoneOpen        bool  `json:"open,omitempty"`
	ZoneProofMillis int64 `json:"open_ms,omitempty"`
	// Roles lists those of the worker's runs that have a target or that fill.
	Roles []Role `json:"roles,omitempty"`
	// Incarnation is the life that Start, Stop, Settle, Roles and Seen are about; Seen is up to which end all is kept.
	Incarnation incarnation.ID `json:"life,omitzero"`
	AckedEnd    int64          `json:"seen,omitempty"`
	// AckedPoll is the sequence number of the newest poll all of whose news are kept. Polls may overtake one another, and only
	// the newest that has arrived is taken over.
	AckedPoll int64 `json:"heard,omitempty"`
	// BasePoll is the sequence number of the newest poll that described the worker, on which the agent's polls may build; zero if the leader has none.
	BasePoll int64 `json:"base,omitempty"`
}

// Held and Lease as durations.
func (a Answer) Held() time.Duration  { return time.Duration(a.HeldMillis) * time.Millisecond }
func (a Answer) Lease() time.Duration { return time.Duration(a.LeaseMillis) * time.Millisecond }

// ZoneProofAfter is how long after an agent sent its poll the proof was taken that the worker's zone is open; most often it was before. It is
// never more than that: the answer was sent no sooner than the poll was held, and ages are rounded up.
func (a Answer) ZoneProofAfter() time.Duration {
	return a.Held() - time.Duration(a.ZoneProofMillis)*time.Millisecond
}

// Redirect says where the leader is, as far as the entry knows.
type Redirect struct {
	Term    int64  `json:"term"`
	Address string `json:"address"`
	// Self names this life of the entry that answers.
	Self string `json:"self"`
}
