package runner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Settings of a runner.
type Settings struct {
	// Name is that of the worker's box; Agent names this life of the process.
	Name  string
	Agent string
	// Service and Zone are the worker's as the platform has set them up; empty where that is not known.
	Service, Zone string
	// Lease is the longest that a worker keeps a run without an extension.
	Lease time.Duration
	// Drift is the most by which the worker's clock may be slow, as a share.
	Drift float64
	// CordonWithin is how long after operators cordoned the worker's availability zone something may still start.
	CordonWithin time.Duration
}

// startWithin is how old the proof that the zone is open may be when a start is sent. Who cordons the zone is told no sooner than the proof
// was taken, and the start is carried out no later than its call ends, so both together stay under Cordon, less what clocks
// and wake-ups may take.
func (s Settings) startWithin() time.Duration {
	return time.Duration(float64(s.CordonWithin)*(1-s.Drift)) - callTimeout - wakeMargin
}

// Leader finds the leader and carries polls to it.
type Leader interface {
	// Poll carries a poll to the leader and returns its answer.
	Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error)
}

// Dependencies are what a runner works with.
type Dependencies struct {
	Worker  Worker
	Leader  Leader
	Logger  zerolog.Logger
	Metrics tally.Scope
	// Suspension counts for how long this machine was suspended.
	Suspension suspend.Clock
}

// Pace of a runner.
const (
	// listWait is how long a worker holds a listing when nothing ends.
	listWait = time.Second
	// callTimeout bounds a call to the worker beside, on top of what it may wait.
	callTimeout = 700 * time.Millisecond
	retryPause  = 100 * time.Millisecond
	// quickPause is the pause after an answer that was not held for quickAnswer.
	quickAnswer = 5 * time.Millisecond
	quickPause  = 30 * time.Millisecond
	// silentAfter is how long a worker may give no answer before nothing is extended on it any more.
	silentAfter = 1500 * time.Millisecond
	// wakeMargin is what a process may need until it goes on between looking at a clock and sending. It is chosen, not measured: what the
	// bound of five seconds leaves beside four whole seconds for the proof.
	wakeMargin = 150 * time.Millisecond
	// pollTimeout bounds a poll: the leader holds one for half a second.
	pollTimeout = 1800 * time.Millisecond
)

// phase is how far a run is with the worker, as the agent knows.
type phase int

const (
	starting phase = iota
	there
)

// known is a run that the agent knows of.
type known struct {
	phase   phase
	percent int
	saved   string
	// gauge is the worker's figure for the run; see assignment.Run.
	gauge int
	// ordered says that a start was sent, or is being sent, and may have been carried out.
	ordered bool
	// doubted is when a start ended of which it is not known whether it was carried out; zero if there was none.
	doubted time.Time
	// stopping says that a stop is under way.
	stopping bool
	// began is when the worker said that it had started the run; zero if this agent did not order that. Listed is when it said the
	// percentage.
	began  time.Time
	listed time.Time
}

// age is for how long the run has been there, zero if that is not known.
func (k *known) age() time.Duration { return k.ageAt(time.Now()) }

// ageAt is for how long the run had been there at a time, zero if that is not known.
func (k *known) ageAt(at time.Time) time.Duration {
	if k.began.IsZero() {
		return 0
	}
	return max(at.Sub(k.began), 0)
}

// listedAge is how old the run was when its percentage was said, zero if that is not known.
func (k *known) listedAge() time.Duration {
	if k.began.IsZero() || k.listed.Before(k.began) {
		return 0
	}
	return k.listed.Sub(k.began)
}

// refusal is a run that will never start here. It is told until a poll later than the one numbered told has been heard.
type refusal struct {
	assignment.Refusal
	told int64
}

// Runner keeps one worker running what the leader wants.
type Runner struct {
	settings Settings
	parts    Dependencies
	metrics  metrics

	mu   sync.Mutex
	life *assignment.WorkerState
	// leaves is the earliest time at which a worker goes that leaves.
	leaves time.Time
	// awaited is a start of the worker that a list has told of, and that has not reported yet.
	awaited incarnation.ID
	// former are lives that are over; over are those of which the leader has not heard it yet.
	former map[incarnation.ID]bool
	over   map[incarnation.ID]lifeEnd
	term   int64
	fence  int64
	// until is the end of the lease that the leader gave.
	until suspend.Instant
	// room is what is known of the worker's room.
	room roomNews
	// open is the time of the newest proof that the worker's zone is not cordoned.
	open suspend.Instant
	// clock is the worker's clock at the time read.
	clock  int64
	readAt time.Time
	// told is the latest end of a lease that the worker may have heard.
	told    time.Time
	answers time.Time
	// failing is since when listings get no answer; zero while they do.
	failing time.Time
	listed  bool
	// garbled says that rows of the newest list could not be read.
	garbled bool
	// odd is what the newest heartbeat said otherwise than was known.
	odd     constants
	runs    map[assignment.RunID]*known
	ends    map[int64]assignment.End
	refused map[assignment.RunID]refusal
	// givenUp holds runs whose lease was over before the worker gave an answer, with whether they had begun: if it turns out that it has crashed,
	// they were there.
	givenUp map[assignment.RunID]bool
	// ended holds the highest run of each task that has ended or was refused in this life.
	ended map[job.TaskName]int
	// seen is up to which end the leader has kept them, forgotten up to which an answer said that the worker has forgotten them.
	seen, forgotten int64
	// listedAt is when the newest call was sent whose list was taken over.
	listedAt time.Time
	pacer    pacer
	sequence int64
	// described is the newest poll that described the worker, and base the sequence number of the newest one that the leader says it has.
	described described
	base      int64
	// generation counts lives, so that what was under way for an earlier one is dropped.
	generation int

	report  chan struct{}
	extend  chan struct{}
	sharing chan struct{}
	work    *conc.WaitGroup
}

