// Package leader makes one entry at a time lead: it takes agents' polls, lets package dispatch decide, keeps what was decided
// and tells the agents, with leases on what they run. Each entry runs a Candidate, which waits until its turn to lead comes.
//
// # Leadership
//
// Who leads is a record of the job topic with a term. An entry that has read everything and sees no sign of the leader
// for a while claims the next term, on the condition that nothing was written meanwhile; the log then shuts out what a
// former leader writes. A leader leases running work out only while it has a proof, an acknowledged write of its term, that
// is younger than Timing.Proof. So a successor knows how long work on a silent worker can still run: Timing.Proof after it
// began to lead, and a lease on top.
//
// # Order
//
// The leading goroutine takes agents' news, callers' jobs and cancels, and time; what is decided is stored by one append, and
// only then told to the agents. So nothing is acted on that is not kept, and nothing is acknowledged either. While an append
// gets no answer it is sent again with the same number; nothing else is decided.
//
// # Usage
//
//	c := leader.New(settings, deps)
//	go c.Run(ctx)
//	http.HandleFunc(assignment.Path, c.ServePoll)
package leader

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Timing is the pace of a leader and the bounds that others count on.
type Timing struct {
	// Lease is how long from an answer on a worker's runs may be kept alive; Proof bounds the age of the proof
	// of leadership with which one is given.
	Lease       time.Duration
	MaxProofAge time.Duration
	// MaxClockDrift is the most that a worker's clock may add to a lease, as a share, and Margin a fixed time on top.
	MaxClockDrift float64
	LeaseMargin   time.Duration
	// PollWait is how long a poll is held when there is nothing to say.
	PollWait time.Duration
	// HeartbeatInterval is how often a leader that writes nothing else shows that it lives. Patience is how long the others wait
	// without a sign.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SuspicionTimeout is how long without a sign the others wait before they ask the leader whether it is still there.
	SuspicionTimeout time.Duration
	// NonStandbyDelay is how much longer an entry that is not in line waits before it claims leadership, and how long a small one declines offers of
	// it while larger ones may lead: with 0.2 cores, 240 workers to lead made each start 0.3 s late and half of the urgent jobs too late
	// (one day of 34 s). It is longer than the gap between two reads of those that are not in line and two signs of the leader's life.
	NonStandbyDelay time.Duration
	// IsolationTimeout is how long a leader with work to do goes on without hearing from any agent: one that is cut off from the
	// agents, but not from the log, must let another one try.
	IsolationTimeout time.Duration
}

// DefaultTiming is the pace with a lease of the given length.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{
		Lease: lease, MaxProofAge: 3 * time.Second, MaxClockDrift: 0.03, LeaseMargin: 300 * time.Millisecond,
		PollWait: 500 * time.Millisecond, HeartbeatInterval: 400 * time.Millisecond, ElectionTimeout: time.Second, SuspicionTimeout: 600 * time.Millisecond,
		NonStandbyDelay: time.Second, IsolationTimeout: 3 * time.Second,
	}
}

// over is how long after an answer with a lease nothing of it runs any more.
func (t Timing) over() time.Duration {
	return time.Duration(float64(t.Lease)*(1+t.MaxClockDrift)) + t.LeaseMargin
}

// Settings of a candidate.
type Settings struct {
	// Entry is the entry's name in the directory, Name names this life of it, and Address is where agents reach it.
	Entry       string
	Incarnation string
	Address     string
	// Cores is how much processor time it has, in cores; zero if that is not known.
	Cores  float64
	Timing Timing
	// Dispatch is how it decides when it leads.
	Dispatch dispatch.Settings
}

// Dependencies are what a candidate works with.
type Dependencies struct {
	Log     topic.Log
	Replica *jobstore.Replica
	Catalog *catalog.Follower
	// DirectoryLog is the topic in which agents look for the leader, and Directory what this process has read of it.
	DirectoryLog topic.Log
	Directory    *directory.Directory
	// Permits may be nil where no queue needs advice.
	Permits dispatch.PermitIssuer
	// Latency is that of the log's appends, as all of this process learn it.
	Latency *hedge.Latency
	// Client calls other entries.
	Client *http.Client
	// Suspension counts for how long this machine was suspended.
	Suspension suspend.Clock
	Logger     zerolog.Logger
	Metrics    tally.Scope
}

// Candidate waits until its turn to lead comes, and leads.
type Candidate struct {
	settings Settings
	deps     Dependencies
	metrics  metrics
	leases   *leases
	resign   chan struct{}
	// offeredTerm is the newest term whose leader has offered this entry to lead instead of it.
	offeredTerm atomic.Int64
}

// New returns a candidate. Run starts it.
func New(s Settings, p Dependencies) *Candidate {
	m := newMetrics(p.Metrics)
	return &Candidate{settings: s, deps: p, metrics: m, leases: newLeases(s.Timing, p.Suspension, p.Catalog.Cordons, m.looks), resign: make(chan struct{})}
}

// Resign ends leadership, if this entry leads, and never claims it again.
func (c *Candidate) Resign() { close(c.resign) }

// resigned reports whether Resign was called: an entry that leaves must not claim leadership again once it has given it up.
func (c *Candidate) resigned() bool {
	select {
	case <-c.resign:
		return true
	default:
		return false
	}
}

// Run waits until its turn to lead comes, and leads, again and again, until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	lost := int64(-1)
	rest := time.Time{}
	for ctx.Err() == nil {
		leader, ok := c.campaign(ctx, lost, rest)
		if !ok {
			return
		}
		c.metrics.terms.Inc(termBegun)
		err := c.lead(ctx, leader)
		c.metrics.terms.Inc(endOfTerm(err))
		lost = leader.Term
		if errors.Is(err, errUnreached) {
			rest = time.Now().Add(c.settings.Timing.IsolationTimeout)
		}
		c.deps.Logger.Warn().Str("step", "leader.hold").Int64("term", leader.Term).Err(err).Msg("leadership lost")
	}
}

