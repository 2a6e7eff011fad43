package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// availableFunc returns the capacity that a search considers free on a node.
type availableFunc func(n *node) job.Resources

// availableNow returns the capacity that is free now, availableAfterStops the capacity that is free
// once all stopping runs have ended.
func availableNow(n *node) job.Resources        { return n.free }
func availableAfterStops(n *node) job.Resources { return n.freeAfterStops }

// search holds everything that the outcome of a search for capacity depends on, for a given state
// of the nodes: units with equal searches have the same outcome. Any new condition in mayPlace or
// preference must be reflected here.
type search struct {
	service, label, dataRack string
	resources                job.Resources
	tasks                    int
	gang, sameRack           bool
	rackWait                 rackWait
	leavesHeadroom           bool
	duration                 time.Duration
	urgent, checkpoint       bool
	mayProve                 bool
	atRisk, avoidsLeaving    bool
	// job is set if the outcome depends on further properties of the job, such as its placed runs
	// or its permits.
	job job.ID
}

func searchOf(w waitingUnit) search {
	s := search{
		service:        w.tracked.job.Service,
		label:          w.step.RequiredLabel,
		dataRack:       w.step.DataRack,
		resources:      w.step.Reserved(),
		tasks:          len(w.unit.Tasks),
		gang:           w.step.Gang,
		sameRack:       w.step.SameRack,
		rackWait:       w.rackWait,
		leavesHeadroom: w.leavesHeadroom,
		duration:       w.duration,
		urgent:         w.urgent(),
		checkpoint:     w.step.Checkpoint,
		mayProve:       w.mayProve,
		atRisk:         w.atRisk,
		avoidsLeaving:  w.avoidsLeaving,
	}
	if dependsOnJob(w) {
		s.job = w.tracked.job.ID
	}
	return s
}

// dependsOnJob reports whether the outcome of a search for the unit is specific to its job.
func dependsOnJob(w waitingUnit) bool {
	t := w.tracked
	return w.step.MaxPerWorker > 0 || w.step.DataRack != "" || w.step.BestEffort || w.step.LatencyTarget > 0 ||
		t.job.NeedsPermit || len(t.failedAt) > 0 || len(t.leftAt) > 0 || t.progress.Suspects() > 0
}

// find returns a node for each task of the unit, or nil.
func (p *plan) find(w waitingUnit, available availableFunc) []*node {
	var best []*node
	for _, domain := range p.domains(w) {
		if domain.fallback && best != nil {
			break
		}
		at := p.findIn(w, domain.nodes, available)
		if at == nil || domain.fallback && p.prefersExpectedRack(w) {
			continue
		}
		if !p.prefersFastWorkers(w) && countAtRisk(w, at) == 0 {
			return at
		}
		if best == nil || p.comparePlacements(w, at, best) < 0 {
			best = at
		}
	}
	return best
}

// comparePlacements orders the better of two placements of a unit in different domains first: fewer
// tasks at risk, and for units that prefer fast workers the faster slowest one.
func (p *plan) comparePlacements(w waitingUnit, a, b []*node) int {
	if order := cmp.Compare(countAtRisk(w, a), countAtRisk(w, b)); order != 0 || !p.prefersFastWorkers(w) {
		return order
	}
	return cmp.Compare(slowestClass(a), slowestClass(b))
}

// findIn returns a node of the domain for each task of the unit, preferred nodes first, or nil.
func (p *plan) findIn(w waitingUnit, domain []*node, available availableFunc) []*node {
	candidates, fitting := p.candidates(w, domain, available)
	tasks := len(w.unit.Tasks)
	if fitting < tasks {
		return nil
	}
	better := p.preference(w, candidates, available)
	if tasks == 1 {
		return []*node{slices.MinFunc(candidates, better)}
	}
	slices.SortFunc(candidates, better)
	at := make([]*node, 0, tasks)
	for _, n := range candidates {
		for range p.countOn(w, n, available(n), tasks-len(at)) {
			at = append(at, n)
		}
	}
	return at
}

// candidates returns the nodes on which tasks of the unit may be placed, and how many tasks fit in
// total.
func (p *plan) candidates(w waitingUnit, domain []*node, available availableFunc) (nodes []*node, fitting int) {
	for _, n := range domain {
		if !n.usable || !w.step.Reserved().FitsIn(available(n)) || !p.mayPlace(w, n) {
			continue
		}
		if k := p.countOn(w, n, available(n), len(w.unit.Tasks)); k > 0 {
			nodes = append(nodes, n)
			n.taskCount = k
			fitting += k
		}
	}
	return nodes, fitting
}

// dataWaitFactor is how long a task waits for capacity near its data, as a multiple of its
// estimate.
const dataWaitFactor = 1.5

// domain is a set of nodes within which a unit may be placed.
type domain struct {
	nodes []*node
	// fallback reports whether the unit is placed there only if it fits into no other domain, because
	// it is slow there.
	fallback bool
}

// domains returns the domains of a unit, preferred ones first: near its data, within a rack, or
// anywhere.
func (p *plan) domains(w waitingUnit) []domain {
	switch {
	case w.step.DataRack != "":
		return p.domainsNearData(w)
	case prefersRack(w.step):
		return p.rackDomains(w)
	}
	return []domain{{nodes: p.nodes}}
}

// domainsNearData returns only the rack with the unit's data for a while, and all nodes after that.
func (p *plan) domainsNearData(w waitingUnit) []domain {
	var near []*node
	if r := p.racks[w.step.DataRack]; r != nil {
		near = inOpenZones(r.nodes)
	}
	waited := p.now.Sub(w.tracked.job.Accepted)
	waitsForData := p.has(DataLocality) && waited < dataWaitLimit(w, near)
	if waitsForData && len(near) > 0 && (!w.step.Gang || fitsEmpty(w, near, emptyWithAll)) {
		return []domain{{nodes: near}}
	}
	return []domain{{nodes: near}, {nodes: p.nodes}}
}

// dataWaitLimit returns how long after the acceptance of its job a unit waits for capacity near its
// data. The limit is shorter if no capacity can be expected there.
func dataWaitLimit(w waitingUnit, near []*node) time.Duration {
	limit := time.Duration(dataWaitFactor * float64(w.step.Estimate))
	if !fitsEmpty(w, near, emptyDescribed) {
		return min(limit, maxRackWait)
	}
	return limit
}

// inOpenZones returns the nodes whose zone is not cordoned. No unit waits for the others.
func inOpenZones(nodes []*node) []*node {
	if !slices.ContainsFunc(nodes, func(n *node) bool { return n.cordoned }) {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.cordoned })
}
