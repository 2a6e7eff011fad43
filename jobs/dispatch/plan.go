package dispatch

import (
	"context"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// plan is one decision. It is made from scratch each time, on a view of the fleet that it
// changes as it decides (fleet.go). What it decides takes effect in effects.go alone.
type plan struct {
	input
	// c is changed in effects.go, and used nowhere else.
	c *Controller
	// ctx ends with the leader's term; calls to the permit issuer live in it.
	ctx context.Context
	now time.Time

	// nodes are the workers in the order of their names.
	nodes  []*node
	byName map[string]*node
	racks  map[string]*rack
	// gangs holds the placed runs of each gang, by its first task.
	gangs map[job.TaskName][]*running
	// unplaced are the tasks of which a worker lists a run that is not placed there.
	unplaced map[job.TaskName]bool
	// trials is how many nodes are reserved for a suspect on trial.
	trials int

	// guaranteed are the jobs that their team's guarantee covers.
	guaranteed map[job.ID]bool
	// headroom are the nodes that are kept free for urgent jobs.
	headroom map[*node]bool
	// reservations is how many gangs have room reserved in this decision.
	reservations int
	// failedSearches are searches that found nothing. They would again: room only gets less
	// during a decision.
	failedSearches map[search]bool
}

// input is what a decision is made from.
type input struct {
	policy Policy
	// silentAfter is how long a worker's agent may be silent.
	silentAfter time.Duration
	// catalog is nil until a configuration has been read.
	catalog *catalog.Catalog
	cordons catalog.Cordons
	workers map[string]*worker
	jobs    map[job.ID]*trackedJob
	// active are the jobs that have not ended, or of which something is placed.
	active map[job.ID]*trackedJob
	// arrivals are the urgent jobs that came within headroomWindow, by service.
	arrivals  map[string][]urgentArrival
	permits   *permitCache
	predictor predictor
	// stopDuration is how long stops are expected to take.
	stopDuration time.Duration
}

// Plan decides what to start and what to stop, and notes it in the jobs' progress. Calls to the
// permit issuer end with ctx.
func (c *Controller) Plan(ctx context.Context, now time.Time) {
	c.nextPlan = now.Add(c.settings.MaxInterval)
	p := newPlan(ctx, c, now)
	p.addNodes()
	p.addRuns()
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
	p.reserveHeadroom()
	for _, w := range p.queue() {
		p.place(w)
	}
}

func newPlan(ctx context.Context, c *Controller, now time.Time) *plan {
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
			permits:      c.permits,
			predictor:    c.predictor(),
			stopDuration: c.stops.Expected(),
		},
		c:              c,
		ctx:            ctx,
		now:            now,
		byName:         map[string]*node{},
		racks:          map[string]*rack{},
		gangs:          map[job.TaskName][]*running{},
		unplaced:       map[job.TaskName]bool{},
		headroom:       map[*node]bool{},
		failedSearches: map[search]bool{},
	}
}

// has reports whether a mechanism is on.
func (p *plan) has(m Mechanism) bool { return p.policy.Has(m) }

// compareIf is the outcome of a comparison, or no difference if its mechanism is off.
func (p *plan) compareIf(m Mechanism, outcome int) int {
	if p.has(m) {
		return outcome
	}
	return 0
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// place starts a unit, or makes room for it, or reserves room for it.
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
		if at := p.find(w, roomNow); at != nil {
			p.start(w, at)
			return
		}
		p.failedSearches[key] = true
	}
	if w.urgent() && p.has(Preemption) {
		p.logWait(w, p.preempt(w))
		return
	}
	if w.step.Gang && p.reservations < maxReservations && !w.expired && p.has(Reservations) {
		p.reserveFor(w)
		p.logWait(w, waitReserved)
		return
	}
	p.logWait(w, waitNoRoom)
}

// requestPermits asks for permits for a unit that needs them. It returns false while there are
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

// permitCandidates returns the incarnations on which a unit could run, and for how many of them
// there is a permit.
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