// New returns a runner. Run starts it.
func New(s Settings, p Dependencies) *Runner {
	r := &Runner{
		settings: s, parts: p, metrics: newMetrics(p.Metrics), former: map[incarnation.ID]bool{}, over: map[incarnation.ID]lifeEnd{},
		report: make(chan struct{}, 1), extend: make(chan struct{}, 1), sharing: make(chan struct{}, 1), work: conc.NewWaitGroup(),
	}
	r.reset()
	return r
}

// reset forgets what was known of a life. The lock must be held, but in New.
func (r *Runner) reset() {
	r.runs, r.ends = map[assignment.RunID]*known{}, map[int64]assignment.End{}
	r.refused, r.ended, r.givenUp = map[assignment.RunID]refusal{}, map[job.TaskName]int{}, map[assignment.RunID]bool{}
	r.seen, r.forgotten, r.listed, r.pacer, r.room = 0, 0, false, newPacer(), roomNews{}
	r.readAt, r.told, r.open, r.failing, r.listedAt = time.Time{}, time.Time{}, suspend.Instant{}, time.Time{}, time.Time{}
	r.generation++
}

// Run works until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { r.pollLoop(ctx, true, nil) })
	wg.Go(func() { r.pollLoop(ctx, false, r.report) })
	wg.Go(func() { r.listLoop(ctx) })
	wg.Go(func() { r.extendLoop(ctx) })
	wg.Go(func() { r.paceLoop(ctx) })
	wg.Wait()
	r.work.Wait()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pollLoop polls the leader: one loop waits there for orders, the other one brings news at once.
func (r *Runner) pollLoop(ctx context.Context, wait bool, news chan struct{}) {
	for ctx.Err() == nil {
		if news != nil {
			select {
			case <-news:
			case <-ctx.Done():
				return
			}
		}
		poll, generation := r.poll(wait)
		sent := r.parts.Suspension.Now()
		attempt, cancel := context.WithTimeout(ctx, pollTimeout)
		answer, err := r.parts.Leader.Poll(attempt, poll)
		cancel()
		r.metrics.polls.Inc(outcomeOf(err))
		if err != nil {
			pause.For(ctx, retryPause)
			if news != nil {
				signal(news)
			}
			continue
		}
		r.obey(ctx, answer, sent, generation)
		if wait && answer.Held() < quickAnswer {
			// Whatever was to be said has been said; asking at once again would only say it again.
			pause.For(ctx, quickPause)
		}
	}
}

// poll says how things stand.
func (r *Runner) poll(wait bool) (assignment.Poll, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	p := assignment.Poll{
		Worker: r.settings.Name, Agent: r.settings.Agent, Sequence: r.sequence, Term: r.term, Complete: r.listed,
		AckedEnd: r.seen, Wait: wait, Unresponsive: r.life != nil && time.Since(r.answers) > silentAfter, EndedIncarnations: r.livesOver(), ClosingIncarnations: r.livesClosing(),
		FailingMillis: r.failingFor().Milliseconds(),
	}
	if r.life != nil {
		present := *r.life
		p.State = &present
	}
	if !r.listed {
		return p, r.generation
	}
	for id, k := range r.runs {
		p.Runs = append(p.Runs, assignment.Run{RunID: id, Percent: k.percent, AgeMillis: k.age().Milliseconds(), ListedMillis: k.listedAge().Milliseconds()})
	}
	for _, n := range slices.Sorted(maps.Keys(r.ends)) {
		p.Ends = append(p.Ends, r.ends[n])
	}
	for _, refused := range r.refused {
		p.Refused = append(p.Refused, refused.Refusal)
	}
	return r.shorten(p), r.generation
}

