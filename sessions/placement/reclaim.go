package placement

import (
	"sort"
	"time"
)

// reclaim decides to stop borrowed placements so that the session fits into a domain, and chooses
// the domain where this costs least. It reports false if there is none.
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
		p.Stopping, p.ReclaimedFor = true, w.Session
	}
	d.reclaimingFor[w.Session] = true
	d.holdForSession(w, node)
	return true
}

// awaitReclaimed holds free accelerators for a session for which placements are being reclaimed, in
// the domain with the most accelerators that are free or being reclaimed for it. It reports false
// if these are not enough, or if none are being reclaimed.
func (d *decider) awaitReclaimed(w Waiting) bool {
	if !d.reclaimingFor[w.Session] {
		return false
	}
	found, most := -1, 0
	for _, at := range d.topology.domains(w.Shape.Adjacency) {
		if expected := d.free.free[at] + d.countPending(w.Session, at); expected > most {
			found, most = at, expected
		}
	}
	if most < w.Shape.Accelerators {
		return false
	}
	d.holdForSession(w, found)
	return true
}

// countPending returns the number of accelerators of the node that are being reclaimed for the
// session.
func (d *decider) countPending(session string, at int) int {
	n := 0
	d.eachWorker(at, func(worker int) {
		for _, h := range d.input.Workers[worker].Holders {
			if p, found := d.running[h]; found && p.Stopping && p.ReclaimedFor == session {
				n++
			}
		}
	})
	return n
}

// holdForSession holds the free accelerators that the session needs in addition to those that are
// still to be released. Victims release their accelerators one by one; if these were not held,
// other sessions, and the victims themselves in particular, would take them again.
func (d *decider) holdForSession(w Waiting, at int) {
	clear(d.failedSearches)
	d.subtract(d.available, at, max(0, w.Shape.Accelerators-d.countPending(w.Session, at)))
}

// victimCost is the cost of reclaiming a set of placements. It is compared by the highest yield
// rank, then the work lost, then the number of placements.
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

// victims returns borrowed placements that must stop so that n accelerators of the node are free.
// Only the owner of a guarantee may reclaim urgent placements.
func (d *decider) victims(at, n int, owner bool) ([]*Running, victimCost, bool) {
	missing := n - d.free.free[at]
	if d.reclaimable.free[at] < n {
		return nil, victimCost{}, false
	}
	countByToken := make(map[int64]int)
	d.eachWorker(at, func(worker int) {
		for _, h := range d.input.Workers[worker].Holders {
			if p, found := d.running[h]; found && p.Borrowed && !p.Stopping && (owner || !p.Urgent) {
				countByToken[h]++
			}
		}
	})
	candidates := make([]*Running, 0, len(countByToken))
	for token := range countByToken {
		candidates = append(candidates, d.running[token])
	}
	sort.Slice(candidates, func(i, j int) bool { return d.yieldsBefore(candidates[i], candidates[j], countByToken) })
	var list []*Running
	cost := victimCost{}
	for _, p := range candidates {
		if missing <= 0 {
			break
		}
		list = append(list, p)
		missing -= countByToken[p.Token]
		cost = victimCost{
			rank:  max(cost.rank, p.YieldRank),
			lost:  cost.lost + p.Unsaved*time.Duration(p.Shape.Accelerators),
			count: cost.count + 1,
		}
	}
	return list, cost, missing <= 0 && len(list) > 0
}

// yieldsBefore reports whether a is reclaimed before b. Victims are ordered by yield rank, then by
// the work lost per accelerator that is freed in the domain.
func (d *decider) yieldsBefore(a, b *Running, countByToken map[int64]int) bool {
	if a.YieldRank != b.YieldRank {
		return a.YieldRank < b.YieldRank
	}
	lostA := a.Unsaved * time.Duration(a.Shape.Accelerators) / time.Duration(countByToken[a.Token])
	lostB := b.Unsaved * time.Duration(b.Shape.Accelerators) / time.Duration(countByToken[b.Token])
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
