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

// claimTimeout bounds the write that claims a term.
const claimTimeout = 900 * time.Millisecond

// campaign waits until this entry leads in a term above lostTerm; false if it has resigned or ctx
// has ended.
func (c *Candidate) campaign(ctx context.Context, lostTerm int64, earliestClaim time.Time) (directory.Leader, bool) {
	e := newElection(c.settings.Timing, c.settings.Incarnation, lostTerm, earliestClaim, time.Now())
	gone := make(chan directory.Leader, 1)
	for !c.resigned() {
		changed := c.deps.Replica.Changed()
		ev := c.evidence()
		var a actions
		e, a = e.step(time.Now(), ev)
		if a.lead {
			return ev.leader, true
		}
		if a.ask {
			go c.askLeader(ctx, ev.leader, gone)
		}
		if a.read {
			c.deps.Replica.ReadNow()
		}
		if a.claim {
			if err := c.claim(ctx, ev.leader.Term+1, ev.end); errors.Is(err, topic.ErrConflict) {
				// Something was written meanwhile, perhaps by the leader.
				e = e.WithoutClaim()
			}
		}
		select {
		case <-changed:
		case leader := <-gone:
			e = e.WithGone(leader)
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

// askLeader sends the leader to gone if it does not run any more.
func (c *Candidate) askLeader(ctx context.Context, leader directory.Leader, gone chan<- directory.Leader) {
	if !c.leaderIsGone(ctx, leader) {
		return
	}
	select {
	case gone <- leader:
	default:
		// An earlier answer has not been received yet.
	}
}

// leaderIsGone reports whether another incarnation answers at the leader's address, or nothing
// listens there. A leader that gives no answer may only be slow.
func (c *Candidate) leaderIsGone(ctx context.Context, leader directory.Leader) bool {
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

// claim appends the claim of a term, provided that the topic still ends at end. Only reading the
// topic tells who holds the term: the log takes claims of several entries for retries of one
// append, and reports success for all.
func (c *Candidate) claim(ctx context.Context, term, end int64) error {
	self := directory.Leader{Term: term, Incarnation: c.settings.Incarnation, Address: c.settings.Address}
	record, err := directory.LeaderRecord(self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	condition := topic.Condition{At: end, Exact: true, Producer: directory.TermProducer(term, 0)}
	offset, err := c.deps.Log.Append(ctx, []topic.Record{record}, condition)
	c.deps.Logger.Info().Str("step", "leader.claim").Int64("term", term).Int64("offset", offset).Err(err).
		Msg("leadership claimed")
	return err
}
