package leader

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// Reasons why a poll is not accepted as sent.
var (
	errNotLeading  = errors.New("this entry does not lead in the agent's term")
	errFormerAgent = errors.New("a newer process of the agent is active")
	errOldFence    = errors.New("the agent has not received the fence of its session")
	errUnknownBase = errors.New("the poll is a delta to an unknown poll")
)

// fenceBits is the number of low bits of a fence that number the agents' incarnations within a
// term. The bits above them hold the term.
const fenceBits = 20

// reply is an answer that may be held until there is something to do.
type reply struct {
	answer assignment.Answer
	// urgent is set if the answer contains something for the agent to do.
	urgent bool
	// changed is closed when the answer may have changed.
	changed <-chan struct{}
}

// serve answers a poll, and holds it while there is nothing to do. It returns false if this entry
// does not lead in a term that the agent accepts, if a newer process of the agent is active, or if
// ctx ends.
func (f *fleet) serve(ctx context.Context, poll assignment.Poll) (assignment.Answer, bool) {
	arrived := time.Now()
	poll, err := f.receive(poll)
	switch {
	case errors.Is(err, errUnknownBase):
		return f.requestFull(poll)
	case errors.Is(err, errOldFence):
		return f.offerFence(poll)
	case err != nil:
		return assignment.Answer{}, false
	}
	deadline := time.NewTimer(f.timing.PollWait)
	defer deadline.Stop()
	for held := true; ; {
		r, ok := f.answer(poll, arrived)
		if !ok || r.urgent || !poll.Wait || !held {
			return r.answer, ok
		}
		select {
		case <-r.changed:
		case <-deadline.C:
			held = false
		case <-ctx.Done():
			return r.answer, false
		}
	}
}

// receive stores a poll as the worker's latest, unless a newer one arrived before it, and returns
// the full poll. Polls that need no decision at once wait for the next decision: a decision for
// each poll would cost time quadratic in the number of workers.
func (f *fleet) receive(poll assignment.Poll) (assignment.Poll, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == 0 || poll.Term > f.term {
		return poll, errNotLeading
	}
	f.lastPoll = time.Now()
	w := f.workerOf(poll.Worker)
	if err := f.checkSession(w, poll); err != nil {
		return poll, err
	}
	isFull := poll.Delta == nil
	if !isFull {
		var known bool
		if poll, known = poll.Expand(w.reports.base); !known {
			return poll, errUnknownBase
		}
	}
	if poll.Sequence <= w.reports.newest.Sequence {
		return poll, nil
	}
	urgent := w.needsDecision(poll)
	w.reports.add(poll, isFull, f.lastPoll)
	w.history.add(poll)
	w.pending = true
	if urgent {
		f.requestDecision()
	}
	return poll, nil
}

// checkSession returns an error unless a poll comes from the active process of its agent, or makes
// its process the active one. f.mu must be held.
func (f *fleet) checkSession(w *worker, poll assignment.Poll) error {
	session := &w.agent
	switch session.classify(poll, f.lastPoll, f.timing.AgentTimeout) {
	case actionSupersede:
		return errFormerAgent
	case actionOffer:
		return errOldFence
	case actionBegin:
		f.beginSession(w, poll, f.nextFence())
	case actionBeginOffered:
		f.beginSession(w, poll, poll.Fence)
	case actionAccept:
	}
	session.polledAt = f.lastPoll
	if poll.RefusedFence != 0 && poll.RefusedFence == session.fence {
		f.raiseFence(w, poll)
	}
	return nil
}

// beginSession makes another process of a worker's agent the active one. f.mu must be held.
func (f *fleet) beginSession(w *worker, poll assignment.Poll, fence int64) {
	f.logger.Info().Str("step", "leader.session").Str("worker", poll.Worker).Str("agent", poll.Agent).
		Str("before", w.agent.incarnation).Int64("fence", fence).Msg("agent session started")
	w.agent.replace(poll.Agent, fence)
	w.reports = reports{}
	w.wake()
}

// raiseFence gives the active process a fence above all others, because its worker has seen a fence
// higher than that of the session and refuses its orders. f.mu must be held.
func (f *fleet) raiseFence(w *worker, poll assignment.Poll) {
	w.agent.fence = f.nextFence()
	f.logger.Warn().Str("step", "leader.session").Str("worker", poll.Worker).Str("agent", poll.Agent).
		Int64("refused", poll.RefusedFence).Int64("fence", w.agent.fence).
		Msg("worker refused the fence of the active agent; fence raised")
	w.wake()
}

// supersedes reports whether this entry leads in the given term and a newer process than the one
// that sent the poll is active.
func (f *fleet) supersedes(poll assignment.Poll, term int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[poll.Worker]
	if f.term == 0 || f.term != term || poll.Term > f.term || w == nil {
		return false
	}
	return w.agent.classify(poll, time.Now(), f.timing.AgentTimeout) == actionSupersede
}

