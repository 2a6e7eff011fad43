package leader

import (
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

// Times of an election.
const (
	// electionTick is how often the evidence is looked at.
	electionTick = 100 * time.Millisecond
	// askTimeout bounds a question to the leader, and the time between two.
	askTimeout = 300 * time.Millisecond
	// jitterDivisor bounds the random part of an election timeout to a fifth: entries that lose
	// the leader at the same moment must not all claim at once.
	jitterDivisor = 5
)

// evidence is what an entry knows about the leader at one moment.
type evidence struct {
	// leader has no incarnation once it has given up leadership.
	leader directory.Leader
	// lastWrite is when a write of the leader was last read.
	lastWrite time.Time
	// end is the offset after the last record read.
	end int64
	// synced says that the whole topic has been read once.
	synced bool
	// syncedFor is how long reads have followed one another without a gap.
	syncedFor time.Duration
	// standby says that this entry is one of the few that take over first.
	standby bool
	// hedgeDelay is the usual upper bound of the log's answer times.
	hedgeDelay time.Duration
	// offeredTerm is the newest term whose leader has offered leadership to this entry.
	offeredTerm int64
}

// election is the immutable state of an entry that waits to lead.
type election struct {
	timing Timing
	// self is this entry's incarnation.
	self string
	// lostTerm is the term that it has led last.
	lostTerm      int64
	earliestClaim time.Time
	// timeout includes this entry's jitter.
	timeout time.Duration
	began   time.Time

	askedAt   time.Time
	claimedAt time.Time
	// vacantSince is zero while somebody leads.
	vacantSince time.Time
	// gone is the leader that was last found not to run any more.
	gone directory.Leader
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

// WithGone notes that a leader does not run any more.
func (e election) WithGone(leader directory.Leader) election {
	e.gone = leader
	return e
}

// WithoutClaim forgets the last claim, so that the next one need not wait.
func (e election) WithoutClaim() election {
	e.claimedAt = time.Time{}
	return e
}

// actions are what an entry does next. All may be false: it waits.
type actions struct {
	// lead says that this entry is the leader.
	lead bool
	// ask the leader whether it still runs.
	ask bool
	// read the topic now: it may hold writes of the leader that are not read yet.
	read bool
	// claim the next term.
	claim bool
}

// step returns what follows from the evidence at a time.
func (e election) step(now time.Time, ev evidence) (election, actions) {
	if ev.leader.Incarnation == e.self && ev.leader.Term > e.lostTerm {
		return e, actions{lead: true}
	}
	silence := e.silence(now, ev)
	delay := e.delay(ev)
	timeout := e.silenceLimit(ev)
	offered := ev.leader.Term == ev.offeredTerm
	timedOut := silence > timeout
	vacant := ev.leader.Incarnation == "" || offered || ev.leader == e.gone || timedOut
	switch {
	case !vacant:
		e.vacantSince = time.Time{}
	case e.vacantSince.IsZero():
		e.vacantSince = now
	}
	// A timeout includes the delay, and an offer is meant for this entry.
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

// silence is how long the leader has written nothing while this entry could have read it.
func (e election) silence(now time.Time, ev evidence) time.Duration {
	watched := min(ev.syncedFor, now.Sub(e.began))
	return min(now.Sub(ev.lastWrite), watched)
}

// delay is how much longer this entry waits than the standbys, which read more often and go
// first.
func (e election) delay(ev evidence) time.Duration {
	if ev.standby {
		return 0
	}
	return e.timing.NonStandbyDelay
}

// silenceLimit is the silence after which the leader counts as gone. A slow log delays its writes
// too.
func (e election) silenceLimit(ev evidence) time.Duration {
	return max(e.timeout, 2*ev.hedgeDelay) + e.delay(ev)
}

// shouldAsk reports whether it is time to ask the leader. A standby also asks at its own start: a
// loss of power may have taken the leader down as well.
func (e election) shouldAsk(now time.Time, silence, delay time.Duration) bool {
	if now.Sub(e.askedAt) < askTimeout {
		return false
	}
	atStart := e.askedAt.IsZero() && delay == 0
	return atStart || silence > e.timing.SuspicionTimeout+delay
}
