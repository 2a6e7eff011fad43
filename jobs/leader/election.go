package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// await returns when this entry leads in a term above the one that it has lost. It claims none before the end of the rest.
func (c *Candidate) await(ctx context.Context, lost int64, rest time.Time) (directory.Leader, bool) {
	drawn := c.settings.Timing.ElectionTimeout + rand.N(c.settings.Timing.ElectionTimeout/5)
	began := time.Now()
	var claimed, asked time.Time
	answers := make(chan directory.Leader, 1)
	var gone directory.Leader
	var vacated time.Time
	for {
		if c.resigned() {
			return directory.Leader{}, false
		}
		changed := c.parts.Replica.Changed()
		leader, sign, next := c.parts.Replica.Leader()
		if leader.Incarnation == c.settings.Incarnation && leader.Term > lost {
			return leader, true
		}
		known := !c.parts.Replica.SyncedAt().IsZero()
		// After a gap in this entry's own reads the leader gets its time to show itself.
		if watching := time.Now().Add(-min(c.parts.Replica.SyncedFor(), time.Since(began))); sign.Before(watching) {
			sign = watching
		}
		// Those that are not in line read less often, and leave the others time to take over.
		deference := time.Duration(0)
		if !c.parts.Directory.IsStandby(c.settings.Entry) {
			deference = c.settings.Timing.NonStandbyDelay
		}
		// While the log is slow, so are the signs.
		patience := max(drawn, 2*c.parts.Latency.HedgeDelay(0)) + deference
		offered := leader.Term == c.offered.Load()
		lapsed := time.Since(sign) > patience
		vacant := leader.Incarnation == "" || offered || leader == gone || lapsed
		switch {
		case !vacant:
			vacated = time.Time{}
		case vacated.IsZero():
			vacated = time.Now()
		}
		deferring := !offered && !lapsed && time.Since(vacated) < deference
		if !vacant && known && c.shouldAsk(sign, asked, deference) {
			asked = time.Now()
			go c.askLeader(ctx, leader, answers)
		}
		if vacant || time.Since(sign) > c.settings.Timing.SuspicionTimeout+deference-awaitTick {
			// Signs may have come that are not read yet.
			c.parts.Replica.ReadNow()
		}
		if vacant && known && !deferring && time.Now().After(rest) && time.Since(claimed) > patience/2 {
			claimed = time.Now()
			if err := c.claim(ctx, leader.Term+1, next); errors.Is(err, topic.ErrConflict) {
				// Something else was written meanwhile, perhaps by the leader. Once that has been read, it is looked at again.
				claimed = time.Time{}
			}
		}
		select {
		case <-changed:
		case gone = <-answers:
		case <-time.After(awaitTick):
		case <-c.resign:
			return leader, false
		case <-ctx.Done():
			return leader, false
		}
	}
}

// shouldAsk reports whether it is time to ask the leader whether it is still there: at once after this process has started,
// because after a loss of power the leader may be gone as well, and later when no sign of it has come for a while. One that is not in line asks that much
// later, and not at its start: else all entries ask one that may just have started too.
func (c *Candidate) shouldAsk(sign, asked time.Time, deference time.Duration) bool {
	if time.Since(asked) < askTimeout {
		return false
	}
	return asked.IsZero() && deference == 0 || time.Since(sign) > c.settings.Timing.SuspicionTimeout+deference
}

// askLeader asks the leader whether it is still there, and passes it on as one that is gone if it is not.
func (c *Candidate) askLeader(ctx context.Context, leader directory.Leader, gone chan<- directory.Leader) {
	if !c.leaderIsGone(ctx, leader) {
		return
	}
	select {
	case gone <- leader:
	default:
		// An earlier answer has not been taken yet.
	}
}

// leaderIsGone asks the leader whether it is still there. Only an answer of another life, or none because nothing listens
// there, says that it is not; the leader's silence says nothing.
func (c *Candidate) leaderIsGone(ctx context.Context, leader directory.Leader) bool {
	if leader.Address == c.settings.Address {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var r assignment.Redirect
	err := jsonhttp.Call(ctx, c.parts.Client, "leader.ask", http.MethodGet, "http://"+leader.Address, assignment.LeaderPath, nil, &r)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return r.Self != leader.Incarnation
}

// askTimeout bounds the question to a leader.
const askTimeout = 300 * time.Millisecond

// awaitTick is how often the silence of the leader is looked at.
const awaitTick = 100 * time.Millisecond

// claim writes the claim of a term. Whether it counts is seen in the topic alone: the log takes the claims of several
// entries for doubles of one call, because they carry the same term and number, and answers all of them with success.
func (c *Candidate) claim(ctx context.Context, term, next int64) error {
	record, err := directory.LeaderRecord(directory.Leader{Term: term, Incarnation: c.settings.Incarnation, Address: c.settings.Address})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	condition := topic.Condition{At: next, Exact: true, Producer: directory.TermProducer(term, 0)}
	offset, err := c.parts.Log.Append(ctx, []topic.Record{record}, condition)
	c.parts.Logger.Info().Str("step", "leader.claim").Int64("term", term).Int64("offset", offset).Err(err).Msg("leadership claimed")
	return err
}

// claimTimeout bounds a claim.
const claimTimeout = 900 * time.Millisecond
