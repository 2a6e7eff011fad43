// Package dispatch decides which task runs on which worker. One entry at a time leads; each entry
// runs a Dispatcher, which waits until its turn comes.
//
// # Leadership
//
// Who leads is a record of the job topic with a term. An entry that has read everything and sees no sign of the leader
// for a while claims the next term, on the condition that nothing was written meanwhile; the log then shuts out what a
// former leader writes. A leader leases running work out only while it has a proof, an acknowledged write of its term, that
// is younger than Timing.Proof. So a successor knows how long work on a silent worker can still run: Timing.Proof after it
// began to lead, and a lease on top.
//
// # Decisions
//
// The control goroutine takes agents' news, callers' jobs and cancels, and time; it computes what should run, stores what
// has changed by one append, and only then tells the agents. So nothing is acted on that is not kept, and nothing is
// acknowledged either. While an append gets no answer it is sent again with the same number; nothing else is decided.
//
// # Usage
//
//	d := dispatch.New(settings, parts)
//	go d.Run(ctx)
//	http.Handle(assignment.Path, d.Handler())
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/assignment"
	"yarrowgrade.example/yarrowgrade/catalog"
	"yarrowgrade.example/yarrowgrade/hedge"
	"yarrowgrade.example/yarrowgrade/jobstore"
	"yarrowgrade.example/yarrowgrade/jsonhttp"
)

// Timing is the pace of a dispatcher and the bounds that others count on.
type Timing struct {
	// Lease is how long from an answer on a worker's runs may be kept alive; Proof bounds the age of the proof
	// of leadership with which one is given.
	Lease time.Duration
	Proof time.Duration
	// Drift is the most that a worker's clock may add to a lease, as a share, and Margin a fixed time on top.
	Drift  float64
	Margin time.Duration
	// Hold is how long a poll is held when there is nothing to say.
	Hold time.Duration
	// Renew is how often a leader that writes nothing else shows that it lives. Patience is how long the others wait
	// without a sign.
	Renew    time.Duration
	Patience time.Duration
	// Doubt is how long without a sign the others wait before they ask the leader whether it is still there.
	Doubt time.Duration
	// Unreached is how long a leader with work to do goes on without hearing from any agent: one that is cut off from the
	// agents, but not from the log, must let another one try.
	Unreached time.Duration
	// Silent is how long a worker may be silent and still get new work.
	Silent time.Duration
	// Forget is how long an ended job is kept.
	Forget time.Duration
}

// DefaultTiming is the pace with a lease of the given length.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{
		Lease: lease, Proof: 3 * time.Second, Drift: 0.03, Margin: 300 * time.Millisecond,
		Hold: 500 * time.Millisecond, Renew: 400 * time.Millisecond, Patience: time.Second, Doubt: 600 * time.Millisecond,
		Unreached: 3 * time.Second, Silent: 1500 * time.Millisecond, Forget: 3 * time.Minute,
	}
}

// over is how long after an answer with a lease nothing of it runs any more.
func (t Timing) over() time.Duration {
	return time.Duration(float64(t.Lease)*(1+t.Drift)) + t.Margin
}

// Settings of a dispatcher.
type Settings struct {
	// Name names this life of the entry; Address is where agents reach it.
	Name  string
	Address string
	Timing  Timing
}

// Parts are what a dispatcher works with.
type Parts struct {
	Log     jobstore.Log
	Replica *jobstore.Replica
	Catalog *catalog.Follower
	// Directory is the topic in which agents look for the dispatcher.
	Directory jobstore.Log
	// Adviser may be nil where no queue needs advice.
	Adviser Adviser
	// Latency is that of the log's appends, as all of this process learn it.
	Latency *hedge.Latency
	// Client calls other entries; Peers returns the addresses of all of them.
	Client  *http.Client
	Peers   func() []string
	Logger  zerolog.Logger
	Metrics tally.Scope
}

// Dispatcher waits until its turn to lead comes, and leads.
type Dispatcher struct {
	settings Settings
	parts    Parts
	metrics  *metrics
	desk     *desk
	resign   chan struct{}
	// offered is the newest term whose leader has offered this entry to lead instead of it.
	offered atomic.Int64
}

// New returns a dispatcher. Run starts it.
func New(s Settings, p Parts) *Dispatcher {
	return &Dispatcher{settings: s, parts: p, metrics: newMetrics(p.Metrics), desk: newDesk(s.Timing), resign: make(chan struct{})}
}

// Resign ends leadership, if this entry leads, and never claims it again.
func (d *Dispatcher) Resign() { close(d.resign) }

// resigned reports whether Resign was called: an entry that leaves must not claim leadership again once it has given it up.
func (d *Dispatcher) resigned() bool {
	select {
	case <-d.resign:
		return true
	default:
		return false
	}
}

