// Package runner implements the agent's side of jobs: it makes one worker run what the leader
// orders.
//
// A Runner holds the agent's view of its worker: the present incarnation, its runs, the ends that
// the leader has not stored yet, and the refusals that the leader has not acknowledged yet. This
// state is lost with the process. A new process rebuilds it from the worker's list and the leader's
// answers, and makes no placement decisions of its own.
//
// Five loops, and one goroutine for each start or stop, share that state under one lock, which is
// never held during a call. Two loops poll the leader; the others synchronize with the worker,
// extend its lease and throttle best-effort runs. Each call records the generation of the worker's
// incarnation for which it was made, and its result is dropped if another incarnation has followed.
//
// The package relies on three guarantees. Every order carries a fence, which increases with each
// term of a leader and with each incarnation, and a worker refuses orders with a fence below the
// highest one that it has seen. A worker stops its runs when their lease expires, and the agent
// never extends the lease beyond what the leader granted. A worker lists an end until the agent
// confirms that it is stored, and the agent does so only after the leader has stored it.
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

// Settings configures a runner.
type Settings struct {
	// Name is the name of the worker's box. Agent identifies this start of the agent's process.
	Name  string
	Agent string
	// Service and Zone are those that the platform has configured for the worker; empty if unknown.
	Service, Zone string
	// Lease is the maximum time for which a worker keeps a run without an extension.
	Lease time.Duration
	// Drift is the maximum fraction by which the worker's clock may run slow.
	Drift float64
	// MaxCordonDelay is how long after a cordon of its zone a worker may still start runs.
	MaxCordonDelay time.Duration
}

// Leader finds the leader and sends polls to it.
type Leader interface {
	// Poll sends a poll to the leader and returns its answer.
	Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error)
}

// Dependencies holds the collaborators of a runner.
type Dependencies struct {
	Worker  Worker
	Leader  Leader
	Logger  zerolog.Logger
	Metrics tally.Scope
	// Suspension reports how long this machine has been suspended.
	Suspension suspend.Clock
}

const (
	// callTimeout limits a call to the worker, in addition to the wait that the call asks for.
	callTimeout = 700 * time.Millisecond
	// retryPause is the pause before a failed call is retried.
	retryPause = 100 * time.Millisecond
)

// Runner makes one worker run what the leader orders.
type Runner struct {
	settings     Settings
	dependencies Dependencies
	metrics      metrics

	// mu guards the fields up to the channels.
	mu sync.Mutex
	// activeSince is when this process started, or resumed after having been superseded.
	activeSince time.Time
	// worker is the worker's latest report; nil while there is no present incarnation.
	worker *assignment.WorkerState
	// generation counts the worker's incarnations.
	generation int
	// present holds the state of the present incarnation.
	present incarnationState
	// former holds the ended incarnations.
	former formerIncarnations
	// open holds the calls to the worker whose outcome is open.
	open   openOrders
	leader leadership
	polls  pollHistory
	// rejectedIdentity is the identity that the newest heartbeat claimed, if it was rejected for
	// that.
	rejectedIdentity identity
	// unreadableRows is set while the newest list has rows that cannot be read.
	unreadableRows bool
	// endsOmitted is set while the newest list may omit ends.
	endsOmitted bool

	// report triggers a poll, extend a sync, and shared the throttling of best-effort runs.
	report, extend, shared chan struct{}
	// background holds the goroutines of starts and stops.
	background *conc.WaitGroup
}

// New returns a runner. Call Run to start it.
func New(s Settings, d Dependencies) *Runner {
	return &Runner{
		settings:     s,
		dependencies: d,
		metrics:      newMetrics(d.Metrics),
		activeSince:  time.Now(),
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

// Run runs the loops until ctx ends.
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

// signal sends a signal without blocking. Signals that have not been received yet are merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
