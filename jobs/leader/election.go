package leader

import (
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

// Times of an election.
const (
	// electionTick is the longest time between two looks at the evidence.
	electionTick = 100 * time.Millisecond
	// askTimeout bounds the question to a leader whether it is still there. Two questions are at
	// least that far apart.
	askTimeout = 300 * time.Millisecond
	// jitterDivisor bounds the random addition to an entry's election timeout: a fifth of it.
	// Entries that lose the leader at the same moment then don't all claim at once.
	jitterDivisor = 5
)

// evidence is what an entry knows about the leader at one moment.
type evidence struct {
	// leader is the newest leader in the job topic. It has no incarnation after giving up
	// leadership.
	leader directory.Leader
	// lastWrite is when a write of the leader was last read.
	lastWrite time.Time
	// end is the offset after the last record that has been read.
	end int64
	// synced says that the whole topic has been read at least once.
	synced bool
	// syncedFor is how long this entry has been reading the topic without a gap.
	syncedFor time.Duration
	// standby says that this entry is one of the few that take over first.
	standby bool
	// hedgeDelay is how long an answer of the log usually takes at most.
	hedgeDelay time.Duration
	// offeredTerm is the newest term whose leader has offered leadership to this entry.
	offeredTerm int64
}

// election is the state of an entry that waits until it leads. It never changes; step returns the
// next one.
type election struct {
	timing Timing
	// self is the incarnation of this entry.
	self string
	// lostTerm is the term that this entry has led last: it leads in a higher one only.
	lostTerm int64
	// earliestClaim is when it may claim a term at the earliest.
	earliestClaim time.Time
	// timeout is the election timeout with this entry's jitter.
	timeout time.Duration
	began   time.Time

	askedAt   time.Time
	claimedAt time.Time
	// vacantSince is since when the leader has counted as gone; zero while it does not.
	vacantSince time.Time
	// gone is the last leader that was found not to be there any more.
	gone directory.Leader
}

// newElection returns the state of an entry that begins to wait.
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

// WithGone returns the election after a leader was found not to be there any more.
func (e election) WithGone(leader directory.Leader) election {
	e.gone = leader
	return e
}

// WithoutClaim returns the election after a claim that came to nothing: the next one need not
// wait.
func (e election) WithoutClaim() election {
	e.claimedAt = time.Time{}
	return e
}

// actions are what an entry does next in an election. All may be false: it waits.
type actions struct {
	// lead says that this entry is the leader; the other fields are false then.
	lead bool
	// ask says to ask the leader whether it is still there.
	ask bool
	// read says to read the topic now: it may hold writes of the leader that are not read yet.
	read bool
	// claim says to claim the term after that of the leader.
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

// silence is how long the leader has written nothing, as far as this entry could have seen it:
// after a gap in its own reads, and at the beginning, it counts from zero.
func (e election) silence(now time.Time, ev evidence) time.Duration {
	watched := min(ev.syncedFor, now.Sub(e.began))
	return min(now.Sub(ev.lastWrite), watched)
}

// delay is how much longer this entry waits than the standbys. It reads less often than they do,
// and they go first.
func (e election) delay(ev evidence) time.Duration {
	if ev.standby {
		return 0
	}
	return e.timing.NonStandbyDelay
}

// silenceLimit is the silence after which the leader counts as gone. While the log is slow, so
// are the leader's writes.
func (e election) silenceLimit(ev evidence) time.Duration {
	return max(e.timeout, 2*ev.hedgeDelay) + e.delay(ev)
}

// shouldAsk reports whether it is time to ask the leader whether it is still there. A standby
// also asks once at its own start: after a loss of power the leader may be gone as well.
func (e election) shouldAsk(now time.Time, silence, delay time.Duration) bool {
	if now.Sub(e.askedAt) < askTimeout {
		return false
	}
	atStart := e.askedAt.IsZero() && delay == 0
	return atStart || silence > e.timing.SuspicionTimeout+delay
}
