// Package dispatch implements the scheduling decision: which task runs on which worker. Its inputs
// are jobs and the polls of workers' agents, its output is the runs that each worker should have.
// Package leader drives it; dispatch itself knows nothing of terms, leases or the network, and
// calls no external service but the permit issuer.
//
// A Controller holds the state of jobs and workers while this process is the leader. Each decision
// is computed from scratch: the order of the queue, the placement of each unit, and the runs to
// stop for it. Decisions are recorded in the jobs' progress, which the caller must store before it
// sends anything to workers.
//
// The package relies on package job for the rules of a job's progress and for giving up tasks, on
// package catalog for guarantees and cordons, and on the caller for the time.
//
// Suggested reading order: the state (controller.go, jobs.go, tracked.go, worker.go, polls.go,
// ends.go, open_starts.go, crashes.go, durations.go), the decision (plan.go, and from there in the
// order of its steps: fleet.go, probation.go, slow_workers.go, moves.go, headroom.go, queue.go,
// rollouts.go, load.go, order.go, begun.go, stopped.go, shares.go, search.go, eligibility.go,
// preference.go, preempt.go, reserve.go, forecast.go), and its effects (effects.go, desired.go,
// metrics.go).
//
// The Policy can switch off each mechanism of the decision, for experiments.
//
// # Usage
//
//	c := dispatch.New(settings, dependencies)
//	c.ApplyJob(stored)                 // a job from the store
//	c.ApplyPoll(now, poll)             // a report from a worker's agent
//	c.Plan(ctx, now)
//	records, err := c.TakeRecords(now) // to be stored
//	changed := c.TakeDesired(now)      // to be sent once the records are stored
package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/backlog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/rollout"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Settings configures a controller.
type Settings struct {
	Policy Policy
	// SilentAfter is how long after its last poll a worker still gets new work.
	SilentAfter time.Duration
	// EndedRetention is how long an ended job is kept.
	EndedRetention time.Duration
	// MaxInterval is the longest time between two decisions. It bounds the delay until the
	// controller notices conditions that depend on time alone, such as a worker that has fallen
	// silent.
	MaxInterval time.Duration
}

// DefaultSettings returns settings with all mechanisms enabled.
func DefaultSettings() Settings {
	return Settings{
		SilentAfter:    1500 * time.Millisecond,
		EndedRetention: 3 * time.Minute,
		MaxInterval:    100 * time.Millisecond,
	}
}

// Dependencies are the collaborators of a controller.
type Dependencies struct {
	Catalog *catalog.Follower
	// Permits may be nil if no queue requires permits.
	Permits PermitIssuer
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Controller tracks jobs and workers, and decides what runs where. It must be used from a single
// goroutine.
type Controller struct {
	settings Settings
	catalog  *catalog.Follower
	logger   zerolog.Logger
	metrics  *Metrics

	// jobs holds all tracked jobs. active holds the subset that has not ended, or that has placed
	// runs or changes to store; ended jobs are kept for minutes and are far more numerous.
	jobs   map[job.ID]*trackedJob
	active map[job.ID]*trackedJob
	// unreadable holds jobs whose stored form can't be decoded. None of their tasks is started, and
	// their running tasks are left alone.
	unreadable map[job.ID]bool
	// arrivals are the urgent jobs accepted within headroomWindow.
	arrivals []urgentArrival
	// usage is what the teams use of each service, by service.
	usage map[string]teamUsage

	workers map[string]*worker
	// fleets judge the workers of each service together.
	fleets map[string]*health.Fleet
	// inherited holds the tasks held by an earlier leader, keyed by the worker of the open start.
	inherited map[string][]job.TaskName
	// rollouts follows the versions of the workers of each service.
	rollouts map[string]*rollout.Service
	// unresolved holds incarnations that ended, or fell silent, while running a task and before it
	// was known whether they crashed; the values are their workers.
	unresolved map[incarnation.ID]string

	permits   *permitCache
	durations *estimate.Durations
	stops     estimate.StopDurations
	// backlog is the backlog of the overloaded services at a recent decision, backlogAt the time of
	// that decision.
	backlog   backlog.Forecast
	backlogAt time.Time

	// desired is the state that each worker was last asked to reach.
	desired *desiredStates
	// loads is the load of each service in the latest decision, overloaded the services that were
	// overloaded when the gauges were last updated.
	loads      map[string]serviceLoad
	overloaded map[string]bool
	// nextPlan is when the next decision is due without further events.
	nextPlan time.Time
	// metricsAt and droppedAt are when the gauges were last updated and ended jobs last dropped.
	metricsAt time.Time
	droppedAt time.Time
}

// New returns a controller without jobs and workers.
func New(s Settings, d Dependencies) *Controller {
	return &Controller{
		settings:   s,
		catalog:    d.Catalog,
		logger:     d.Logger,
		metrics:    d.Metrics,
		jobs:       map[job.ID]*trackedJob{},
		active:     map[job.ID]*trackedJob{},
		unreadable: map[job.ID]bool{},
		usage:      map[string]teamUsage{},
		workers:    map[string]*worker{},
		fleets:     map[string]*health.Fleet{},
		inherited:  map[string][]job.TaskName{},
		rollouts:   map[string]*rollout.Service{},
		unresolved: map[incarnation.ID]string{},
		permits:    newPermitCache(d.Permits, d.Logger),
		durations:  estimate.NewDurations(),
		desired:    newDesiredStates(),
		overloaded: map[string]bool{},
	}
}

// has reports whether a mechanism is enabled.
func (c *Controller) has(m Mechanism) bool { return c.settings.Policy.Has(m) }

// Backlog returns the backlog of the overloaded services, without a term, as of a decision at most
// backlogInterval before the latest one. It is empty if no service was overloaded at the latest
// one.
func (c *Controller) Backlog() backlog.Forecast { return c.backlog }

// BacklogAt returns the time of the decision that Backlog is as of.
func (c *Controller) BacklogAt() time.Time { return c.backlogAt }

// JobCount returns the number of tracked jobs.
func (c *Controller) JobCount() int { return len(c.jobs) }

// NextPlanAt returns when the next decision is due without further events.
func (c *Controller) NextPlanAt() time.Time { return c.nextPlan }

// Busy reports whether any job is unfinished or has placed runs.
func (c *Controller) Busy() bool {
	for _, t := range c.active {
		if !t.progress.Phase.Final() || t.progress.AnyPlaced() {
			return true
		}
	}
	return false
}

// PermitResults returns the channel of the permit issuer's results, to be passed to
// ApplyPermitResult.
func (c *Controller) PermitResults() <-chan PermitResult { return c.permits.results }

// ApplyPermitResult applies a result of the permit issuer.
func (c *Controller) ApplyPermitResult(r PermitResult) { c.permits.apply(r) }

// metricsInterval is the time between two updates of the gauges.
const metricsInterval = time.Second

// UpdateMetrics updates the gauges if they are due.
func (c *Controller) UpdateMetrics(now time.Time) {
	if now.Sub(c.metricsAt) >= metricsInterval {
		c.metricsAt = now
		c.metrics.observe(c)
		c.logOverload()
	}
}
