package leader

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Reasons why a leader loses leadership or an entry declines it.
var (
	errSuperseded = errors.New("a later term has begun")
	errIsolated   = errors.New("no agent has polled within the isolation timeout")
	errResigned   = errors.New("resigned for a planned shutdown")
	errHandedOver = errors.New("handed over to an entry that can reach the log")
	errLarger     = errors.New("larger entries are available to lead")
)

// Candidate takes part in the leader election for an entry, and leads while the entry is the
// leader.
type Candidate struct {
	settings Settings
	deps     Dependencies
	metrics  metrics
	fleet    *fleet
	resign   chan struct{}
	// offeredTerm is the latest term whose leader has offered leadership to this entry and whose
	// offer it has accepted.
	offeredTerm atomic.Int64
}

// New returns a candidate. It does nothing until Run is called.
func New(s Settings, d Dependencies) *Candidate {
	m := newMetrics(d.Metrics)
	return &Candidate{
		settings: s,
		deps:     d,
		metrics:  m,
		fleet:    newFleet(s.Timing, d.Suspension, d.Catalog.Cordons, m.pollAnswers, d.Logger),
		resign:   make(chan struct{}),
	}
}

// Resign steps down from leadership and stops the candidate permanently. It must be called at most
// once.
func (c *Candidate) Resign() { close(c.resign) }

func (c *Candidate) resigned() bool {
	select {
	case <-c.resign:
		return true
	default:
		return false
	}
}

// Run campaigns for leadership, leads until leadership is lost, and campaigns again, until the
// candidate resigns or ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	lostTerm := int64(-1)
	earliestClaim := time.Time{}
	for ctx.Err() == nil {
		leader, ok := c.campaign(ctx, lostTerm, earliestClaim)
		if !ok {
			return
		}
		c.metrics.terms.Inc(termBegun)
		err := c.lead(ctx, leader)
		c.metrics.terms.Inc(termEnd(err))
		lostTerm = leader.Term
		if errors.Is(err, errIsolated) {
			earliestClaim = time.Now().Add(c.settings.Timing.IsolationTimeout)
		}
		c.deps.Logger.Warn().Str("step", "leader.hold").Int64("term", leader.Term).Err(err).Msg("leadership lost")
	}
}

// termEnd returns the label value counted for the end of a term.
func termEnd(err error) string {
	if errors.Is(err, errHandedOver) {
		return termHandedOver
	}
	return termLost
}
