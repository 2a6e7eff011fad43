package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/internal/sample"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Times of a handover.
const (
	// handOverAfter is how long a write of the leader may go without success before it asks the others to lead.
	handOverAfter = 400 * time.Millisecond
	// handOverPause is the pause between two rounds of asking, handOverTimeout bounds a question.
	handOverPause   = 300 * time.Millisecond
	handOverTimeout = 500 * time.Millisecond
	// offeredAtOnce is how many entries are asked in a round, drawn anew each time: each that will claims the next term, by an append. Where the log turns a
	// third of the entries away, all of a round are turned away once in 250 rounds.
	offeredAtOnce = 5
	// reachTimeout bounds the read by which an entry makes sure that it reaches the log before it takes over.
	reachTimeout = 250 * time.Millisecond
)

// errHandedOver says that another entry takes over, because this one does not reach the log.
var errHandedOver = errors.New("handed over to an entry that reaches the log")

// errLarger says that an entry with more processor time should take over.
var errLarger = errors.New("larger entries may lead")

// handOver waits until a write has gone without success for a while, and then asks the other entries to lead,
// until one will or ctx ends. It calls handed once one will.
func (t *term) handOver(ctx context.Context, handed func()) {
	began := time.Now()
	wait := max(handOverAfter, 2*t.deps.Latency.HedgeDelay(0))
	// Those that should lead are asked first; if none of them will, anybody is.
	for others := t.deps.Directory.EligibleAddresses; pause.For(ctx, wait); others = t.deps.Directory.Addresses {
		if t.offer(ctx, others(), time.Since(began)) {
			handed()
			return
		}
		wait = handOverPause
	}
}

// offer asks a few of the entries at once, and reports whether one will.
func (t *term) offer(ctx context.Context, others []string, failing time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	others = slices.DeleteFunc(slices.Clone(others), func(address string) bool { return address == t.leader.Address })
	others = sample.Draw(others, offeredAtOnce)
	answers := make(chan bool)
	for _, address := range others {
		go func() {
			select {
			case answers <- t.offerTo(ctx, address, failing):
			case <-ctx.Done():
			}
		}()
	}
	for range others {
		select {
		case taken := <-answers:
			if taken {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// Pace of a leader that looks for a larger entry to lead instead of it.
const (
	// yieldEvery is the time between two offers to one of them, also after the beginning of the term: a handover takes some 0.3 s in
	// which nothing starts, so it is not to happen in rows.
	yieldEvery = 2 * time.Second
	// yieldAsked is how many of them are asked each time.
	yieldAsked = 3
)

// yieldToLarger offers leadership to entries with much more than that many cores, a few at a time, until ctx ends, which it does when one has claimed
// it.
func (t *term) yieldToLarger(ctx context.Context, cores float64) {
	for pause.For(ctx, yieldEvery) {
		for _, address := range sample.Draw(t.deps.Directory.LargerThan(cores), yieldAsked) {
			if t.offerTo(ctx, address, 0) {
				break
			}
		}
	}
}

// offerTo asks one entry to lead, and reports whether it will.
func (t *term) offerTo(ctx context.Context, address string, failing time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	offer := assignment.Handover{Term: t.leader.Term, Name: t.leader.Incarnation, FailingMillis: failing.Milliseconds()}
	var none struct{}
	err := jsonhttp.Call(ctx, t.deps.Client, "leader.offer", http.MethodPost, "http://"+address, assignment.HandoverPath, offer, &none)
	return err == nil
}

// ServeHandover takes over from a leader that does not reach the log, if this entry does, and has done so all the
// while: when the log was away for all, the leader stays.
func (c *Candidate) ServeHandover(w http.ResponseWriter, r *http.Request) {
	var offer assignment.Handover
	if err := jsonhttp.Read(w, r, &offer); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if err := c.accept(r.Context(), offer); err != nil {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{Status: http.StatusConflict, Message: err.Error()})
		return
	}
	c.deps.Logger.Info().Str("step", "leader.handover").Int64("term", offer.Term).Str("leader", offer.Name).Msg("leadership is offered, and taken over")
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

// accept makes this entry claim the term after the one that is offered, or says why not.
func (c *Candidate) accept(ctx context.Context, offer assignment.Handover) error {
	if c.resigned() {
		return errResigned
	}
	if leader, _, _ := c.deps.Replica.Leader(); leader.Term != offer.Term || leader.Incarnation != offer.Name {
		return errSucceeded
	}
	failing := time.Duration(offer.FailingMillis) * time.Millisecond
	if failing < c.settings.Timing.NonStandbyDelay && len(c.deps.Directory.LargerThan(c.settings.Cores)) > 0 {
		return errLarger
	}
	if watched := c.deps.Replica.SyncedFor(); watched < failing {
		return fmt.Errorf("the log was away here too, until %v ago", watched)
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	_, _, next := c.deps.Replica.Leader()
	if _, err := c.deps.Log.Read(ctx, topic.Query{From: next, Probe: true}); err != nil && !errors.Is(err, topic.ErrExpired) {
		return err
	}
	c.offeredTerm.Store(offer.Term)
	return nil
}
