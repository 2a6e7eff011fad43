package leader

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// claimTimeout is the timeout of the append that claims a term.
const claimTimeout = 900 * time.Millisecond

// campaign waits until this entry leads in a term later than lostTerm, and returns the leader
// record. It returns false if the candidate resigns or ctx ends first. It claims no term before
// earliestClaim.
func (c *Candidate) campaign(ctx context.Context, lostTerm int64, earliestClaim time.Time) (directory.Leader, bool) {
	e := newElection(c.settings.Timing, c.settings.Incarnation, lostTerm, earliestClaim, time.Now())
	dead := make(chan directory.Leader, 1)
	for !c.resigned() {
		changed := c.deps.Replica.Changed()
		ev := c.evidence()
		var a actions
		e, a = e.step(time.Now(), ev)
		if a.lead {
			return ev.leader, true
		}
		if a.ask {
			go c.askLeader(ctx, ev.leader, dead)
		}
		if a.read {
			c.deps.Replica.ReadNow()
		}
		if a.claim {
			if err := c.claim(ctx, ev.leader.Term+1, ev.end); errors.Is(err, topic.ErrConflict) {
				// Another record was appended in the meantime, possibly by the leader.
				e = e.withoutClaim()
			}
		}
		select {
		case <-changed:
		case leader := <-dead:
			e = e.withDeadLeader(leader)
		case <-time.After(electionTick):
		case <-c.resign:
			return directory.Leader{}, false
		case <-ctx.Done():
			return directory.Leader{}, false
		}
	}
	return directory.Leader{}, false
}

func (c *Candidate) evidence() evidence {
	leader, lastWrite, end := c.deps.Replica.Leader()
	return evidence{
		leader:      leader,
		lastWrite:   lastWrite,
		end:         end,
		synced:      !c.deps.Replica.SyncedAt().IsZero(),
		syncedFor:   c.deps.Replica.SyncedFor(),
		standby:     c.deps.Directory.IsStandby(c.settings.Entry),
		hedgeDelay:  c.deps.Latency.HedgeDelay(0),
		offeredTerm: c.offeredTerm.Load(),
	}
}

// askLeader sends the leader to the channel dead if it is no longer running.
func (c *Candidate) askLeader(ctx context.Context, leader directory.Leader, dead chan<- directory.Leader) {
	if !c.leaderIsDead(ctx, leader) {
		return
	}
	select {
	case dead <- leader:
	default:
		// An earlier result has not been received yet.
	}
}

// leaderIsDead reports whether another incarnation answers at the leader's address, or the
// connection is refused. A leader that does not answer is not reported, as it may only be slow.
func (c *Candidate) leaderIsDead(ctx context.Context, leader directory.Leader) bool {
	if leader.Address == c.settings.Address {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var r assignment.Redirect
	address := "http://" + leader.Address
	err := jsonhttp.Call(ctx, c.deps.Client, "leader.ask", http.MethodGet, address, assignment.LeaderPath, nil, &r)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return r.EntryIncarnation != leader.Incarnation
}

// claim appends a claim of a term, provided that the topic still ends at end. Success does not mean
// that this entry holds the term: the log treats claims of several entries as retries of one append
// and reports success for all of them. Only the record read back from the topic decides.
func (c *Candidate) claim(ctx context.Context, term, end int64) error {
	self := directory.Leader{Term: term, Incarnation: c.settings.Incarnation, Address: c.settings.Address}
	record, err := directory.LeaderRecord(self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	condition := topic.Condition{ExpectedEnd: end, CheckEnd: true, Producer: directory.TermProducer(term, 0)}
	offset, err := c.deps.Log.Append(ctx, []topic.Record{record}, condition)
	c.deps.Logger.Info().Str("step", "leader.claim").Int64("term", term).Int64("offset", offset).Err(err).
		Msg("leadership claimed")
	return err
}
