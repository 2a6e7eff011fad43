package entry

import (
	"context"
	"maps"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// Periods and timeouts of the control goroutine.
const (
	// controlPeriod is how often pending proposals and preparing gangs are checked.
	controlPeriod = 200 * time.Millisecond
	// The next decision starts no sooner than decidePauseFactor times the duration of the last
	// one after its start. In a burst of sessions decisions are slow and the state changes all
	// the time; without the pause the goroutine would do nothing else.
	decidePauseFactor = 10
	// stagger is how long an entry waits for each entry of a lower rank before it makes a shared
	// proposal.
	stagger = 700 * time.Millisecond
	// proposeTimeout limits one proposal.
	proposeTimeout = 5 * time.Second
	// rejectedPause is the pause before a rejected or failed proposal is made again.
	rejectedPause = time.Second
	// decidePeriod is how often decisions are made while nothing changes, since the waiting times
	// still grow.
	decidePeriod = 5 * time.Second
)

// control is the state of the control goroutine, which takes in changes of the ledger and
// reports of agents, and makes proposals.
type control struct {
	entry *Entry
	// gone has the workers that the platform has declared gone.
	gone map[string]bool
	// dirty means that something has changed since the last call of reconcile; dueIn is when to
	// call it again if nothing changes.
	dirty bool
	dueIn time.Duration
	// firstSeenAt is when each proposal and each preparing placement was first seen.
	firstSeenAt map[string]time.Time
	// pausedUntil has the proposals that are not to be made again yet. The zero time means that one
	// is in progress.
	pausedUntil map[string]time.Time
	results     chan proposalResult
	// decided are the proposals of the last decision, which was made at decidedAt for the state of
	// decidedRevision.
	decided        []proposal
	decidedAt      time.Time
	decideDuration time.Duration
	// deferred means that the last decision is out of date, but the pause before the next one
	// is not over.
	deferred        bool
	decidedRevision int64
}

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	proposal proposal
	verdict  ledger.Verdict
	err      error
}

func newControl(e *Entry) *control {
	return &control{
		entry:       e,
		gone:        make(map[string]bool),
		firstSeenAt: make(map[string]time.Time),
		pausedUntil: make(map[string]time.Time),
		results:     make(chan proposalResult),
	}
}

func (c *control) run(ctx context.Context, updates <-chan ledger.Update, gone <-chan []string) {
	timer := time.NewTimer(controlPeriod)
	defer timer.Stop()
	for {
		select {
		case u := <-updates:
			c.takeUpdate(u)
		case p := <-c.entry.polls:
			c.takePoll(p)
		case names := <-gone:
			c.takeGone(names)
		case r := <-c.results:
			c.takeResult(r)
		case <-timer.C:
			c.dirty = true
		case <-ctx.Done():
			return
		}
		if c.dirty {
			c.reconcile(ctx)
			timer.Reset(c.dueIn)
		}
	}
}

func (c *control) takeUpdate(u ledger.Update) {
	e := c.entry
	old := e.log.Load()
	if u.Err != nil {
		if old.reachable {
			e.parts.Telemetry.Log.Warn().Str("step", "entry.follow").Err(u.Err).Msg("log does not answer")
		}
		e.log.Store(&logHealth{lastRead: old.lastRead})
		return
	}
	c.dirty = c.dirty || u.State != nil || len(u.Records) > 0 || !e.ready.Load()
	if u.State != nil {
		e.replica.Replace(*u.State)
	} else {
		e.log.Store(&logHealth{reachable: true, lastRead: time.Now()})
		for _, v := range e.replica.Apply(u.Records) {
			c.logVerdict(v)
		}
	}
	if (u.AtEnd || u.FromPeer) && !e.ready.Load() {
		e.ready.Store(true)
		e.parts.Telemetry.Log.Info().Str("step", "entry.follow").Int64("revision", e.replica.State().Revision()).Msg("ready")
	}
	c.compilePolicies()
}

func (c *control) logVerdict(v ledger.Verdict) {
	t := c.entry.parts.Telemetry
	t.Metrics.Tagged(map[string]string{"status": string(v.Status)}).Counter("records").Inc(1)
	switch v.Status {
	case ledger.Accepted:
	case ledger.Unreadable:
		t.Log.Error().Str("step", "ledger.fold").Int64("offset", v.Offset).Str("reason", v.Reason).
			Msg("record is unreadable and has no effect")
	default:
		t.Log.Info().Str("step", "ledger.fold").Int64("offset", v.Offset).Str("status", string(v.Status)).
			Str("reason", v.Reason).Msg("record has no effect")
	}
}

