package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

const (
	// maxReservations is the maximum number of waiting gangs that have reservations at once.
	maxReservations = 2
	// maxReservationsOverloaded replaces it while the gangs' service is overloaded. Many gangs wait at
	// once then, and single tasks would take the capacity of those without a reservation bit by bit.
	// Each reservation simulates the ends of all runs, so their number stays bounded.
	maxReservationsOverloaded = 8
)

// mayReserve reports whether a unit gets a reservation if it has to wait.
func (p *plan) mayReserve(w waitingUnit) bool {
	limit := maxReservations
	if p.reservesMore(w) {
		limit = maxReservationsOverloaded
	}
	return w.step.Gang && p.reservations < limit && !w.expired && p.has(Reservations)
}

// reservesMore reports whether more gangs of the unit's service have reservations, each with
// capacity of its own.
func (p *plan) reservesMore(w waitingUnit) bool {
	return p.has(OverloadReservations) && p.overloaded(w)
}

// reserveFor reserves capacity for a gang on the nodes that are expected to be free for it first.
// Until the gang is expected to start, that capacity is available to work that ends before then.
// Capacity there that the gang doesn't need, and all other nodes, are available to all work. It
// returns false if the gang is not expected to start at all.
func (p *plan) reserveFor(w waitingUnit) bool {
	o, ok := p.earliestFit(w)
	if !ok {
		return false
	}
	p.reservations++
	for _, n := range o.at {
		if n.reservedUntil.IsZero() {
			n.reservedUntil, n.freeBesideReserved = o.from, o.free[n]
		}
		if o.from.Before(n.reservedUntil) {
			n.reservedUntil = o.from
		}
		n.freeBesideReserved = n.freeBesideReserved.Plus(w.step.Reserved(), -1)
		if p.reservesMore(w) {
			n.reserved = n.reserved.Plus(w.step.Reserved(), 1)
		}
	}
	return true
}

// fitsReservation reports whether the unit respects the node's reservation: it ends in time, or
// fits beside the gang.
func (p *plan) fitsReservation(w waitingUnit, n *node) bool {
	return p.endsBeforeReserved(w, n) || w.step.Reserved().FitsIn(n.freeBesideReserved)
}

// endsBeforeReserved reports whether the unit ends before a gang needs the capacity reserved on the
// node.
func (p *plan) endsBeforeReserved(w waitingUnit, n *node) bool {
	return n.reservedUntil.IsZero() || !p.now.Add(w.duration).After(n.reservedUntil)
}

// usableCapacity returns the part of a node's free capacity that the unit may use.
func (p *plan) usableCapacity(w waitingUnit, n *node, free job.Resources) job.Resources {
	if p.endsBeforeReserved(w, n) {
		return free
	}
	return free.Min(n.freeBesideReserved)
}

// futureFit is the earliest predicted placement of a unit without further stops.
type futureFit struct {
	// at holds a node for each task; from is when all of them are free.
	at   []*node
	from time.Time
	// delay is by how much the unit takes longer there than elsewhere.
	delay time.Duration
	// free is the predicted free capacity at that time on each node of the domain.
	free map[*node]job.Resources
}

// earliestFit predicts where and when the unit fits such that it ends first, if nothing else is
// started or stopped; false if it never fits.
func (p *plan) earliestFit(w waitingUnit) (best futureFit, ok bool) {
	for _, domain := range p.domains(w) {
		o, fits := p.earliestFitIn(w, domain.nodes)
		if !fits {
			continue
		}
		o.delay = spreadDelay(w, domain)
		if !ok || o.from.Add(o.delay).Before(best.from.Add(best.delay)) {
			best, ok = o, true
		}
	}
	return best, ok
}

// earliestFitIn simulates the ends of the domain's runs, in order, until the unit fits. Long-running
// tasks don't end.
func (p *plan) earliestFitIn(w waitingUnit, domain []*node) (futureFit, bool) {
	each, left := w.step.Reserved(), len(w.unit.Tasks)
	free, fitting := map[*node]job.Resources{}, map[*node]int{}
	var runs []*running
	for _, n := range domain {
		if !allowed(w, n) || !n.usable || !p.trusts(w, n) || w.avoidsLeaving && n.likelyToLeave {
			continue
		}
		free[n] = n.free.Plus(n.reserved, -1)
		fitting[n] = tasksFitting(each, free[n], tasksAllowed(w, n))
		left -= fitting[n]
		for _, r := range n.runs {
			if !r.endless() {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b *running) int { return p.expectedEnd(a).Compare(p.expectedEnd(b)) })
	for _, r := range runs {
		free[r.node] = free[r.node].Plus(r.resources, 1)
		now := tasksFitting(each, free[r.node], tasksAllowed(w, r.node))
		left -= now - fitting[r.node]
		fitting[r.node] = now
		if left <= 0 {
			return futureFit{at: fill(fitting, len(w.unit.Tasks)), from: p.expectedEnd(r), free: free}, true
		}
	}
	return futureFit{}, false
}

// expectedEnd returns when a run is expected to free its node.
func (p *plan) expectedEnd(r *running) time.Time {
	if soon := p.now.Add(p.stopDuration); r.stopping && soon.Before(r.endsAt) {
		return soon
	}
	return r.endsAt
}

// fill assigns a node to each of the given number of tasks, nodes that fit the most tasks first.
func fill(fitting map[*node]int, tasks int) []*node {
	nodes := make([]*node, 0, len(fitting))
	for n := range fitting {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int {
		return cmp.Or(cmp.Compare(fitting[b], fitting[a]), cmp.Compare(a.name, b.name))
	})
	var at []*node
	for _, n := range nodes {
		for range min(fitting[n], tasks-len(at)) {
			at = append(at, n)
		}
	}
	return at
}
