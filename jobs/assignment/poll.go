package assignment

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Poll is an agent's report on its worker.
type Poll struct {
	// Worker is the name of the agent's box, Agent that of this start of the agent's process.
	Worker string `json:"worker"`
	Agent  string `json:"agent"`
	// AgentMillis is how long the agent's process has run, or has been heard again after another
	// one, while that is so short that starts which the other one has sent may still be carried out;
	// zero after that, and if it is unknown.
	AgentMillis int64 `json:"agent_ms,omitempty"`
	// Sequence rises with the agent's polls.
	Sequence int64 `json:"seq"`
	// Term is the highest that the agent knows.
	Term int64 `json:"term"`
	// Fence is the highest that the agent has heard from a leader; zero if it has just started.
	Fence int64 `json:"fence,omitempty"`
	// RefusedFence is Fence if the worker refuses orders with it, as it has seen a higher one; zero
	// otherwise.
	RefusedFence int64 `json:"refused_fence,omitempty"`
	// State is the worker's; nil while no incarnation is known.
	State *WorkerState `json:"life,omitempty"`
	// Complete is set if Runs and Ends are what the worker listed under the newest fence.
	Complete bool      `json:"listed,omitempty"`
	Runs     []Run     `json:"runs,omitempty"`
	Ends     []End     `json:"ends,omitempty"`
	Refused  []Refusal `json:"refused,omitempty"`
	// EndedIncarnations are those on which nothing runs any more.
	EndedIncarnations []IncarnationEnd `json:"lives_over,omitempty"`
	// ClosingIncarnations are over too, but orders for them may still have an effect, so their
	// ends are reported later. Nothing is to be placed there.
	ClosingIncarnations []incarnation.ID `json:"lives_closing,omitempty"`
	// Unresponsive is set if the worker gives no answer: nothing is to be placed on it, and
	// nothing can be extended.
	Unresponsive bool `json:"silent,omitempty"`
	// FailingMillis is how long the worker has given no answer; zero while it does.
	FailingMillis int64 `json:"failing_ms,omitempty"`
	// OpenStarts are the starts that may still be carried out by a later incarnation.
	OpenStarts []OpenStart `json:"open_starts,omitempty"`
	// NoStartsMillis is how long the worker gets no starts, since a call that lets it forget
	// ends may still be carried out by a later incarnation; zero if it gets them.
	NoStartsMillis int64 `json:"no_starts_ms,omitempty"`
	// AckedEnd is up to which end the leader has acknowledged them to the agent.
	AckedEnd int64 `json:"seen,omitempty"`
	// Wait is set if the answer may be held until there is something to do.
	Wait bool `json:"wait,omitempty"`
	// Delta, if set, takes the place of all that describes the worker.
	Delta *Delta `json:"since,omitempty"`
}

// AgentAge is AgentMillis as a duration.
func (p Poll) AgentAge() time.Duration { return time.Duration(p.AgentMillis) * time.Millisecond }

// Delta is the progress of the runs since an earlier poll of the same agent that described the
// worker. All else is as it was.
type Delta struct {
	// Sequence is that poll's number, Millis how long ago it was made.
	Sequence int64 `json:"seq"`
	Millis   int64 `json:"ms"`
	// ListedMillis is how much later the worker has listed the percentages.
	ListedMillis int64 `json:"listed_ms"`
	// Percents are in the order of that poll's runs.
	Percents []int `json:"p"`
}

// Expand returns the poll as it would be if it described the worker itself. It returns false
// unless base is the poll that the delta builds on.
func (p Poll) Expand(base Poll) (Poll, bool) {
	d := p.Delta
	if d == nil || d.Sequence != base.Sequence || p.Agent != base.Agent || len(d.Percents) != len(base.Runs) {
		return p, false
	}
	p.Delta = nil
	p.State, p.Complete, p.AckedEnd = base.State, base.Complete, base.AckedEnd
	p.Runs = make([]Run, len(base.Runs))
	for i, r := range base.Runs {
		r.Percent = d.Percents[i]
		if r.AgeMillis > 0 {
			r.AgeMillis += d.Millis
		}
		if r.ListedMillis > 0 {
			r.ListedMillis += d.ListedMillis
		}
		p.Runs[i] = r
	}
	return p, true
}
