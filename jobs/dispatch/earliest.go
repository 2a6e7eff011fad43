package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// opening is room that a unit would find by itself.
type opening struct {
	// at holds a node for each task, and when is the time from which all of it is free.
	at     []*node
	from   time.Time
	domain []*node
	// room is what is free by then on each node of the domain.
	room map[*node]job.Resources
}

// earliest forecasts where and when the unit fits first, if nothing else starts and nothing more is told to stop; false if it never
// does.
func (p *plan) earliest(w waitingUnit) (best opening, ok bool) {
	for _, domain := range p.domains(w) {
		if f, fits := p.earliestIn(w, domain); fits && (!ok || f.from.Before(best.from)) {
			best, ok = f, true
		}
	}
	return best, ok
}

// earliestIn is earliest within one domain.
func (p *plan) earliestIn(w waitingUnit, domain []*node) (opening, bool) {
	need, left := w.step.Reserved(), len(w.unit.Tasks)
	room, fits := map[*node]job.Resources{}, map[*node]int{}
	var runs []*running
	for _, n := range domain {
		if !allowed(w, n) || !n.usable {
			continue
		}
		room[n], fits[n] = n.free, tasksFitting(need, n.free, tasksAllowed(w, n))
		left -= fits[n]
		runs = append(runs, n.runs...)
	}
	slices.SortFunc(runs, func(a, b *running) int { return p.endOf(a).Compare(p.endOf(b)) })
	for _, r := range runs {
		room[r.node] = room[r.node].Plus(r.resources, 1)
		now := tasksFitting(need, room[r.node], tasksAllowed(w, r.node))
		left -= now - fits[r.node]
		fits[r.node] = now
		if left <= 0 {
			return opening{at: fill(fits, len(w.unit.Tasks)), from: p.endOf(r), domain: domain, room: room}, true
		}
	}
	return opening{}, false
}

// endOf is when a run's room is forecast to be free.
func (p *plan) endOf(r *running) time.Time {
	if soon := p.now.Add(p.stopDuration); r.stopping && soon.Before(r.endsAt) {
		return soon
	}
	return r.endsAt
}

// fill takes nodes for so many tasks, those that hold the most of them first.
func fill(fits map[*node]int, tasks int) []*node {
	nodes := make([]*node, 0, len(fits))
	for n := range fits {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Or(-cmp.Compare(fits[a], fits[b]), cmp.Compare(a.name, b.name)) })
	var at []*node
	for _, n := range nodes {
		for range min(fits[n], tasks-len(at)) {
			at = append(at, n)
		}
	}
	return at
}

// reserveFor keeps room for the unit on the nodes that would be free for it first: until then that room is for what ends in time. What the unit
// leaves there is for anybody, and so are the other nodes. With all nodes of the rack kept, batch work that fitted beside a waiting gang did
// not start while most of the room was free.
func (p *plan) reserveFor(w waitingUnit) {
	f, ok := p.earliest(w)
	if !ok {
		return
	}
	p.reservations++
	for _, n := range f.at {
		if n.reservedUntil.IsZero() {
			n.reservedUntil, n.freeBesideReserved = f.from, f.room[n]
		}
		if f.from.Before(n.reservedUntil) {
			n.reservedUntil = f.from
		}
		n.freeBesideReserved = n.freeBesideReserved.Plus(w.step.Reserved(), -1)
	}
}
