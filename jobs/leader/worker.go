package leader

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// worker is what the leader knows of a worker and its agent. The lock of the fleet guards it.
type worker struct {
	agent   agentSession
	reports reports
	history history
	// pending says that the newest poll is not taken yet.
	pending bool

	// granted is when the newest lease was granted.
	granted time.Time
	// expired says that the lease was found to have ended, and what follows is not published yet.
	expired bool

	desired dispatch.DesiredState
	// changed is closed and replaced to have held polls answered again.
	changed chan struct{}
}

func newWorker() *worker {
	return &worker{agent: newAgentSession(), changed: make(chan struct{})}
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// reports are the polls of the agent's newest incarnation.
type reports struct {
	newest  assignment.Poll
	arrived time.Time
	// base is the newest poll that is no delta.
	base assignment.Poll
	// taken and acked are the sequence numbers of the newest poll that was taken into a decision,
	// and of that whose consequences are stored.
	taken, acked int64
}

func (r *reports) add(poll assignment.Poll, full bool, arrived time.Time) {
	if full {
		r.base = poll
	}
	r.newest, r.arrived = poll, arrived
}

// maxFormer bounds the former incarnations that are kept.
const maxFormer = 5

// history holds the worker's incarnations, for operators.
type history struct {
	current incarnation.ID
	// The newest of former comes first.
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