// endOfTerm is the event by which a term ends, as it is counted.
func endOfTerm(err error) string {
	if errors.Is(err, errHandedOver) {
		return termHandedOver
	}
	return termLost
}

// errSucceeded says that another entry holds a later term.
var errSucceeded = errors.New("a later term has begun")

// errUnreached says that leadership was given up because no agent reaches this entry.
var errUnreached = errors.New("no agent reaches this entry")

// errResigned says that leadership was given up.
var errResigned = errors.New("given up for a planned stop")

// lead leads until leadership is lost.
func (c *Candidate) lead(ctx context.Context, leader directory.Leader) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{leader: leader, deps: c.deps, leases: c.leases, written: time.Now()}
	d := dispatch.New(c.settings.Dispatch, dispatch.Dependencies{
		Catalog: c.deps.Catalog, Permits: c.deps.Permits, Logger: c.deps.Logger, Metrics: c.metrics.dispatch,
	})
	for _, v := range c.deps.Replica.Jobs() {
		d.ApplyJob(v)
	}
	// The claim was acknowledged or read back; the first write proves leadership from now on.
	c.deps.Replica.SetLeading(true)
	defer c.deps.Replica.SetLeading(false)
	c.leases.open(leader.Term, suspend.Instant{})
	defer c.leases.close()
	began := time.Now()
	c.deps.Logger.Info().Str("step", "leader.lead").Int64("term", leader.Term).Int("jobs", d.Jobs()).Msg("leadership taken")
	if err := t.renew(ctx); err != nil {
		return err
	}
	go directory.AnnounceLeader(ctx, c.deps.DirectoryLog, leader)
	go t.yieldToLarger(ctx, c.settings.Cores)
	go t.prune(ctx)
	for {
		handedIn, ruled := c.deps.Replica.JobsChanged(), c.deps.Catalog.Changed()
		worked, err := c.pass(ctx, t, d, began)
		if err != nil {
			return err
		}
		pause.For(ctx, restAfter(worked))
		if time.Since(t.written) >= c.settings.Timing.HeartbeatInterval {
			if err := t.renew(ctx); err != nil {
				return err
			}
		}
		timer := time.NewTimer(c.untilNext(t, d))
		select {
		case <-handedIn:
		case <-ruled:
		case <-c.leases.news:
		case answer := <-d.Permits():
			d.ApplyPermits(answer)
		case <-timer.C:
		case <-c.resign:
			return c.giveUp(ctx, t)
		case <-ctx.Done():
			return ctx.Err()
		}
		timer.Stop()
		if current, _, _ := c.deps.Replica.Leader(); current.Term > leader.Term {
			return errSucceeded
		}
		if c.leases.silence(time.Now()) > c.settings.Timing.IsolationTimeout && d.Busy() {
			return errors.Join(errUnreached, c.giveUp(ctx, t))
		}
	}
}

// Rest of the leading goroutine between two rounds. A round looks at all workers and at all work, and news come with both, so rounds without rest would
// take up a processor once the fleet is large enough, and polls would wait for it: an entry with 0.4 cores that led 270 workers never came to rest on a calm day.
// With rest rounds take a third of a processor at the most, and a start waits for twice the time of a round at the most.
const (
	// restShare is how long it rests after a round, in times that the round took; mostRest bounds it, and under leastRest there is none.
	restShare = 2
	mostRest  = 100 * time.Millisecond
	leastRest = 2 * time.Millisecond
)

// restAfter is how long the leading goroutine rests after a round that took so long, without its append.
func restAfter(worked time.Duration) time.Duration {
	rest := min(restShare*worked, mostRest)
	if rest < leastRest {
		return 0
	}
	return rest
}

// pass is one round of the leading goroutine: news in, a decision, one append, and then the word to the agents. It returns how long it worked, without
// the append.
func (c *Candidate) pass(ctx context.Context, t *term, d *dispatch.Controller, began time.Time) (worked time.Duration, err error) {
	now := time.Now()
	for _, a := range c.leases.take() {
		d.ApplyPoll(a.at, a.poll)
	}
	for _, v := range c.deps.Replica.TakeChanged() {
		d.ApplyJob(v)
	}
	// A former leader may have given a lease with a proof from just before this one began to lead.
	d.ExpireLeases(c.leases.expire(d.WorkersInUse(), now, began.Add(c.settings.Timing.MaxProofAge)))
	d.Plan(ctx, now)
	records, err := d.TakeRecords(now)
	if err != nil {
		return 0, err
	}
	worked = time.Since(now)
	if len(records) > 0 {
		if err := t.write(ctx, records); err != nil {
			return 0, err
		}
	}
	kept := time.Now()
	c.leases.publish(d.TakeDesired(now))
	d.UpdateMetrics(now)
	worked += time.Since(kept)
	c.metrics.passTime.RecordDuration(time.Since(now))
	c.metrics.workTime.RecordDuration(worked)
	return worked, nil
}

// untilNext is how long the leading goroutine may wait for news.
func (c *Candidate) untilNext(t *term, d *dispatch.Controller) time.Duration {
	wait := min(time.Until(t.written.Add(c.settings.Timing.HeartbeatInterval)), time.Until(d.Next()))
	return max(wait, time.Millisecond)
}

// giveUp tells the others that there is no leader.
func (c *Candidate) giveUp(ctx context.Context, t *term) error {
	t.leader.Incarnation = ""
	if err := t.renew(ctx); err != nil {
		return err
	}
	return errResigned
}
