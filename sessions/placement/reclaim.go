package placement

import (
	"sort"
	"time"
)

// reclaim decides to stop borrowed placements so that the session fits, in the domain with the
// lowest cost. It reports false if there is no such domain.
func (d *decider) reclaim(w Waiting) bool {
	var victims []*Running
	lowest, node := victimCost{}, -1
	owner := d.entitlement(w) >= 0
	for _, at := range d.topology.domains(w.Shape.Adjacency) {
		list, cost, ok := d.victims(at, w.Shape.Accelerators, owner)
		if ok && (victims == nil || cost.less(lowest)) {
			victims, lowest, node = list, cost, at
		}
	}
	if victims == nil {
		return false
	}
	decision := Decision{Session: w.Session}
	for _, p := range victims {
		decision.Victims = append(decision.Victims, p.Token)
	}
	d.decisions = append(d.decisions, decision)
	for _, p := range victims {
		p.Stopping, p.For = true, w.Session
	}
	d.awaiting[w.Session] = true
	d.holdFree(w, node)
	return true
}

// awaitVictims holds the accelerators that are being reclaimed for the session. It reports false if
// they will not be enough, or if none are being reclaimed.
func (d *decider) awaitVictims(w Waiting) bool {
	if !d.awaiting[w.Session] {
		return false
	}
	found, most := -1, 0
	for _, at := range d.topology.domains(w.Shape.Adjacency) {
		if coming := d.free.free[at] + d.comingFor(w.Session, at); coming > most {
			found, most = at, coming
		}
	}
	if most < w.Shape.Accelerators {
		return false
	}
	d.holdFree(w, found)
	return true
}

// comingFor counts the accelerators of the node that are being reclaimed for the session.
func (d *decider) comingFor(session string, at int) int {
	n := 0
	d.eachWorker(at, func(worker int) {
		for _, h := range d.input.Workers[worker].Holders {
			if p, found := d.running[h]; found && p.Stopping && p.For == session {
				n++
			}
		}
	})
	return n
}

// holdFree holds the free accelerators that the session needs in addition to those still to be
// released. The victims release them one by one; without this other sessions, the victims first of
// all, would take them again.
func (d *decider) holdFree(w Waiting, at int) {
	clear(d.noFit)
	d.withhold(d.unheld, at, max(0, w.Shape.Accelerators-d.comingFor(w.Session, at)))
}

// victimCost is the cost of reclaiming a set of placements: their highest yield rank, then the work
// lost, then their number.
type victimCost struct {
	rank  int
	lost  time.Duration
	count int
}

func (c victimCost) less(other victimCost) bool {
	if c.rank != other.rank {
		return c.rank < other.rank
	}
	if c.lost != other.lost {
		return c.lost < other.lost
	}
	return c.count < other.count
}

// victims returns borrowed placements whose end leaves n accelerators of the node free. Only
// the owner of a guarantee may reclaim urgent placements.
func (d *decider) victims(at, n int, owner bool) ([]*Running, victimCost, bool) {
	short := n - d.free.free[at]
	if d.reclaimable.free[at] < n {
		return nil, victimCost{}, false
	}
	here := make(map[int64]int)
	d.eachWorker(at, func(worker int) {
		for _, h := range d.input.Workers[worker].Holders {
			if p, found := d.running[h]; found && p.Borrowed && !p.Stopping && (owner || !p.Urgent) {
				here[h]++
			}
		}
	})
	candidates := make([]*Running, 0, len(here))
	for token := range here {
		candidates = append(candidates, d.running[token])
	}
	sort.Slice(candidates, func(i, j int) bool { return d.yieldsBefore(candidates[i], candidates[j], here) })
	var list []*Running
	cost := victimCost{}
	for _, p := range candidates {
		if short <= 0 {
			break
		}
		list = append(list, p)
		short -= here[p.Token]
		cost = victimCost{
			rank:  max(cost.rank, p.YieldRank),
			lost:  cost.lost + p.Unsaved*time.Duration(p.Shape.Accelerators),
			count: cost.count + 1,
		}
	}
	return list, cost, short <= 0 && len(list) > 0
}

// yieldsBefore orders victims by yield rank, then by the work lost per accelerator freed in the
// domain.
func (d *decider) yieldsBefore(a, b *Running, here map[int64]int) bool {
	if a.YieldRank != b.YieldRank {
		return a.YieldRank < b.YieldRank
	}
	lostA := a.Unsaved * time.Duration(a.Shape.Accelerators) / time.Duration(here[a.Token])
	lostB := b.Unsaved * time.Duration(b.Shape.Accelerators) / time.Duration(here[b.Token])
	if lostA != lostB {
		return lostA < lostB
	}
	return a.Token < b.Token
}

// eachWorker calls visit for each worker of a domain.
func (d *decider) eachWorker(at int, visit func(worker int)) {
	n := d.topology.nodes[at]
	if n.worker >= 0 {
		visit(n.worker)
		return
	}
	for _, child := range n.children {
		d.eachWorker(child, visit)
	}
}
