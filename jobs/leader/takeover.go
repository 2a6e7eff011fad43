package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// probeTimeout is the timeout of a probe of the log.
const probeTimeout = 250 * time.Millisecond

// ServeHandover handles a leader's offer of leadership. It responds with 200 if this entry will
// claim the next term, and with 409 if it declines.
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
	c.deps.Logger.Info().Str("step", "leader.handover").Int64("term", offer.Term).Str("leader", offer.Name).
		Msg("offer of leadership accepted")
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

// accept accepts an offer, so that this entry claims the next term, or returns the reason for
// declining it. An entry that could not reach the log either declines, because a handover to it
// would not help. A small entry declines at first if there are larger ones.
func (c *Candidate) accept(ctx context.Context, offer assignment.Handover) error {
	if c.resigned() {
		return errResigned
	}
	if leader, _, _ := c.deps.Replica.Leader(); leader.Term != offer.Term || leader.Incarnation != offer.Name {
		return errSuperseded
	}
	failing := time.Duration(offer.FailingMillis) * time.Millisecond
	if failing < c.settings.Timing.NonStandbyDelay && len(c.deps.Directory.LargerThan(c.settings.Cores)) > 0 {
		return errLarger
	}
	if synced := c.deps.Replica.SyncedFor(); synced < failing {
		return fmt.Errorf("this entry could not reach the log either until %v ago", synced)
	}
	if err := c.probe(ctx); err != nil {
		return err
	}
	c.offeredTerm.Store(offer.Term)
	return nil
}

func (c *Candidate) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _, end := c.deps.Replica.Leader()
	_, err := c.deps.Log.Read(ctx, topic.Query{From: end, Probe: true})
	if errors.Is(err, topic.ErrExpired) {
		return nil
	}
	return err
}
