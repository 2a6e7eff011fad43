package placement

import "sort"

// Capacity counts the usable accelerators of each domain of a topology.
type Capacity struct {
	topology *Topology
	// free is the number of usable accelerators in each domain.
	free []int
	// size is the total number of accelerators in each domain.
	size []int
}

// NewCapacity counts the accelerators whose holder satisfies usable.
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

// allocation is a number of accelerators on one worker.
type allocation struct {
	worker int
	count  int
}

// allocate subtracts the allocations from the free accelerators.
func (c *Capacity) allocate(allocations []allocation) {
	for _, s := range allocations {
		c.add(c.free, c.topology.leaf[s.worker], -s.count)
	}
}

// Scorer assigns a cost to each domain in which n accelerators could be placed. The domain with the
// lowest cost is used; ties go to the first one.
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

// findPlace returns the allocations for the shape, or nil if it does not fit anywhere.
func findPlace[S Scorer](c *Capacity, scorer S, shape Shape) []allocation {
	at := cheapest(c, scorer, c.topology.domains(shape.Adjacency), shape.Accelerators)
	if at < 0 {
		return nil
	}
	var allocations []allocation
	return pack(c, scorer, at, shape.Accelerators, allocations)
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

// pack allocates n accelerators in a node that has at least n free, on few of its children: on a
// single child if one has enough free, otherwise all of the child with the most, and the rest in
// the same way.
func pack[S Scorer](c *Capacity, scorer S, at, n int, allocations []allocation) []allocation {
	leaf := c.topology.nodes[at].worker
	if leaf >= 0 {
		return append(allocations, allocation{worker: leaf, count: n})
	}
	children := c.topology.nodes[at].children
	if child := cheapest(c, scorer, children, n); child >= 0 {
		return pack(c, scorer, child, n, allocations)
	}
	order := append([]int(nil), children...)
	sort.SliceStable(order, func(i, j int) bool { return c.free[order[i]] > c.free[order[j]] })
	for i, child := range order {
		if c.free[child] == 0 {
			break
		}
		if c.free[child] < n {
			allocations = pack(c, scorer, child, c.free[child], allocations)
			n -= c.free[child]
			continue
		}
		last := cheapest(c, scorer, order[i:], n)
		return pack(c, scorer, last, n, allocations)
	}
	return allocations
}

// assignAccelerators picks the accelerators of each allocation among those whose holder satisfies
// usable.
func assignAccelerators(workers []Worker, allocations []allocation, usable func(holder int64) bool) []Member {
	var list []Member
	for _, s := range allocations {
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
// capacity must count free and borrowed accelerators. The search is greedy, with the tightest and
// largest shapes first: it may return false although a solution exists, but never returns true if
// none exists.
func Feasible(c *Capacity, entitlements []Entitlement) bool {
	return len(Shortfall(c, entitlements)) == 0
}

// Shortfall returns the entitlements whose unused guarantees do not all fit into the capacity; see
// Feasible. The entitlements are in search order.
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
	var missing []Entitlement
	for _, e := range order {
		for range e.Count - e.Used {
			allocations := findPlace(rest, BestFit{}, e.Shape)
			if allocations == nil {
				missing = append(missing, e)
				break
			}
			rest.allocate(allocations)
		}
	}
	return missing
}
