package leader

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// worker is the leader's state of a worker and its agent. It is guarded by fleet.mu.
type worker struct {
	agent   agentSession
	reports reports
	history history
	// pending is set if the latest poll has not been taken yet.
	pending bool

	// granted is when the latest lease was granted.
	granted time.Time
	// expired is set if the lease has ended and the resulting decision is not published yet.
	expired bool

	desired dispatch.DesiredState
	// changed is closed and replaced to have held polls evaluated again.
	changed chan struct{}
}

func newWorker() *worker {
	return &worker{agent: newAgentSession(), changed: make(chan struct{})}
}

// wake causes the held polls of the worker to be evaluated again.
func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// reports holds the latest polls of the active incarnation of the agent.
type reports struct {
	newest  assignment.Poll
	arrived time.Time
	// base is the latest poll that is not a delta.
	base assignment.Poll
	// taken is the sequence number of the latest poll taken into a decision. acked is that of the
	// latest poll whose resulting decision is stored.
	taken, acked int64
}

func (r *reports) add(poll assignment.Poll, full bool, arrived time.Time) {
	if full {
		r.base = poll
	}
	r.newest, r.arrived = poll, arrived
}

// maxFormer is the maximum number of former incarnations kept per worker.
const maxFormer = 5

// history holds the incarnations of a worker for display to operators.
type history struct {
	current incarnation.ID
	// former lists earlier incarnations, newest first.
	former []incarnation.ID
}

func (h *history) add(poll assignment.Poll) {
	if poll.State == nil || !poll.Complete || h.current == poll.State.ID {
		return
	}
	if !h.current.IsZero() {
		h.former = slices.Insert(h.former, 0, h.current)
		h.former = h.former[:min(len(h.former), maxFormer)]
	}
	h.current = poll.State.ID
}
