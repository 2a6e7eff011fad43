package assignment

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Poll is an agent's report on its worker.
type Poll struct {
	// Worker is the name of the agent's box. Agent identifies this start of the agent's process.
	Worker string `json:"worker"`
	Agent  string `json:"agent"`
	// AgentMillis is the time since the agent's process started, or resumed after another process
	// had superseded it. It is set only while starts that another process has sent may still be
	// carried out; zero after that, and if it is unknown.
	AgentMillis int64 `json:"agent_ms,omitempty"`
	// Sequence increases with each of the agent's polls.
	Sequence int64 `json:"seq"`
	// Term is the highest term that the agent has seen.
	Term int64 `json:"term"`
	// Fence is the highest fence that the agent has received from a leader; zero if the agent has
	// just started.
	Fence int64 `json:"fence,omitempty"`
	// RefusedFence equals Fence if the worker refuses orders with that fence because it has seen a
	// higher one; zero otherwise.
	RefusedFence int64 `json:"refused_fence,omitempty"`
	// State is the worker's state; nil while no incarnation is known.
	State *WorkerState `json:"life,omitempty"`
	// Complete is set if Runs and Ends are those that the worker listed under the newest fence.
	Complete bool `json:"listed,omitempty"`
	// Partial is set if the worker's newest list did not show everything that the worker holds: it
	// omitted ends, which come once the leader has stored those in Ends, or had unreadable rows. A
	// run that the poll doesn't mention may then have started, and may have ended.
	Partial bool      `json:"partial,omitempty"`
	Runs    []Run     `json:"runs,omitempty"`
	Ends    []End     `json:"ends,omitempty"`
	Refused []Refusal `json:"refused,omitempty"`
	// EndedIncarnations lists the incarnations on which no run is running.
	EndedIncarnations []IncarnationEnd `json:"lives_over,omitempty"`
	// ClosingIncarnations lists incarnations that have ended too, but for which orders may still
	// take effect, so that their ends are reported later. Nothing may be placed there.
	ClosingIncarnations []incarnation.ID `json:"lives_closing,omitempty"`
	// Unresponsive is set if the worker does not answer: nothing may be placed on it, and no lease
	// can be extended.
	Unresponsive bool `json:"silent,omitempty"`
	// FailingMillis is how long the worker has not answered; zero while it does.
	FailingMillis int64 `json:"failing_ms,omitempty"`
	// OpenStarts lists the starts that a later incarnation may still carry out.
	OpenStarts []OpenStart `json:"open_starts,omitempty"`
	// NoStartsMillis is how long the agent will send no starts to the worker, because a later
	// incarnation may still carry out a call that lets the worker forget ends; zero if starts are
	// sent.
	NoStartsMillis int64 `json:"no_starts_ms,omitempty"`
	// AckedEnd is the highest number of the ends that the leader has acknowledged to the agent.
	AckedEnd int64 `json:"seen,omitempty"`
	// Wait is set if the leader may hold the answer until there is something to do.
	Wait bool `json:"wait,omitempty"`
	// Delta, if set, replaces all fields that describe the worker.
	Delta *Delta `json:"since,omitempty"`
}

// AgentAge returns AgentMillis as a duration.
func (p Poll) AgentAge() time.Duration { return time.Duration(p.AgentMillis) * time.Millisecond }

// Delta is the progress of the runs since an earlier poll of the same agent that described the
// worker in full. Everything else is unchanged.
type Delta struct {
	// BaseSequence is the number of that poll, ElapsedMillis the time since it was made.
	BaseSequence  int64 `json:"seq"`
	ElapsedMillis int64 `json:"ms"`
	// ListedMillis is how much later than in that poll the worker has listed the percentages.
	ListedMillis int64 `json:"listed_ms"`
	// Percents are in the order of that poll's runs.
	Percents []int `json:"p"`
}

// Expand returns the full poll that a delta stands for. It returns false unless base is the poll on
// which the delta builds.
func (p Poll) Expand(base Poll) (Poll, bool) {
	d := p.Delta
	if d == nil || d.BaseSequence != base.Sequence || p.Agent != base.Agent || len(d.Percents) != len(base.Runs) {
		return p, false
	}
	p.Delta = nil
	p.State, p.Complete, p.AckedEnd = base.State, base.Complete, base.AckedEnd
	p.Runs = make([]Run, len(base.Runs))
	for i, r := range base.Runs {
		r.Percent = d.Percents[i]
		if r.AgeMillis > 0 {
			r.AgeMillis += d.ElapsedMillis
		}
		if r.ListedMillis > 0 {
			r.ListedMillis += d.ListedMillis
		}
		p.Runs[i] = r
	}
	return p, true
}
