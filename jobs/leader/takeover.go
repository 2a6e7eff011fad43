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

const probeTimeout = 250 * time.Millisecond

// ServeHandover answers a leader's offer: 200 if this entry claims the next term, 409 if not.
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

// accept has this entry claim the next term, or returns why not. An entry that has lost the log
// as well declines: nothing would be gained. A small one declines at first while there are larger
// ones.
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
		return fmt.Errorf("the log was away here too, until %v ago", synced)
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
