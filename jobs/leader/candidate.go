package leader

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Reasons for which leadership ends or is not taken over.
var (
	errSuperseded = errors.New("a later term has begun")
	errIsolated   = errors.New("no agent reaches this entry")
	errResigned   = errors.New("given up for a planned stop")
	errHandedOver = errors.New("handed over to an entry that reaches the log")
	errLarger     = errors.New("larger entries may lead")
)

// Candidate is an entry that leads, or waits until it does.
type Candidate struct {
	settings Settings
	deps     Dependencies
	metrics  metrics
	fleet    *fleet
	resign   chan struct{}
	// offeredTerm is the newest term whose leader has offered leadership to this entry.
	offeredTerm atomic.Int64
}

// New returns a candidate. Run starts it.
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

// Resign gives up leadership for good. It must be called at most once.
func (c *Candidate) Resign() { close(c.resign) }

func (c *Candidate) resigned() bool {
	select {
	case <-c.resign:
		return true
	default:
		return false
	}
}

// Run waits until this entry leads, leads, and waits again, until it resigns or ctx ends.
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

// termEnd is the event that is counted for the end of a term.
func termEnd(err error) string {
	if errors.Is(err, errHandedOver) {
		return termHandedOver
	}
	return termLost
}
