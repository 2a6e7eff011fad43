package dispatch

import (
	"context"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/rollout"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// plan is one decision. It is computed from scratch, on a view of the fleet that it modifies as it
// proceeds (fleet.go). Its outcome is applied only in effects.go.
type plan struct {
	input
	// c is modified in effects.go, and used nowhere else.
	c *Controller
	// ctx ends with the leader's term; calls to the permit issuer are bound to it.
	ctx context.Context
	now time.Time

	// nodes are the workers, sorted by name.
	nodes  []*node
	byName map[string]*node
	racks  map[string]*rack
	// serviceWorkers is the number of available workers of each service (node.available).
	serviceWorkers map[string]int
	// gangs holds the placed runs of each gang, keyed by its first task.
	gangs map[job.TaskName][]*running
	// unplaced holds the tasks with a run that a worker lists and that is not placed there.
	unplaced map[job.TaskName]bool
	// trials is the number of nodes reserved for a suspect on trial.
	trials int

	// guaranteed holds the jobs covered by their team's guarantee.
	guaranteed map[job.ID]bool
	// loads is the load of each service.
	loads map[string]serviceLoad
	// held is what the placed runs of a team reserve at a service.
	held map[shareKey]job.Resources
	// headroom holds the nodes that are kept free for urgent jobs.
	headroom map[*node]bool
	// reservations is the number of gangs with a reservation in this decision.
	reservations int
	// failedSearches holds searches that found nothing. Repeating them is useless, since free
	// capacity only shrinks during a decision.
	failedSearches map[search]bool
}

// input is the input of a decision.
type input struct {
	policy Policy
	// silentAfter is how long a worker's agent may be silent.
	silentAfter time.Duration
	// catalog is nil until a configuration has been read.
	catalog *catalog.Catalog
	cordons catalog.Cordons
	workers map[string]*worker
	jobs    map[job.ID]*trackedJob
	// active holds the jobs that have not ended, or that have placed runs.
	active map[job.ID]*trackedJob
	// arrivals holds the urgent jobs that arrived within headroomWindow, by service.
	arrivals map[string][]urgentArrival
	// fleets holds the fleet of each service that has workers.
	fleets map[string]*health.Fleet
	// usage is what the teams use of each service, by service.
	usage map[string]teamUsage
	// rollouts are those of each service; nil if rollouts are ignored.
	rollouts  map[string]*rollout.Service
	permits   *permitCache
	predictor predictor
	// stopDuration is how long a stop is expected to take.
	stopDuration time.Duration
}

// Plan decides what to start and what to stop, and records it in the jobs' progress. Calls to the
// permit issuer are cancelled with ctx.
func (c *Controller) Plan(ctx context.Context, now time.Time) {
	c.nextPlan = now.Add(c.settings.MaxInterval)
	p := newPlan(ctx, c, now)
	p.addNodes()
	p.addRuns()
	p.updateFleets()
	p.markSlowed()
	p.markSuspects()
	p.guaranteed = p.guaranteedJobs()
	p.stopInCordonedZones()
	p.stopOverCapacity()
	if p.has(MoveStalled) {
		p.stopStalled()
	}
	if p.has(Evacuation) {
		p.stopOnLeavingWorkers()
	}
	p.moveFromSlowed()
	p.reserveHeadroom()
	queue := p.queue()
	p.recordLoads()
	for _, w := range queue {
		p.place(w)
	}
	c.updateBacklog(p)
}

func newPlan(ctx context.Context, c *Controller, now time.Time) *plan {
	c.advanceRollouts(now)
	var rollouts map[string]*rollout.Service
	if c.has(Rollouts) {
		rollouts = c.rollouts
	}
	current, _ := c.catalog.Current()
	cordons, _ := c.catalog.Cordons()
	return &plan{
		input: input{
			policy:       c.settings.Policy,
			silentAfter:  c.settings.SilentAfter,
			catalog:      current,
			cordons:      cordons,
			workers:      c.workers,
			jobs:         c.jobs,
			active:       c.active,
			arrivals:     c.recentArrivals(now),
			fleets:       c.fleets,
			usage:        c.usage,
			rollouts:     rollouts,
			permits:      c.permits,
			predictor:    c.predictor(),
			stopDuration: c.stops.Expected(),
		},
		c:              c,
		ctx:            ctx,
		now:            now,
		byName:         map[string]*node{},
		racks:          map[string]*rack{},
		serviceWorkers: map[string]int{},
		gangs:          map[job.TaskName][]*running{},
		unplaced:       map[job.TaskName]bool{},
		loads:          map[string]serviceLoad{},
		held:           map[shareKey]job.Resources{},
		headroom:       map[*node]bool{},
		failedSearches: map[search]bool{},
	}
}

// has reports whether a mechanism is enabled.
func (p *plan) has(m Mechanism) bool { return p.policy.Has(m) }

// compareIf returns the outcome of a comparison, or 0 if its mechanism is disabled.
func (p *plan) compareIf(m Mechanism, outcome int) int {
	if p.has(m) {
		return outcome
	}
	return 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// place starts a unit, preempts work for it, or reserves capacity for it.
func (p *plan) place(w waitingUnit) {
	if !p.requestPermits(w) {
		p.logWait(w, waitPermit)
		return
	}
	if p.awaitsVerdict(w) {
		p.logWait(w, waitVerdict)
		return
	}
	if p.awaitsOpenStarts(w) {
		p.logWait(w, waitOpenStart)
		return
	}
	key := searchOf(w)
	if !p.failedSearches[key] {
		if at := p.find(w, availableNow); at != nil {
			p.start(w, at)
			return
		}
		p.failedSearches[key] = true
	}
	awaitsRack := p.awaitsRack(w)
	if w.awaitsBurstEnd && p.leaveFree(w) {
		p.logWait(w, waitBurst)
		return
	}
	if w.urgent() && p.has(Preemption) {
		p.logWait(w, rackReason(awaitsRack, p.preempt(w)))
		return
	}
	if w.avoidsLeaving {
		p.awaitStaying(w)
	}
	why := p.reasonWithoutCapacity(w)
	if p.mayReserve(w) && p.reserveFor(w) {
		why = waitReserved
	}
	p.logWait(w, rolloutReason(w, rackReason(awaitsRack, why)))
}

// requestPermits requests permits for a unit that needs them. It returns false while there are
// none.
func (p *plan) requestPermits(w waitingUnit) bool {
	if !w.tracked.job.NeedsPermit {
		return true
	}
	candidates, usable := p.permitCandidates(w)
	step := stepKey(w.first())
	if missing := p.permits.missing(step, candidates, p.now); len(missing) > 0 {
		p.request(step, missing)
	}
	return usable > 0
}

// permitCandidates returns the incarnations on which a unit could run, and for how many of them it
// has a permit.
func (p *plan) permitCandidates(w waitingUnit) (candidates []incarnation.ID, permitted int) {
	for _, n := range p.nodes {
		if !n.usable || !allowed(w, n) {
			continue
		}
		candidates = append(candidates, n.state.ID)
		if p.hasPermit(w, n) {
			permitted++
		}
	}
	return candidates, permitted
}
