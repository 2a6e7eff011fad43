package leader

import (
	"math"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// Two processes of one agent may be alive at once: one was paused or cut off while its successor
// started, or an upgrade starts the next one early. Only one of them is heard, since they would
// contradict each other about what runs on their worker. This file has the rule by which the
// leader chooses.
//
// The newer process is heard. A process without a fence has just started, and is newer than all
// that have polled before. Of two that have one, the newer is the one with the higher: each session
// begins with a fence above all earlier ones, also across terms. The older one is superseded while
// the newer one polls, whichever polls first in a term. It is heard once the newer one has been
// silent for Timing.AgentTimeout, and is the newer one from then on.
//
// A poll with a fence may be the last one of a process that was killed, and seconds late. So the
// process is offered a higher fence, and its session begins once a poll has shown that one.

// agentSession is the session of the process of a worker's agent that is heard.
type agentSession struct {
	// incarnation is that of the process; empty before one is heard in this term.
	incarnation string
	// fence rises with each session; the worker obeys the highest.
	fence int64
	// heardAt is when the process last polled.
	heardAt time.Time
	offered offeredFence
	// ranks order the processes that were heard or made an offer in this term: the highest is the
	// newest. Each has the fence that it showed first, or that of the session with which it began
	// or came back.
	ranks map[string]int64
}

func newAgentSession() agentSession { return agentSession{ranks: map[string]int64{}} }

// offeredFence is a fence that a process was offered at a time.
type offeredFence struct {
	incarnation string
	fence       int64
	at          time.Time
}

// verdict is what the leader does with a poll.
type verdict int

const (
	// hear takes the poll: its process is the one that is heard.
	hear verdict = iota
	// begin begins a session of a process that has just started.
	begin
	// beginOffered begins a session with the fence that was offered.
	beginOffered
	// makeOffer answers with a fence that the next poll has to show.
	makeOffer
	// supersede rejects the poll: a newer process polls.
	supersede
)

// judge decides about a poll that arrives at a time. A process is silent once it has not polled for
// the timeout.
func (s *agentSession) judge(poll assignment.Poll, now time.Time, timeout time.Duration) verdict {
	switch {
	case poll.Agent == s.incarnation:
		return hear
	case now.Sub(s.heardAt) < timeout && s.rank(poll) <= s.ranks[s.incarnation]:
		return supersede
	case poll.Fence == 0:
		return begin
	case poll.Agent == s.offered.incarnation && poll.Fence == s.offered.fence:
		return beginOffered
	case poll.Agent == s.offered.incarnation:
		return makeOffer
	case now.Sub(s.offered.at) < timeout && s.rank(poll) <= s.ranks[s.offered.incarnation]:
		return supersede
	}
	return makeOffer
}

// justStarted is the rank of a process that has not polled yet and has no fence.
const justStarted = math.MaxInt64

// rank is that of the process of a poll.
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

// offer returns the fence that the process of a poll is offered: the same until another process is
// offered one.
func (s *agentSession) offer(poll assignment.Poll, now time.Time, next func() int64) int64 {
	if s.offered.incarnation != poll.Agent {
		s.ranks[poll.Agent] = s.rank(poll)
		s.offered = offeredFence{incarnation: poll.Agent, fence: next(), at: now}
	}
	return s.offered.fence
}

// replace begins a session of another process.
func (s *agentSession) replace(incarnation string, fence int64) {
	if rank, known := s.ranks[incarnation]; !known || rank <= s.ranks[s.incarnation] {
		s.ranks[incarnation] = fence
	}
	s.incarnation, s.fence = incarnation, fence
	s.offered = offeredFence{}
}
