package leader

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// Reasons for which a poll is not taken as it came.
var (
	errNotLeading  = errors.New("this entry does not lead in the agent's term")
	errFormerAgent = errors.New("a newer process of the agent polls")
	errOldFence    = errors.New("the agent has not heard the fence of its session")
	errUnknownBase = errors.New("the poll is a delta to one that is unknown here")
)

// fenceBits is how many bits of a fence count the agents' incarnations within a term.
const fenceBits = 20

// reply is an answer that may be held back.
type reply struct {
	answer assignment.Answer
	// urgent says that the agent has something to do.
	urgent bool
	// changed is closed when the answer may be another one.
	changed <-chan struct{}
}

// serve answers a poll, after holding it while there is nothing to do; false if this entry does
// not lead in a term that the agent accepts.
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

// receive keeps a poll as the worker's newest, unless a newer one has overtaken it, and returns
// it in full. Polls that need no decision wait for the next one: a decision for each would be
// work that grows with the square of the workers.
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

// checkSession returns an error unless a poll is of the process that is heard from now on. f.mu must
// be held.
func (f *fleet) checkSession(w *worker, poll assignment.Poll) error {
	session := &w.agent
	switch session.judge(poll, f.lastPoll, f.timing.AgentTimeout) {
	case supersede:
		return errFormerAgent
	case makeOffer:
		return errOldFence
	case begin:
		f.beginSession(w, poll, f.nextFence())
	case beginOffered:
		f.beginSession(w, poll, poll.Fence)
	case hear:
	}
	session.heardAt = f.lastPoll
	if poll.RefusedFence != 0 && poll.RefusedFence == session.fence {
		f.raiseFence(w, poll)
	}
	return nil
}

// beginSession turns to another process of a worker's agent. f.mu must be held.
func (f *fleet) beginSession(w *worker, poll assignment.Poll, fence int64) {
	f.logger.Info().Str("step", "leader.session").Str("worker", poll.Worker).Str("agent", poll.Agent).
		Str("before", w.agent.incarnation).Int64("fence", fence).Msg("agent is heard")
	w.agent.replace(poll.Agent, fence)
	w.reports = reports{}
	w.wake()
}

// raiseFence gives the process that is heard a fence above all others, since its worker has seen a
// higher one than that of its session and refuses its orders. f.mu must be held.
func (f *fleet) raiseFence(w *worker, poll assignment.Poll) {
	w.agent.fence = f.nextFence()
	f.logger.Warn().Str("step", "leader.session").Str("worker", poll.Worker).Str("agent", poll.Agent).
		Int64("refused", poll.RefusedFence).Int64("fence", w.agent.fence).
		Msg("worker refuses the fence of the agent that is heard; it gets a higher one")
	w.wake()
}

// supersedes reports whether this entry leads in a term and hears a newer process of the agent that
// has polled.
func (f *fleet) supersedes(poll assignment.Poll, term int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[poll.Worker]
	if f.term == 0 || f.term != term || poll.Term > f.term || w == nil {
		return false
	}
	return w.agent.judge(poll, time.Now(), f.timing.AgentTimeout) == supersede
}

// nextFence returns a fence above all others of this and earlier terms. f.mu must be held.
func (f *fleet) nextFence() int64 {
	f.fences++
	return f.term<<fenceBits + f.fences
}

// offerFence answers a poll that was made before its agent had heard the fence of its session,
// without lease and orders.
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

// requestFull answers a delta to an unknown poll with the one on which the agent may build.
func (f *fleet) requestFull(poll assignment.Poll) (assignment.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.session(poll)
	if !ok {
		return assignment.Answer{}, false
	}
	return f.acknowledge(w), true
}

// session returns the worker of a poll, unless the term has ended or the poll is a former
// agent's. f.mu must be held.
func (f *fleet) session(poll assignment.Poll) (*worker, bool) {
	w := f.workers[poll.Worker]
	if f.term == 0 || w == nil || w.agent.incarnation != poll.Agent {
		return nil, false
	}
	return w, true
}

// acknowledge returns an answer without lease and orders. f.mu must be held.
func (f *fleet) acknowledge(w *worker) assignment.Answer {
	return assignment.Answer{
		Term:      f.term,
		Fence:     w.agent.fence,
		AckedPoll: w.reports.acked,
		BasePoll:  w.reports.base.Sequence,
	}
}

// answer makes the answer to a poll as things stand.
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
		// The agent needs the fence before its worker can list what it runs.
		r.urgent = true
	case f.published && !w.expired && poll.State.ID == w.desired.Incarnation:
		r.addOrders(poll, w.desired)
		for _, s := range r.answer.Start {
			f.sent[s.RunID] = true
		}
	}
	return r, true
}

// addOrders adds what to start and to stop so that the worker runs what is desired.
func (r *reply) addOrders(poll assignment.Poll, desired dispatch.DesiredState) {
	a := &r.answer
	a.Incarnation, a.AckedEnd = desired.Incarnation, desired.AckedEnd
	for _, run := range poll.Runs {
		d, ok := desired.Runs[run.Task]
		if !desired.Held[run.Task.Job] && (!ok || d.Stopping || d.Start.Run != run.Run) {
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

// knownRuns are the runs that a poll names.
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
