package leader

import (
	"math"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// Two processes of one agent may be alive at the same time: one may have been paused or
// disconnected while its successor started, or an upgrade may start the next process early. The
// leader accepts polls from only one of them, the active process, because they would contradict
// each other about what runs on their worker. This file implements the rule by which the leader
// chooses.
//
// The newer process is active. A process without a fence has just started, and is newer than all
// those that have polled before. Of two processes with a fence, the one with the higher fence is
// newer: each session begins with a fence higher than all earlier ones, also across terms. The
// older process is superseded while the newer one polls, whichever polls first in a term. It
// becomes active, and counts as the newer one, once the other process has been silent for
// Timing.AgentTimeout.
//
// A poll with a fence may be the last one of a process that was killed, delivered seconds late. The
// leader therefore first offers the process a higher fence, and begins its session only once a poll
// shows that fence.

// agentSession is the session of the active process of a worker's agent.
type agentSession struct {
	// incarnation identifies the active process. It is empty until a process is active in this
	// term.
	incarnation string
	// fence increases with each session. The worker obeys only the highest fence.
	fence int64
	// polledAt is when the active process last polled.
	polledAt time.Time
	offered  offeredFence
	// ranks orders the processes that were active or received an offer in this term: the highest
	// rank is the newest process. The rank of a process is the first fence that it showed, or the
	// fence of the session with which it started or became active again.
	ranks map[string]int64
}

func newAgentSession() agentSession { return agentSession{ranks: map[string]int64{}} }

// offeredFence is a fence offered to a process, with the time of the offer.
type offeredFence struct {
	incarnation string
	fence       int64
	at          time.Time
}

// sessionAction is the action that the leader takes on a poll.
type sessionAction int

const (
	// actionAccept accepts the poll, which is from the active process.
	actionAccept sessionAction = iota
	// actionBegin begins a session for a process that has just started.
	actionBegin
	// actionBeginOffered begins a session with the fence that the process was offered.
	actionBeginOffered
	// actionOffer answers with a fence that the next poll must show.
	actionOffer
	// actionSupersede rejects the poll, because a newer process is active.
	actionSupersede
)

// classify returns the action to take on a poll that arrives at the given time. A process is
// considered silent if it has not polled for the timeout.
func (s *agentSession) classify(poll assignment.Poll, now time.Time, timeout time.Duration) sessionAction {
	switch {
	case poll.Agent == s.incarnation:
		return actionAccept
	case now.Sub(s.polledAt) < timeout && s.rank(poll) <= s.ranks[s.incarnation]:
		return actionSupersede
	case poll.Fence == 0:
		return actionBegin
	case poll.Agent == s.offered.incarnation && poll.Fence == s.offered.fence:
		return actionBeginOffered
	case poll.Agent == s.offered.incarnation:
		return actionOffer
	case now.Sub(s.offered.at) < timeout && s.rank(poll) <= s.ranks[s.offered.incarnation]:
		return actionSupersede
	}
	return actionOffer
}

// justStarted is the rank of a process that has not polled before and has no fence.
const justStarted = math.MaxInt64

// rank returns the rank of the process that sent a poll.
func (s *agentSession) rank(poll assignment.Poll) int64 {
	rank, known := s.ranks[poll.Agent]
	switch {
	case known:
		return rank
	case poll.Fence == 0:
		return justStarted
	}
	return poll.Fence
}

// offer returns the fence to offer to the process that sent a poll. It stays the same until another
// process is offered a fence.
func (s *agentSession) offer(poll assignment.Poll, now time.Time, next func() int64) int64 {
	if s.offered.incarnation != poll.Agent {
		s.ranks[poll.Agent] = s.rank(poll)
		s.offered = offeredFence{incarnation: poll.Agent, fence: next(), at: now}
	}
	return s.offered.fence
}

// replace begins a session of another process with the given fence.
func (s *agentSession) replace(incarnation string, fence int64) {
	if rank, known := s.ranks[incarnation]; !known || rank <= s.ranks[s.incarnation] {
		s.ranks[incarnation] = fence
	}
	s.incarnation, s.fence = incarnation, fence
	s.offered = offeredFence{}
}