// nextFence returns a fence higher than all others of this term and earlier ones. f.mu must be
// held.
func (f *fleet) nextFence() int64 {
	f.fences++
	return f.term<<fenceBits + f.fences
}

// offerFence answers a poll of an agent that has not yet received the fence of its session. The
// answer contains no lease and no orders.
func (f *fleet) offerFence(poll assignment.Poll) (assignment.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == 0 {
		return assignment.Answer{}, false
	}
	w := f.workerOf(poll.Worker)
	if w.agent.incarnation == poll.Agent {
		return f.acknowledge(w), true
	}
	fence := w.agent.offer(poll, f.lastPoll, f.nextFence)
	return assignment.Answer{Term: f.term, Fence: fence, FenceOffered: true}, true
}

func (f *fleet) requestDecision() {
	select {
	case f.decisionDue <- struct{}{}:
	default:
	}
}

// requestFull answers a delta to an unknown poll. The answer names the poll on which the agent may
// base a delta.
func (f *fleet) requestFull(poll assignment.Poll) (assignment.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.session(poll)
	if !ok {
		return assignment.Answer{}, false
	}
	return f.acknowledge(w), true
}

// session returns the worker of a poll. It returns false if the term has ended or the poll is not
// from the active process of the agent. f.mu must be held.
func (f *fleet) session(poll assignment.Poll) (*worker, bool) {
	w := f.workers[poll.Worker]
	if f.term == 0 || w == nil || w.agent.incarnation != poll.Agent {
		return nil, false
	}
	return w, true
}

// acknowledge returns an answer without a lease or orders. f.mu must be held.
func (f *fleet) acknowledge(w *worker) assignment.Answer {
	return assignment.Answer{
		Term:      f.term,
		Fence:     w.agent.fence,
		AckedPoll: w.reports.acked,
		BasePoll:  w.reports.base.Sequence,
	}
}

// answer returns the answer to a poll according to the current state.
func (f *fleet) answer(poll assignment.Poll, arrived time.Time) (reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.session(poll)
	if !ok {
		return reply{}, false
	}
	f.answers.Inc(1)
	now := time.Now()
	a := f.acknowledge(w)
	a.HeldMillis = now.Sub(arrived).Milliseconds()
	if lease := f.leaseFor(w, poll); lease > 0 {
		a.LeaseMillis = lease.Milliseconds()
		w.granted = now
	}
	if poll.State != nil {
		a.ZoneOpen, a.ZoneProofMillis = f.zoneOpen(poll.State.Zone, now)
	}
	r := reply{answer: a, changed: w.changed}
	switch {
	case poll.State == nil:
	case !poll.Complete:
		// The agent needs the fence before its worker can list its runs.
		r.urgent = true
	case f.published && !w.expired && poll.State.ID == w.desired.Incarnation:
		r.addOrders(poll, w.desired)
		for _, s := range r.answer.Start {
			f.sent[s.RunID] = true
		}
	}
	return r, true
}

// addOrders adds the starts and stops needed for the worker to reach the desired state.
func (r *reply) addOrders(poll assignment.Poll, desired dispatch.DesiredState) {
	a := &r.answer
	a.Incarnation, a.AckedEnd = desired.Incarnation, desired.AckedEnd
	for _, run := range poll.Runs {
		d, ok := desired.Runs[run.Task]
		if !desired.UnreadableJobs[run.Task.Job] && (!ok || d.Stopping || d.Start.Run != run.Run) {
			a.Stop = append(a.Stop, run.RunID)
		}
	}
	known := knownRuns(poll)
	for _, d := range desired.Runs {
		if d.Role != nil {
			a.Roles = append(a.Roles, *d.Role)
		}
		switch {
		case known[d.Start.RunID]:
		case d.Stopping:
			a.StopUnlisted = append(a.StopUnlisted, d.Start.RunID)
		case a.LeaseMillis > 0:
			a.Start = append(a.Start, d.Start)
		}
	}
	r.urgent = len(a.Start) > 0 || len(a.Stop) > 0 || len(a.StopUnlisted) > 0 || a.AckedEnd > poll.AckedEnd
}

// knownRuns returns the runs that a poll mentions.
func knownRuns(poll assignment.Poll) map[assignment.RunID]bool {
	known := make(map[assignment.RunID]bool, len(poll.Runs)+len(poll.Ends)+len(poll.Refused))
	for _, r := range poll.Runs {
		known[r.RunID] = true
	}
	for _, e := range poll.Ends {
		known[e.RunID] = true
	}
	for _, r := range poll.Refused {
		known[r.RunID] = true
	}
	return known
}
