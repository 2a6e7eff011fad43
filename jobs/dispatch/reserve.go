package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// maxReservations is how many waiting gangs have room reserved at once.
const maxReservations = 2

// reserveFor reserves room for a gang on the nodes that are expected to be free for it first.
// Until the gang is expected to start, that room is for work that ends before; what the gang
// leaves free there is for all, and so are the other nodes.
func (p *plan) reserveFor(w waitingUnit) {
	o, ok := p.earliest(w)
	if !ok {
		return
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
	}
}

// fitsReservation reports whether the unit leaves the node's reservation alone: it ends in
// time, or fits beside the gang.
func (p *plan) fitsReservation(w waitingUnit, n *node) bool {
	return p.endsBeforeReserved(w, n) || w.step.Reserved().FitsIn(n.freeBesideReserved)
}

// endsBeforeReserved reports whether the unit ends before a gang needs the room reserved on the
// node.
func (p *plan) endsBeforeReserved(w waitingUnit, n *node) bool {
	return n.reservedUntil.IsZero() || !p.now.Add(w.duration).After(n.reservedUntil)
}

// usableRoom is the part of what is free on a node that the unit may use.
func (p *plan) usableRoom(w waitingUnit, n *node, free job.Resources) job.Resources {
	if p.endsBeforeReserved(w, n) {
		return free
	}
	return free.Min(n.freeBesideReserved)
}

// opening is room that a unit finds without further stops.
type opening struct {
	// at holds a node for each task; from is when all of it is free.
	at   []*node
	from time.Time
	// free is what is free by then on each node of the domain.
	free map[*node]job.Resources
}

// earliest predicts where and when the unit fits first if nothing else starts and nothing more
// is told to stop; false if it never does.
func (p *plan) earliest(w waitingUnit) (best opening, ok bool) {
	for _, domain := range p.domains(w) {
		if o, fits := p.earliestIn(w, domain); fits && (!ok || o.from.Before(best.from)) {
			best, ok = o, true
		}
	}
	return best, ok
}

// earliestIn lets the runs of a domain end one after the other until the unit fits.
func (p *plan) earliestIn(w waitingUnit, domain []*node) (opening, bool) {
	each, left := w.step.Reserved(), len(w.unit.Tasks)
	free, fitting := map[*node]job.Resources{}, map[*node]int{}
	var runs []*running
	for _, n := range domain {
		if !allowed(w, n) || !n.usable {
			continue
		}
		free[n], fitting[n] = n.free, tasksFitting(each, n.free, tasksAllowed(w, n))
		left -= fitting[n]
		runs = append(runs, n.runs...)
	}
	slices.SortFunc(runs, func(a, b *running) int { return p.expectedEnd(a).Compare(p.expectedEnd(b)) })
	for _, r := range runs {
		free[r.node] = free[r.node].Plus(r.resources, 1)
		now := tasksFitting(each, free[r.node], tasksAllowed(w, r.node))
		left -= now - fitting[r.node]
		fitting[r.node] = now
		if left <= 0 {
			return opening{at: fill(fitting, len(w.unit.Tasks)), from: p.expectedEnd(r), free: free}, true
		}
	}
	return opening{}, false
}

// expectedEnd is when a run is expected to free its node.
func (p *plan) expectedEnd(r *running) time.Time {
	if soon := p.now.Add(p.stopDuration); r.stopping && soon.Before(r.endsAt) {
		return soon
	}
	return r.endsAt
}

// fill takes a node for each of so many tasks, nodes that fit the most of them first.
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
