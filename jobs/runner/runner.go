// Package runner is the agent's side of jobs: it keeps one worker running what the leader wants.
//
// A Runner owns the agent's view of its worker: the present incarnation, the runs on it, the
// ends that the leader has not stored yet, and the refusals that it has not acknowledged. It
// keeps nothing beyond the process: a new one learns all from the worker's list and the
// leader's answers, and decides nothing by itself.
//
// Four loops and one goroutine for each start or stop share that view under one lock, which is
// never held during a call. The loops poll the leader, synchronize with the worker, extend its
// lease and throttle best-effort runs. Each call notes the generation of the worker's
// incarnation that it was made for, and its outcome is dropped when another incarnation has
// followed.
//
// It relies on three things. Every order carries a fence, which rises with each term of a
// leader and each incarnation, and a worker refuses orders below the highest that it has seen.
// A worker ends by itself what runs beyond its lease, and the agent never extends that beyond
// what the leader granted. A worker lists an end until the agent confirms that it is stored,
// which the agent does only after the leader has.
//
// # Usage
//
//	r := runner.New(settings, dependencies)
//	go r.Run(ctx)
//	r.Heartbeat(ctx, state) // from the worker, about every second
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// Settings of a runner.
type Settings struct {
	// Name is that of the worker's box; Agent names this start of the agent's process.
	Name  string
	Agent string
	// Service and Zone are the worker's as the platform has set them up; empty if unknown.
	Service, Zone string
	// Lease is the longest for which a worker keeps a run without an extension.
	Lease time.Duration
	// Drift is the most by which the worker's clock may be slow, as a share.
	Drift float64
	// CordonWithin is how long after its zone was cordoned a worker may still start something.
	CordonWithin time.Duration
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

const (
	// callTimeout bounds a call to the worker, on top of the wait that the call asks for.
	callTimeout = 700 * time.Millisecond
	// retryPause is the pause before a failed call is made again.
	retryPause = 100 * time.Millisecond
)

// Runner keeps one worker running what the leader wants.
type Runner struct {
	settings     Settings
	dependencies Dependencies
	metrics      metrics

	// mu guards the fields up to the channels.
	mu sync.Mutex
	// begunAt is when this process began, or came back after another one was heard.
	begunAt time.Time
	// worker is what the worker reported last; nil while no incarnation is present.
	worker *assignment.WorkerState
	// generation counts the worker's incarnations.
	generation int
	// present is what holds for the present incarnation only.
	present incarnationState
	// former are the incarnations that have ended.
	former formerIncarnations
	// open are the calls to the worker whose effect is open.
	open   openOrders
	leader leadership
	polls  pollHistory
	// doubtful is the identity that the newest heartbeat claimed, if it was rejected for it.
	doubtful identity
	// unreadableRows is set while the newest list has rows that can't be read.
	unreadableRows bool

	// report triggers a poll, extend a sync, and shared the throttling of best-effort runs.
	report, extend, shared chan struct{}
	// background are the goroutines of starts and stops.
	background *conc.WaitGroup
}

// New returns a runner. Run starts it.
func New(s Settings, d Dependencies) *Runner {
	return &Runner{
		settings:     s,
		dependencies: d,
		metrics:      newMetrics(d.Metrics),
		begunAt:      time.Now(),
		generation:   1,
		present:      newIncarnationState(),
		former:       newFormerIncarnations(),
		open:         newOpenOrders(),
		report:       make(chan struct{}, 1),
		extend:       make(chan struct{}, 1),
		shared:       make(chan struct{}, 1),
		background:   conc.NewWaitGroup(),
	}
}

// Run works until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { r.pollLoop(ctx, true, nil) })
	wg.Go(func() { r.pollLoop(ctx, false, r.report) })
	wg.Go(func() { r.syncLoop(ctx) })
	wg.Go(func() { r.extendLoop(ctx) })
	wg.Go(func() { r.throttleLoop(ctx) })
	wg.Wait()
	r.background.Wait()
}

// signal asks for something without waiting; signals that were not taken yet run together.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
