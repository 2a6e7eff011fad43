// Package dispatch decides which task runs on which worker: jobs and workers' polls go in, runs
// come out. Package leader drives it; dispatch itself knows no terms, leases or network, and
// calls nobody but the permit issuer.
//
// A Controller owns what is known of jobs and workers while this process leads. Each decision
// is made from scratch: who waits and in which order, where each unit fits, and what has to
// stop for it. What it decides is noted in the jobs' progress, which the caller stores before
// it tells the workers.
//
// It relies on package job for the rules of a job's progress and for giving up tasks, on
// package catalog for guarantees and cordons, and on the caller for the time.
//
// The files read in this order: the state (controller.go, jobs.go, tracked.go, worker.go,
// polls.go, ends.go, open_starts.go, crashes.go, durations.go), the decision (plan.go, and from
// there in the order of its steps: fleet.go, moves.go, headroom.go, queue.go, search.go,
// preempt.go, reserve.go), and what comes of it (effects.go, desired.go, metrics.go).
//
// Each mechanism of the decision can be switched off by the Policy, for experiments.
//
// # Usage
//
//	c := dispatch.New(settings, dependencies)
//	c.ApplyJob(stored)                 // a job of the store
//	c.ApplyPoll(now, poll)             // what a worker's agent says
//	c.Plan(ctx, now)
//	records, err := c.TakeRecords(now) // to be stored
//	changed := c.TakeDesired(now)      // to be told, once the records are stored
package dispatch

import (
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Settings of a controller.
type Settings struct {
	Policy Policy
	// SilentAfter is how long a worker may be silent and still get new work.
	SilentAfter time.Duration
	// KeepEnded is how long an ended job is kept.
	KeepEnded time.Duration
	// MaxInterval is the longest time between two decisions. It bounds how late the controller
	// notices what only time brings, such as that a worker has fallen silent.
	MaxInterval time.Duration
}

// DefaultSettings decides with all mechanisms on.
func DefaultSettings() Settings {
	return Settings{
		SilentAfter: 1500 * time.Millisecond,
		KeepEnded:   3 * time.Minute,
		MaxInterval: 100 * time.Millisecond,
	}
}

// Dependencies are what a controller works with.
type Dependencies struct {
	Catalog *catalog.Follower
	// Permits may be nil where no queue needs permits.
	Permits PermitIssuer
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Controller knows the jobs and the workers, and decides what runs where. One goroutine owns it.
type Controller struct {
	settings Settings
	catalog  *catalog.Follower
	logger   zerolog.Logger
	metrics  *Metrics

	// jobs are all that are known. active are those of them that have not ended, or of which
	// something is placed or to be stored; ended jobs are kept for minutes and are many more.
	jobs   map[job.ID]*trackedJob
	active map[job.ID]*trackedJob
	// unreadable are jobs whose stored form can't be decoded. Nothing of them starts, and what
	// runs goes on.
	unreadable map[job.ID]bool
	// arrivals are the urgent jobs that were accepted within headroomWindow.
	arrivals []urgentArrival

	workers map[string]*worker
	// inherited are the tasks that an earlier leader has held, by the workers of their open starts.
	inherited map[string][]job.TaskName
	// unresolved are incarnations that ended, or fell silent, under a task before it was known
	// whether they crashed; the values are their workers.
	unresolved map[incarnation.ID]string

	permits   *permitCache
	durations *estimate.Durations
	stops     estimate.StopDurations

	// desired is what workers should run, as they were told last.
	desired *desiredStates
	// nextPlan is when the next decision is due without news.
	nextPlan time.Time
	// metricsAt and droppedAt are when metrics were updated and ended jobs were dropped last.
	metricsAt time.Time
	droppedAt time.Time
}

// New returns a controller that knows of no job and no worker.
func New(s Settings, d Dependencies) *Controller {
	return &Controller{
		settings:   s,
		catalog:    d.Catalog,
		logger:     d.Logger,
		metrics:    d.Metrics,
		jobs:       map[job.ID]*trackedJob{},
		active:     map[job.ID]*trackedJob{},
		unreadable: map[job.ID]bool{},
		workers:    map[string]*worker{},
		inherited:  map[string][]job.TaskName{},
		unresolved: map[incarnation.ID]string{},
		permits:    newPermitCache(d.Permits, d.Logger),
		durations:  estimate.NewDurations(),
		desired:    newDesiredStates(),
	}
}

// has reports whether a mechanism is on.
func (c *Controller) has(m Mechanism) bool { return c.settings.Policy.Has(m) }

// Jobs is how many jobs are known.
func (c *Controller) Jobs() int { return len(c.jobs) }

// Next is when the next decision is due if there is no news.
func (c *Controller) Next() time.Time { return c.nextPlan }

// Busy reports whether there is work to do.
func (c *Controller) Busy() bool {
	for _, t := range c.active {
		if !t.progress.Phase.Final() || t.progress.AnyPlaced() {
			return true
		}
	}
	return false
}

// Permits brings results of the permit issuer, which are for ApplyPermits.
func (c *Controller) Permits() <-chan PermitResult { return c.permits.results }

// ApplyPermits takes over a result of the permit issuer.
func (c *Controller) ApplyPermits(r PermitResult) { c.permits.apply(r) }

// metricsInterval is the time between two updates of the gauges.
const metricsInterval = time.Second

// UpdateMetrics updates the gauges if they are due.
func (c *Controller) UpdateMetrics(now time.Time) {
	if now.Sub(c.metricsAt) >= metricsInterval {
		c.metricsAt = now
		c.metrics.observe(c)
	}
}
