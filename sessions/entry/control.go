package entry

import (
	"context"
	"maps"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// Settings of the control goroutine.
const (
	// controlPeriod is how often wants are looked at that time may bring due.
	controlPeriod = 200 * time.Millisecond
	// decidePauseFactor is how many times longer than a decision takes the next one waits. A burst of
	// sessions makes decisions long and changes the state all the time; without a rest nothing
	// else would be done.
	decidePauseFactor = 10
	// stagger is how much longer each entry behind the preferred one waits before it proposes.
	stagger = 700 * time.Millisecond
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
	// rejectedPause is how long a want rests after its proposal was rejected or failed.
	rejectedPause = time.Second
	// decidePeriod is how often decisions are made again while nothing changes; waiting times
	// grow meanwhile.
	decidePeriod = 5 * time.Second
)

// control is the state of the control goroutine.
type control struct {
	entry *Entry
	gone  map[string]bool
	// dirty says that something has changed since the last pass; dueIn is when to pass again
	// although nothing has.
	dirty bool
	dueIn time.Duration
	// firstSeenAt has when each want was first seen, and each preparing placement.
	firstSeenAt map[string]time.Time
	// pausedUntil has until when a want is left alone; a zero time means that its proposal is under
	// way.
	pausedUntil map[string]time.Time
	results     chan proposalResult
	// decided are the wants of the last decision, made at decidedAt for decidedRevision.
	decided        []proposal
	decidedAt      time.Time
	decideDuration time.Duration
	// deferred says that the last decision is out of date, and that the next one has to wait its
	// turn.
	deferred        bool
	decidedRevision int64
}

// proposalResult is the end of a proposal.
type proposalResult struct {
	proposal proposal
	verdict  ledger.Verdict
	err      error
}

func newControl(e *Entry) *control {
	return &control{
		entry: e, gone: make(map[string]bool),
		firstSeenAt: make(map[string]time.Time), pausedUntil: make(map[string]time.Time), results: make(chan proposalResult),
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
		t.Log.Error().Str("step", "ledger.fold").Int64("offset", v.Offset).Str("reason", v.Reason).Msg("record is unreadable and has no effect")
	default:
		t.Log.Info().Str("step", "ledger.fold").Int64("offset", v.Offset).Str("status", string(v.Status)).Str("reason", v.Reason).Msg("record has no effect")
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
		log.Info().Str("step", "entry.propose").Str("want", r.proposal.key).Str("reason", r.verdict.Reason).Err(r.err).Msg("proposal has no effect")
		return
	}
	log.Info().Str("step", "entry.propose").Str("want", r.proposal.key).Int64("offset", r.verdict.Offset).Msg("accepted")
}

// reconcile compares what is with what should be, and proposes the difference.
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

// nextDue returns when to look again although nothing changes: when the next decision has its
// turn, soon while something is wanted or a gang prepares, and later for a new decision, since
// waiting times grow.
func (c *control) nextDue(state ledger.State, wanted bool) time.Duration {
	due := decidePeriod
	if wanted || state.Preparing() {
		due = controlPeriod
	}
	if c.deferred {
		due = min(due, time.Until(c.decidedAt.Add(decidePauseFactor*c.decideDuration)))
	}
	return max(due, 0)
}

// due reports whether a want is to be proposed now. What any entry could propose waits for the
// entries preferred.
func (c *control) due(p proposal, patience time.Duration) bool {
	now := time.Now()
	if until, found := c.pausedUntil[p.key]; found && (until.IsZero() || now.Before(until)) {
		return false
	}
	delete(c.pausedUntil, p.key)
	// The want may be seen for the first time just now, so the time since then is taken after that.
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

// forgetStale drops the times of wants that are no more.
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

// propose appends the want's record beside the control goroutine, which never waits on I/O.
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