// Run waits until its turn to lead comes, and leads, again and again, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	lost := int64(-1)
	rest := time.Time{}
	for ctx.Err() == nil {
		leader, ok := d.await(ctx, lost, rest)
		if !ok {
			return
		}
		d.metrics.terms.Inc(leadTaken)
		err := d.lead(ctx, leader)
		d.metrics.terms.Inc(endOfTerm(err))
		lost = leader.Term
		if errors.Is(err, errUnreached) {
			rest = time.Now().Add(d.settings.Timing.Unreached)
		}
		d.parts.Logger.Warn().Str("step", "dispatch.hold").Int64("term", leader.Term).Err(err).Msg("leadership lost")
	}
}

// endOfTerm is the event by which a term ends, as it is counted.
func endOfTerm(err error) string {
	if errors.Is(err, errHandedOver) {
		return leadHandedOver
	}
	return leadLost
}

// await returns when this entry holds a term above the one that it has lost. It claims none before the end of the rest.
func (d *Dispatcher) await(ctx context.Context, lost int64, rest time.Time) (jobstore.Leader, bool) {
	drawn := d.settings.Timing.Patience + rand.N(d.settings.Timing.Patience/5)
	began := time.Now()
	var claimed, asked time.Time
	answers := make(chan jobstore.Leader, 1)
	var gone jobstore.Leader
	for {
		if d.resigned() {
			return jobstore.Leader{}, false
		}
		changed := d.parts.Replica.Changed()
		leader, sign, next := d.parts.Replica.Leader()
		if leader.Name == d.settings.Name && leader.Term > lost {
			return leader, true
		}
		known := !d.parts.Replica.Proof().IsZero()
		// After a gap in this entry's own reads the leader gets its time to show itself.
		if watching := time.Now().Add(-min(d.parts.Replica.Watched(), time.Since(began))); sign.Before(watching) {
			sign = watching
		}
		// While the log is slow, so are the signs.
		patience := max(drawn, 2*d.parts.Latency.Patience(0))
		vacant := leader.Name == "" || leader.Term == d.offered.Load() || leader == gone || time.Since(sign) > patience
		if !vacant && known && d.shouldAsk(sign, asked) {
			asked = time.Now()
			go d.askLeader(ctx, leader, answers)
		}
		if vacant && known && time.Now().After(rest) && time.Since(claimed) > patience/2 {
			claimed = time.Now()
			if err := d.claim(ctx, leader.Term+1, next); errors.Is(err, jobstore.ErrConflict) {
				// Something else was written meanwhile, perhaps by the leader. Once that has been read, it is looked at again.
				claimed = time.Time{}
			}
		}
		select {
		case <-changed:
		case gone = <-answers:
		case <-time.After(awaitTick):
		case <-d.resign:
			return leader, false
		case <-ctx.Done():
			return leader, false
		}
	}
}

// shouldAsk reports whether it is time to ask the leader whether it is still there: at once after this process has started,
// because after a loss of power the leader may be gone as well, and later when no sign of it has come for a while.
func (d *Dispatcher) shouldAsk(sign, asked time.Time) bool {
	if time.Since(asked) < askTimeout {
		return false
	}
	return asked.IsZero() || time.Since(sign) > d.settings.Timing.Doubt
}