func (c *control) takePoll(p membership.PollRequest) {
	c.dirty = c.entry.agents.set(p) || c.dirty
}

func (c *control) takeGone(names []string) {
	gone := make(map[string]bool)
	for _, name := range names {
		gone[name] = true
	}
	c.dirty = c.dirty || !maps.Equal(gone, c.gone)
	c.gone = gone
}

func (c *control) takeResult(r proposalResult) {
	c.dirty = true
	delete(c.pausedUntil, r.proposal.key)
	log := c.entry.parts.Telemetry.Log
	if r.err != nil || r.verdict.Status != ledger.Accepted {
		c.pausedUntil[r.proposal.key] = time.Now().Add(rejectedPause)
		c.entry.parts.Telemetry.Metrics.Counter("proposals_without_effect").Inc(1)
		log.Info().Str("step", "entry.propose").Str("want", r.proposal.key).Str("reason", r.verdict.Reason).
			Err(r.err).Msg("proposal has no effect")
		return
	}
	log.Info().Str("step", "entry.propose").Str("want", r.proposal.key).
		Int64("offset", r.verdict.Offset).Msg("accepted")
}

// reconcile derives the proposals from the current state and starts those that are due. Proposals
// are not queued: one that no longer follows from the state disappears.
func (c *control) reconcile(ctx context.Context) {
	c.dirty, c.dueIn = false, decidePeriod
	if !c.entry.ready.Load() {
		return
	}
	state := c.entry.replica.State()
	proposals := append(c.reportedProposals(state), c.sharedProposals(state)...)
	proposals = append(proposals, c.decisions(state)...)
	c.forgetStale(proposals, state)
	c.dueIn = c.nextDue(state, len(proposals) > 0)
	patience := time.Duration(c.entry.peers.rank()) * stagger
	for _, p := range proposals {
		if c.due(p, patience) {
			c.propose(ctx, p)
		}
	}
}

// nextDue returns how long to wait before the next call of reconcile if nothing changes:
// controlPeriod while there are proposals or a gang prepares, otherwise decidePeriod, but no longer
// than to the end of the pause before a deferred decision.
func (c *control) nextDue(state ledger.State, pending bool) time.Duration {
	due := decidePeriod
	if pending || state.Preparing() {
		due = controlPeriod
	}
	if c.deferred {
		due = min(due, time.Until(c.decidedAt.Add(decidePauseFactor*c.decideDuration)))
	}
	return max(due, 0)
}

// due reports whether to make a proposal now. A shared one is left to the entries of lower rank for
// the duration of patience.
func (c *control) due(p proposal, patience time.Duration) bool {
	now := time.Now()
	if until, found := c.pausedUntil[p.key]; found && (until.IsZero() || now.Before(until)) {
		return false
	}
	delete(c.pausedUntil, p.key)
	// Read the clock after firstSeen, which may set the time to now.
	return !p.shared || time.Since(c.firstSeen(p.key)) >= patience
}

func (c *control) firstSeen(key string) time.Time {
	if at, found := c.firstSeenAt[key]; found {
		return at
	}
	now := time.Now()
	c.firstSeenAt[key] = now
	return now
}

// forgetStale removes the times of proposals that no longer exist.
func (c *control) forgetStale(proposals []proposal, state ledger.State) {
	keep := make(map[string]bool)
	for _, p := range proposals {
		keep[p.key] = true
	}
	for _, p := range state.Placements() {
		keep[prepareKey(p.Token)] = true
	}
	for key := range c.firstSeenAt {
		if !keep[key] {
			delete(c.firstSeenAt, key)
		}
	}
	now := time.Now()
	for key, until := range c.pausedUntil {
		if !until.IsZero() && now.After(until) {
			delete(c.pausedUntil, key)
		}
	}
}

// propose appends a record in a goroutine of its own, because the control goroutine must not
// wait for I/O. The outcome arrives in results.
func (c *control) propose(ctx context.Context, p proposal) {
	c.pausedUntil[p.key] = time.Time{}
	go func() {
		bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		v, err := c.entry.proposer.Propose(bounded, p.record)
		select {
		case c.results <- proposalResult{proposal: p, verdict: v, err: err}:
		case <-ctx.Done():
		}
	}()
}
