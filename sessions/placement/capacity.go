package placement

import "sort"

// Capacity counts the usable accelerators of each domain of a topology.
type Capacity struct {
	topology *Topology
	// free is the number of usable accelerators of each domain.
	free []int
	// size is the number of all accelerators of each domain.
	size []int
}

// NewCapacity returns the capacity in which an accelerator counts if usable accepts its holder.
func NewCapacity(t *Topology, workers []Worker, usable func(holder int64) bool) *Capacity {
	c := &Capacity{topology: t, free: make([]int, len(t.nodes)), size: make([]int, len(t.nodes))}
	for i, w := range workers {
		count := 0
		for _, h := range w.Holders {
			if usable(h) {
				count++
			}
		}
		c.add(c.free, t.leaf[i], count)
		c.add(c.size, t.leaf[i], len(w.Holders))
	}
	return c
}

// add adds n to the counts of a leaf and of all domains that contain it.
func (c *Capacity) add(counts []int, leaf, n int) {
	for at := leaf; at >= 0; at = c.topology.nodes[at].parent {
		counts[at] += n
	}
}

// Clone returns an independent copy.
func (c *Capacity) Clone() *Capacity {
	return &Capacity{topology: c.topology, free: append([]int(nil), c.free...), size: c.size}
}

// share is a number of accelerators on one worker.
type share struct {
	worker int
	count  int
}

// take marks the shares as used.
func (c *Capacity) take(shares []share) {
	for _, s := range shares {
		c.add(c.free, c.topology.leaf[s.worker], -s.count)
	}
}

// Scorer rates the domains in which n accelerators could be placed. The domain with the lowest
// cost is used, or the first of those.
type Scorer interface {
	// Cost returns the cost of a domain with the given number of free accelerators, which is at
	// least n.
	Cost(free, n int) int
}

// FirstFit uses the first domain that fits.
type FirstFit struct{}

// Cost implements Scorer.
func (FirstFit) Cost(int, int) int { return 0 }

// BestFit uses the domain in which the fewest accelerators remain free.
type BestFit struct{}

// Cost implements Scorer.
func (BestFit) Cost(free, n int) int { return free - n }

// findPlace returns shares for the shape, or nil if it does not fit anywhere.
func findPlace[S Scorer](c *Capacity, scorer S, shape Shape) []share {
	at := cheapest(c, scorer, c.topology.domains(shape.Adjacency), shape.Accelerators)
	if at < 0 {
		return nil
	}
	var shares []share
	return pack(c, scorer, at, shape.Accelerators, shares)
}

// cheapest returns the node with the lowest cost among those with n free accelerators, or -1.
func cheapest[S Scorer](c *Capacity, scorer S, nodes []int, n int) int {
	found, lowest := -1, 0
	for _, at := range nodes {
		if c.free[at] < n {
			continue
		}
		cost := scorer.Cost(c.free[at], n)
		if found < 0 || cost < lowest {
			found, lowest = at, cost
		}
	}
	return found
}

// pack places n accelerators in a node that has as many free, using few of its children: a single
// child if one has enough, otherwise all of the child with the most and the rest in the same way.
func pack[S Scorer](c *Capacity, scorer S, at, n int, shares []share) []share {
	leaf := c.topology.nodes[at].worker
	if leaf >= 0 {
		return append(shares, share{worker: leaf, count: n})
	}
	children := c.topology.nodes[at].children
	if child := cheapest(c, scorer, children, n); child >= 0 {
		return pack(c, scorer, child, n, shares)
	}
	order := append([]int(nil), children...)
	sort.SliceStable(order, func(i, j int) bool { return c.free[order[i]] > c.free[order[j]] })
	for i, child := range order {
		if c.free[child] == 0 {
			break
		}
		if c.free[child] < n {
			shares = pack(c, scorer, child, c.free[child], shares)
			n -= c.free[child]
			continue
		}
		last := cheapest(c, scorer, order[i:], n)
		return pack(c, scorer, last, n, shares)
	}
	return shares
}

// members turns shares into the numbers of accelerators whose holder usable accepts.
func members(workers []Worker, shares []share, usable func(holder int64) bool) []Member {
	var list []Member
	for _, s := range shares {
		m := Member{Worker: workers[s.worker].Name}
		for i, h := range workers[s.worker].Holders {
			if len(m.Accelerators) < s.count && usable(h) {
				m.Accelerators = append(m.Accelerators, i)
			}
		}
		list = append(list, m)
	}
	return list
}

// Feasible reports whether all unused guarantees fit into the capacity at the same time. The
// capacity must count free and borrowed accelerators. The search is greedy, the tightest and
// largest shapes first: it may return false although a solution exists, but never true if none
// does.
func Feasible(c *Capacity, entitlements []Entitlement) bool {
	return len(Shortfall(c, entitlements)) == 0
}

// Shortfall returns the entitlements whose unused guarantees do not all fit into the capacity; see
// Feasible. They are in the order of the search.
func Shortfall(c *Capacity, entitlements []Entitlement) []Entitlement {
	order := append([]Entitlement(nil), entitlements...)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i].Shape, order[j].Shape
		if a.Adjacency.tightness() != b.Adjacency.tightness() {
			return a.Adjacency.tightness() > b.Adjacency.tightness()
		}
		return a.Accelerators > b.Accelerators
	})
	rest := c.Clone()
	var short []Entitlement
	for _, e := range order {
		for range e.Count - e.Used {
			shares := findPlace(rest, BestFit{}, e.Shape)
			if shares == nil {
				short = append(short, e)
				break
			}
			rest.take(shares)
		}
	}
	return short
}