// obey takes over a leader's answer to a poll.
func (r *Runner) obey(ctx context.Context, a assignment.Answer, sent suspend.Instant, generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Term < r.term {
		return
	}
	if a.Term > r.term {
		r.parts.Logger.Info().Str("step", "runner.obey").Int64("term", a.Term).Int64("fence", a.Fence).Msg("leader is followed")
		// What was refused or listed under the old term is told again; the fence must reach the worker first.
		r.term, r.room.heard = a.Term, 0
	}
	r.room.heard, r.base = max(r.room.heard, a.AckedPoll), a.BasePoll
	if a.Fence > r.fence {
		r.fence, r.listed = a.Fence, false
		signal(r.extend)
	}
	maps.DeleteFunc(r.over, func(_ incarnation.ID, e lifeEnd) bool { return e.heardBy(a.AckedPoll) })
	if until := sent.Add(a.Held() + a.Lease()); a.LeaseMillis > 0 && r.clockOf(until).After(r.clockOf(r.until)) {
		r.until = until
		signal(r.extend)
	}
	if generation == r.generation && a.ZoneOpen {
		r.open = r.parts.Suspension.Later(sent.Add(a.ZoneProofAfter()), r.open)
	}
	if generation != r.generation || r.life == nil || a.Incarnation != r.life.ID {
		return
	}
	maps.DeleteFunc(r.refused, func(_ assignment.RunID, f refusal) bool { return f.told < a.AckedPoll })
	if a.AckedEnd > r.seen {
		r.seen = a.AckedEnd
		maps.DeleteFunc(r.ends, func(n int64, _ assignment.End) bool { return n <= a.AckedEnd })
		signal(r.extend)
	}
	if r.pacer.assign(a.Roles); len(a.Roles) > 0 {
		signal(r.sharing)
	}
	for _, id := range a.Stop {
		if !r.endedTask(id.Task, id.Run) {
			r.beginStop(ctx, id, "stopped")
		}
	}
	for _, id := range a.StopUnlisted {
		if r.endedTask(id.Task, id.Run) {
			r.insist(id)
			continue
		}
		r.beginStop(ctx, id, "stopped")
	}
	for _, s := range a.Start {
		r.beginStart(ctx, s)
	}
}

// order returns what comes with a call, or false if there is nothing to call with. The lock must be held.
func (r *Runner) order() (Order, bool) {
	if r.life == nil || r.fence == 0 {
		return Order{}, false
	}
	return Order{Incarnation: r.life.ID, Fence: r.fenceOfLife()}, true
}

// fenceLives is how many lives of its worker one life of an agent tells apart by fences, as a power of two. With it fences stay below 2^53, the
// largest whole number that every reader of JSON knows, for half a million terms of leaders.
const fenceLives = 14

// fenceOfLife is the leader's fence with the number of the worker's life behind it. A start under the id that the worker had can't be told from the
// one before by the order, and has seen no fence; with the first call that brings this one, all that was sent to former starts is void.
// The lock must be held.
func (r *Runner) fenceOfLife() int64 {
	return r.fence<<fenceLives | int64(min(r.generation, 1<<fenceLives-1))
}

// deadline is the end of the lease by the worker's clock, and false if there is none: the leader has given none, or
// the worker has been silent, in which case what it may have heard must not grow, or it would never be over. The lock
// must be held.
func (r *Runner) deadline(now time.Time) (int64, bool) {
	until := r.clockOf(r.until)
	if r.readAt.IsZero() || !now.Before(until) || now.Sub(r.answers) > silentAfter {
		return 0, false
	}
	if longest := now.Add(r.settings.Lease); until.After(longest) {
		until = longest
	}
	if until.After(r.told) {
		r.told = until
	}
	return r.clock + until.Sub(r.readAt).Milliseconds(), true
}

// zoneOpen reports whether a start may be sent: the proof that the worker's zone is not cordoned is new enough. The lock must be held.
func (r *Runner) zoneOpen(now time.Time) bool {
	return now.Sub(r.clockOf(r.open)) <= r.settings.startWithin()
}

// clockOf is a moment on the steady clock of this process, less what the machine was suspended since it was marked: the leader's clock went on.
func (r *Runner) clockOf(m suspend.Instant) time.Time { return r.parts.Suspension.Monotonic(m) }

// noteAnswer keeps what an answer to an order tells of the clock. One of another life is no sign of this one: a worker that had crashed before it was to
// leave was taken for one that had left. The lock must be held.
func (r *Runner) noteAnswer(clock int64, err error) {
	if !errors.Is(err, ErrOtherIncarnation) {
		r.noteClock(clock)
	}
}

// noteClock keeps a reading of the worker's clock. The lock must be held.
func (r *Runner) noteClock(clock int64) {
	if clock <= 0 {
		return
	}
	now := time.Now()
	r.clock, r.readAt, r.answers, r.failing = clock, now, now, time.Time{}
}