// askLeader asks the leader whether it is still there, and passes it on as one that is gone if it is not.
func (d *Dispatcher) askLeader(ctx context.Context, leader jobstore.Leader, gone chan<- jobstore.Leader) {
	if !d.leaderIsGone(ctx, leader) {
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
func (d *Dispatcher) leaderIsGone(ctx context.Context, leader jobstore.Leader) bool {
	if leader.Address == d.settings.Address {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var r assignment.Redirect
	err := jsonhttp.Call(ctx, d.parts.Client, "dispatch.ask", http.MethodGet, "http://"+leader.Address, assignment.LeaderPath, nil, &r)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return r.Self != leader.Name
}

// askTimeout bounds the question to a leader.
const askTimeout = 300 * time.Millisecond

// awaitTick is how often the silence of the leader is looked at.
const awaitTick = 100 * time.Millisecond

// claim writes the claim of a term. Whether it counts is seen in the topic alone: the log takes the claims of several
// entries for doubles of one call, because they carry the same term and number, and answers all of them with success.
func (d *Dispatcher) claim(ctx context.Context, term, next int64) error {
	record, err := jobstore.LeaderRecord(jobstore.Leader{Term: term, Name: d.settings.Name, Address: d.settings.Address})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	condition := jobstore.Condition{At: next, Exact: true, Producer: jobstore.TermOf(term, 0)}
	offset, err := d.parts.Log.Append(ctx, []jobstore.Record{record}, condition)
	d.parts.Logger.Info().Str("step", "dispatch.claim").Int64("term", term).Int64("offset", offset).Err(err).Msg("leadership claimed")
	return err
}

// Times of an append. A second try with the same number is harmless.
const (
	// claimTimeout bounds a claim, appendLimit one try of an append.
	claimTimeout = 900 * time.Millisecond
	appendLimit  = 3 * time.Second
	appendPause  = 60 * time.Millisecond
	// slowAppend is from when on an append's time is logged.
	slowAppend = 250 * time.Millisecond
)

// errSucceeded says that another entry holds a later term.
var errSucceeded = errors.New("a later term has begun")

// errUnreached says that leadership was given up because no agent reaches this entry.
var errUnreached = errors.New("no agent reaches this entry")

// errResigned says that leadership was given up.
var errResigned = errors.New("given up for a planned stop")

// term is the writing side of a term: it numbers the appends and repeats those without an answer.
type term struct {
	leader   jobstore.Leader
	parts    Parts
	desk     *desk
	sequence int64
	written  time.Time
}

// write appends records for sure, or returns errSucceeded, or the context's error.
func (t *term) write(ctx context.Context, records []jobstore.Record) error {
	t.sequence++
	condition := jobstore.Condition{Producer: jobstore.TermOf(t.leader.Term, t.sequence)}
	began := time.Now()
	calls := hedge.Calls[int64]{
		Way:   func(ctx context.Context, try int) (int64, error) { return t.append(ctx, try, records, condition) },
		After: t.parts.Latency.Patience,
		Pause: appendPause,
		Limit: appendLimit,
		Final: func(err error) bool { return errors.Is(err, jobstore.ErrFenced) || errors.Is(err, errSucceeded) },
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go t.handOver(ctx, func() { end(errHandedOver) })
	offset, err := calls.Do(ctx)
	switch {
	case errors.Is(err, jobstore.ErrFenced):
		return errSucceeded
	case err != nil:
		return err
	}
	if took := time.Since(began); took > slowAppend {
		t.parts.Logger.Info().Str("step", "dispatch.write").Int64("term", t.leader.Term).Int64("offset", offset).
			Int("records", len(records)).Dur("took_ms", took).Msg("append took long")
	}
	// Which of the tries was carried out is not known, only that it was after the first one was sent.
	t.written = began
	t.desk.prove(began)
	t.parts.Replica.Note(records, offset)
	return nil
}

// append makes one try.
func (t *term) append(ctx context.Context, try int, records []jobstore.Record, c jobstore.Condition) (int64, error) {
	if leader, _, _ := t.parts.Replica.Leader(); leader.Term > t.leader.Term {
		return 0, errSucceeded
	}
	if try == 1 {
		t.parts.Logger.Warn().Str("step", "dispatch.write").Int64("term", t.leader.Term).Msg("append without an answer; sent again")
	}
	sent := time.Now()
	offset, err := t.parts.Log.Append(ctx, records, c)
	if err == nil {
		t.parts.Latency.Note(time.Since(sent))
	}
	return offset, err
}

// renew shows that the leader lives.
func (t *term) renew(ctx context.Context) error {
	record, err := jobstore.LeaderRecord(t.leader)
	if err != nil {
		return err
	}
	return t.write(ctx, []jobstore.Record{record})
}

// lead leads until leadership is lost.
func (d *Dispatcher) lead(ctx context.Context, leader jobstore.Leader) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{leader: leader, parts: d.parts, desk: d.desk, written: time.Now()}
	c := newControl(d.settings.Timing, d.parts, d.metrics)
	if err := c.load(d.parts.Replica.All()); err != nil {
		return err
	}
	// The claim was acknowledged or read back; the first write proves leadership from now on.
	d.desk.open(leader.Term, time.Time{})
	defer d.desk.close()
	d.parts.Logger.Info().Str("step", "dispatch.hold").Int64("term", leader.Term).Int("jobs", len(c.jobs)).Msg("leadership taken")
	if err := t.renew(ctx); err != nil {
		return err
	}
	go jobstore.AnnounceLeader(ctx, d.parts.Directory, leader)
	for {
		changed, ruled := d.parts.Replica.Changed(), d.parts.Catalog.Changed()
		if err := c.pass(ctx, t, d.desk); err != nil {
			return err
		}
		if time.Since(t.written) >= d.settings.Timing.Renew {
			if err := t.renew(ctx); err != nil {
				return err
			}
		}
		timer := time.NewTimer(c.sleep(t.written))
		select {
		case <-changed:
		case <-ruled:
		case <-d.desk.news:
		case answer := <-c.advice.answers:
			c.advice.take(answer)
		case <-timer.C:
		case <-d.resign:
			return d.giveUp(ctx, t)
		case <-ctx.Done():
			return ctx.Err()
		}
		timer.Stop()
		if current, _, _ := d.parts.Replica.Leader(); current.Term > leader.Term {
			return errSucceeded
		}
		if d.desk.silence(time.Now()) > d.settings.Timing.Unreached && c.busy() {
			return errors.Join(errUnreached, d.giveUp(ctx, t))
		}
	}
}

// giveUp tells the others that there is no leader.
func (d *Dispatcher) giveUp(ctx context.Context, t *term) error {
	t.leader.Name = ""
	if err := t.renew(ctx); err != nil {
		return err
	}
	return errResigned
}
