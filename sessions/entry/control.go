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
	// controlPeriod is the interval between checks of pending proposals and preparing gangs.
	controlPeriod = 200 * time.Millisecond
	// decidePauseFactor times the duration of a decision is the minimum time from its start to the
	// start of the next. During a burst of sessions decisions are slow and the state changes
	// constantly, so that without the pause the goroutine would do nothing else.
	decidePauseFactor = 10
	// stagger is how long an entry waits per entry of lower rank before it makes a shared proposal.
	stagger = 700 * time.Millisecond
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
	// rejectedPause is the delay before a rejected or failed proposal is retried.
	rejectedPause = time.Second
	// decidePeriod is the interval between decisions while nothing changes. They are still needed
	// because decisions depend on waiting times, which grow.
	decidePeriod = 5 * time.Second
)

// control is the state of the control goroutine, which processes ledger changes and agent reports,
// and makes proposals.
type control struct {
	entry *Entry
	// gone holds the workers that the platform has declared gone.
	gone map[string]bool
	// dirty means that something has changed since the last call of reconcile. dueIn is the time
	// until the next call if nothing changes.
	dirty bool
	dueIn time.Duration
	// firstSeenAt is when each proposal and each preparing placement was first seen.
	firstSeenAt map[string]time.Time
	// pausedUntil holds the proposals that must not be retried yet. The zero time means that the
	// proposal is in progress.
	pausedUntil map[string]time.Time
	results     chan proposalResult
	// decided holds the proposals of the last decision, which was made at decidedAt for the state
	// at decidedRevision and took decideDuration.
	decided        []proposal
	decidedAt      time.Time
	decideDuration time.Duration
	// deferred means that the last decision is out of date, but the pause before the next one has
	// not ended.
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
			c.handleUpdate(u)
		case p := <-c.entry.polls:
			c.handlePoll(p)
		case names := <-gone:
			c.handleGone(names)
		case r := <-c.results:
			c.handleResult(r)
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

func (c *control) handleUpdate(u ledger.Update) {
	e := c.entry
	old := e.log.Load()
	if u.Err != nil {
		if old.reachable {
			e.deps.Telemetry.Log.Warn().Str("step", "entry.follow").Err(u.Err).Msg("cannot read the log")
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
		e.deps.Telemetry.Log.Info().Str("step", "entry.follow").Int64("revision", e.replica.State().Revision()).Msg("ready")
	}
	c.compilePolicies()
}

func (c *control) logVerdict(v ledger.Verdict) {
	t := c.entry.deps.Telemetry
	t.Metrics.Tagged(map[string]string{"status": string(v.Status)}).Counter("records").Inc(1)
	switch v.Status {
	case ledger.Accepted:
	case ledger.Unreadable:
		t.Log.Error().Str("step", "ledger.fold").Int64("offset", v.Offset).Str("reason", v.Reason).
			Msg("ignored an unreadable record")
	default:
		t.Log.Info().Str("step", "ledger.fold").Int64("offset", v.Offset).Str("status", string(v.Status)).
			Str("reason", v.Reason).Msg("record was not accepted")
	}
}

func (c *control) handlePoll(p membership.PollRequest) {
	c.dirty = c.entry.agents.set(p) || c.dirty
}

func (c *control) handleGone(names []string) {
	gone := make(map[string]bool)
	for _, name := range names {
		gone[name] = true
	}
	c.dirty = c.dirty || !maps.Equal(gone, c.gone)
	c.gone = gone
}

func (c *control) handleResult(r proposalResult) {
	c.dirty = true
	delete(c.pausedUntil, r.proposal.key)
	log := c.entry.deps.Telemetry.Log
	if r.err != nil || r.verdict.Status != ledger.Accepted {
		c.pausedUntil[r.proposal.key] = time.Now().Add(rejectedPause)
		c.entry.deps.Telemetry.Metrics.Counter("proposals_without_effect").Inc(1)
		log.Info().Str("step", "entry.propose").Str("want", r.proposal.key).Str("reason", r.verdict.Reason).
			Err(r.err).Msg("proposal failed or was rejected")
		return
	}
	log.Info().Str("step", "entry.propose").Str("want", r.proposal.key).
		Int64("offset", r.verdict.Offset).Msg("accepted")
}

// reconcile derives the proposals from the current state and starts those that are due. Proposals
// are not queued, so one that no longer follows from the state is dropped.
func (c *control) reconcile(ctx context.Context) {
	c.dirty, c.dueIn = false, decidePeriod
	if !c.entry.ready.Load() {
		return
	}
	state := c.entry.replica.State()
	proposals := append(c.reportedProposals(state), c.sharedProposals(state)...)
	proposals = append(proposals, c.decisions(state)...)
	c.removeStale(proposals, state)
	c.dueIn = c.nextDue(state, len(proposals) > 0)
	delay := time.Duration(c.entry.peers.rank()) * stagger
	for _, p := range proposals {
		if c.due(p, delay) {
			c.propose(ctx, p)
		}
	}
}

// nextDue returns the time until the next call of reconcile if nothing changes. It is controlPeriod
// while there are proposals or a gang is preparing, and decidePeriod otherwise, but it never
// extends past the pause before a deferred decision.
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

// due reports whether to make a proposal now. A shared proposal is delayed, so that the entries of
// lower rank can make it first.
func (c *control) due(p proposal, delay time.Duration) bool {
	now := time.Now()
	if until, found := c.pausedUntil[p.key]; found && (until.IsZero() || now.Before(until)) {
		return false
	}
	delete(c.pausedUntil, p.key)
	// Read the clock after firstSeen, which may return the current time: an earlier reading would
	// make the elapsed time negative.
	return !p.shared || time.Since(c.firstSeen(p.key)) >= delay
}

func (c *control) firstSeen(key string) time.Time {
	if at, found := c.firstSeenAt[key]; found {
		return at
	}
	now := time.Now()
	c.firstSeenAt[key] = now
	return now
}

// removeStale removes the first-seen times of proposals and placements that no longer exist, and
// the pauses that have ended.
func (c *control) removeStale(proposals []proposal, state ledger.State) {
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

// propose appends a record in its own goroutine, because the control goroutine must not block on
// I/O. The outcome is sent to results.
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
