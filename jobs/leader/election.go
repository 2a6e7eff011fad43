package leader

import (
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

// Election timing.
const (
	// electionTick is the interval at which the evidence is evaluated.
	electionTick = 100 * time.Millisecond
	// askTimeout is the timeout of a liveness request to the leader, and the minimum interval
	// between two requests.
	askTimeout = 300 * time.Millisecond
	// jitterDivisor limits the random part of an election timeout to a fifth of the timeout. The
	// jitter keeps entries that lose the leader at the same moment from all claiming at once.
	jitterDivisor = 5
)

// evidence is what an entry knows about the leader at a point in time.
type evidence struct {
	// leader is the current leader. Its incarnation is empty once it has stepped down.
	leader directory.Leader
	// lastWrite is when this entry last read a write of the leader.
	lastWrite time.Time
	// end is the offset after the last record read.
	end int64
	// synced is set once the whole topic has been read.
	synced bool
	// syncedFor is how long this entry has been reading without a gap.
	syncedFor time.Duration
	// standby is set if this entry is one of the few that take over first.
	standby bool
	// hedgeDelay is the usual upper bound of the log's response times.
	hedgeDelay time.Duration
	// offeredTerm is the latest term whose leader has offered leadership to this entry.
	offeredTerm int64
}

// election is the immutable state of an entry that campaigns for leadership.
type election struct {
	timing Timing
	// self is the incarnation of this entry.
	self string
	// lostTerm is the last term in which this entry led.
	lostTerm      int64
	earliestClaim time.Time
	// timeout is the election timeout including jitter.
	timeout time.Duration
	began   time.Time

	askedAt   time.Time
	claimedAt time.Time
	// vacantSince is when leadership became vacant, or zero while an entry leads.
	vacantSince time.Time
	// deadLeader is the last leader found to be no longer running.
	deadLeader directory.Leader
}

func newElection(timing Timing, self string, lostTerm int64, earliestClaim, now time.Time) election {
	return election{
		timing:        timing,
		self:          self,
		lostTerm:      lostTerm,
		earliestClaim: earliestClaim,
		timeout:       timing.ElectionTimeout + rand.N(timing.ElectionTimeout/jitterDivisor),
		began:         now,
	}
}

// withDeadLeader records that a leader is no longer running.
func (e election) withDeadLeader(leader directory.Leader) election {
	e.deadLeader = leader
	return e
}

// withoutClaim clears the time of the last claim, so that the next claim is not delayed.
func (e election) withoutClaim() election {
	e.claimedAt = time.Time{}
	return e
}

// actions are the steps that an entry takes next. If all are false, it waits.
type actions struct {
	// lead is set if this entry is the leader.
	lead bool
	// ask requests a check of whether the leader is still running.
	ask bool
	// read requests an immediate read of the topic, which may hold unread writes of the leader.
	read bool
	// claim requests a claim of the next term.
	claim bool
}

// step evaluates the evidence at the given time. It returns the new state and the actions to take.
func (e election) step(now time.Time, ev evidence) (election, actions) {
	if ev.leader.Incarnation == e.self && ev.leader.Term > e.lostTerm {
		return e, actions{lead: true}
	}
	silence := e.silence(now, ev)
	delay := e.delay(ev)
	timeout := e.silenceLimit(ev)
	offered := ev.leader.Term == ev.offeredTerm
	timedOut := silence > timeout
	vacant := ev.leader.Incarnation == "" || offered || ev.leader == e.deadLeader || timedOut
	switch {
	case !vacant:
		e.vacantSince = time.Time{}
	case e.vacantSince.IsZero():
		e.vacantSince = now
	}
	// No further delay applies after a timeout, which includes the delay, or after an offer, which
	// is addressed to this entry.
	delayed := !offered && !timedOut && now.Sub(e.vacantSince) < delay
	mayClaim := vacant && ev.synced && !delayed && now.After(e.earliestClaim)
	a := actions{
		ask:   !vacant && ev.synced && e.shouldAsk(now, silence, delay),
		read:  vacant || silence > e.timing.SuspicionTimeout+delay-electionTick,
		claim: mayClaim && now.Sub(e.claimedAt) > timeout/2,
	}
	if a.ask {
		e.askedAt = now
	}
	if a.claim {
		e.claimedAt = now
	}
	return e, a
}

// silence returns how long the leader has written nothing, counting only the time during which this
// entry would have read it.
func (e election) silence(now time.Time, ev evidence) time.Duration {
	watched := min(ev.syncedFor, now.Sub(e.began))
	return min(now.Sub(ev.lastWrite), watched)
}

// delay returns how much longer this entry waits than the standbys, which read more often and claim
// first.
func (e election) delay(ev evidence) time.Duration {
	if ev.standby {
		return 0
	}
	return e.timing.NonStandbyDelay
}

// silenceLimit returns the silence after which the leader is considered dead. It grows with the
// response time of the log, since a slow log also delays the leader's writes.
func (e election) silenceLimit(ev evidence) time.Duration {
	return max(e.timeout, 2*ev.hedgeDelay) + e.delay(ev)
}

// shouldAsk reports whether to ask the leader now. A standby also asks when it starts, because a
// power failure may have stopped the leader as well.
func (e election) shouldAsk(now time.Time, silence, delay time.Duration) bool {
	if now.Sub(e.askedAt) < askTimeout {
		return false
	}
	atStart := e.askedAt.IsZero() && delay == 0
	return atStart || silence > e.timing.SuspicionTimeout+delay
}
