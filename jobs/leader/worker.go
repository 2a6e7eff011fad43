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
	// pending says that the newest poll has not been taken by the leading goroutine.
	pending bool

	// granted is when the newest lease was granted.
	granted time.Time
	// expired says that the leading goroutine has found the last lease to have ended, and has not
	// published what follows from that.
	expired bool

	// desired is what the leading goroutine has published last.
	desired dispatch.DesiredState
	// changed is closed and replaced when held polls of the agent are to be answered again.
	changed chan struct{}
}

func newWorker() *worker {
	return &worker{agent: agentSession{former: map[string]bool{}}, changed: make(chan struct{})}
}

// wake has the held polls of the worker's agent answered again.
func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// agentSession is the newest incarnation of a worker's agent.
type agentSession struct {
	incarnation string
	// former holds the earlier incarnations, whose polls are rejected.
	former map[string]bool
	// fence is what the worker is to obey; it rises with each incarnation of the agent.
	fence int64
}

// replace begins the session of another incarnation of the agent.
func (s *agentSession) replace(incarnation string, fence int64) {
	if s.incarnation != "" {
		s.former[s.incarnation] = true
	}
	s.incarnation, s.fence = incarnation, fence
}

// reports are the polls of the agent's newest incarnation.
type reports struct {
	newest  assignment.Poll
	arrived time.Time
	// base is the newest poll that is no delta: deltas are built on it.
	base assignment.Poll
	// taken is the sequence number of the poll that the leading goroutine took last, acked that
	// of the poll all of whose consequences are stored.
	taken, acked int64
}

// add keeps a poll as the newest. Full says that it was sent as it is, and not as a delta.
func (r *reports) add(poll assignment.Poll, full bool, arrived time.Time) {
	if full {
		r.base = poll
	}
	r.newest, r.arrived = poll, arrived
}

// maxFormer is how many former incarnations of a worker are kept for operators.
const maxFormer = 5

// history holds the incarnations of a worker that this leader has seen.
type history struct {
	current incarnation.ID
	// former are the earlier ones, the newest first.
	former []incarnation.ID
}

// add notes the incarnation of a poll whose worker has listed what it runs.
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
