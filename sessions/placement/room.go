package placement

import "sort"

// node is a domain of adjacency: the root, a region, an availability zone, a rack or a worker.
type node struct {
	parent   int
	children []int
	worker   int // index into workers for a leaf, -1 for the others
	level    int
}

// Topology is the tree of regions, zones, racks and workers. It is immutable.
type Topology struct {
	nodes []node
	// leaf has the node of each worker.
	leaf []int
	// levels lists the nodes of each level, from the root to the workers.
	levels [workerLevel + 1][]int
}

// The levels of the tree. A domain of a level satisfies the adjacency of that tightness.
const (
	rootLevel = iota
	regionLevel
	zoneLevel
	rackLevel
	workerLevel
)

// NewTopology builds the tree. Regions, zones, racks and workers keep the order of their names.
func NewTopology(workers []Worker) *Topology {
	t := &Topology{nodes: []node{{parent: -1, worker: -1}}, leaf: make([]int, len(workers))}
	t.levels[rootLevel] = []int{0}
	order := make([]int, len(workers))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := workers[order[i]], workers[order[j]]
		if a.Region != b.Region {
			return a.Region < b.Region
		}
		if a.Zone != b.Zone {
			return a.Zone < b.Zone
		}
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.Name < b.Name
	})
	region, zone, rack := -1, -1, -1
	for at, i := range order {
		w := workers[i]
		var last Worker
		if at > 0 {
			last = workers[order[at-1]]
		}
		if region < 0 || w.Region != last.Region {
			region, zone = t.add(0, -1, regionLevel), -1
		}
		if zone < 0 || w.Zone != last.Zone {
			zone, rack = t.add(region, -1, zoneLevel), -1
		}
		if rack < 0 || w.Rack != last.Rack {
			rack = t.add(zone, -1, rackLevel)
		}
		t.leaf[i] = t.add(rack, i, workerLevel)
	}
	return t
}

func (t *Topology) add(parent, worker, level int) int {
	n := len(t.nodes)
	t.nodes = append(t.nodes, node{parent: parent, worker: worker, level: level})
	t.nodes[parent].children = append(t.nodes[parent].children, n)
	t.levels[level] = append(t.levels[level], n)
	return n
}

// domains lists the places that satisfy an adjacency.
func (t *Topology) domains(a Adjacency) []int { return t.levels[a.tightness()] }

// Capacity counts the accelerators that may be used, for each domain of a topology.
type Capacity struct {
	topology *Topology
	free     []int
	// size is the number of accelerators of each domain, used or not.
	size []int
}

// NewCapacity counts for each worker the accelerators whose holder satisfies usable.
func NewCapacity(t *Topology, workers []Worker, usable func(holder int64) bool) *Capacity {
	r := &Capacity{topology: t, free: make([]int, len(t.nodes)), size: make([]int, len(t.nodes))}
	for i, w := range workers {
		count := 0
		for _, h := range w.Holders {
			if usable(h) {
				count++
			}
		}
		r.add(r.free, t.leaf[i], count)
		r.add(r.size, t.leaf[i], len(w.Holders))
	}
	return r
}

func (r *Capacity) add(counts []int, leaf, n int) {
	for at := leaf; at >= 0; at = r.topology.nodes[at].parent {
		counts[at] += n
	}
}

// Clone returns a copy that can be taken from independently.
func (r *Capacity) Clone() *Capacity {
	return &Capacity{topology: r.topology, free: append([]int(nil), r.free...), size: r.size}
}

// share is a number of accelerators of one worker.
type share struct {
	worker int
	count  int
}

// take marks the shares as used.
func (r *Capacity) take(shares []share) {
	for _, s := range shares {
		r.add(r.free, r.topology.leaf[s.worker], -s.count)
	}
}

// Scorer says which domain n accelerators should use. The domain with the lowest cost is taken,
// the first among equals.
type Scorer interface {
	// Cost is called with the number of free accelerators of a domain that has at least n.
	Cost(free, n int) int
}

// FirstFit takes the first domain that fits.
type FirstFit struct{}

// Cost implements Scorer.
func (FirstFit) Cost(int, int) int { return 0 }

// BestFit takes the domain in which the fewest accelerators stay free.
type BestFit struct{}

// Cost implements Scorer.
func (BestFit) Cost(free, n int) int { return free - n }

// findPlace returns shares for the shape, or nil if there is no room.
func findPlace[S Scorer](r *Capacity, scorer S, shape Shape) []share {
	at := cheapest(r, scorer, r.topology.domains(shape.Adjacency), shape.Accelerators)
	if at < 0 {
		return nil
	}
	var shares []share
	return pack(r, scorer, at, shape.Accelerators, shares)
}

// cheapest returns the cheapest of the nodes with room for n, or -1.
func cheapest[S Scorer](r *Capacity, scorer S, nodes []int, n int) int {
	found, lowest := -1, 0
	for _, at := range nodes {
		if r.free[at] < n {
			continue
		}
		cost := scorer.Cost(r.free[at], n)
		if found < 0 || cost < lowest {
			found, lowest = at, cost
		}
	}
	return found
}

// pack spreads n accelerators below a node that has room for them over as few domains as it can:
// one child if that has room, else the fullest child whole and the rest again.
func pack[S Scorer](r *Capacity, scorer S, at, n int, shares []share) []share {
	leaf := r.topology.nodes[at].worker
	if leaf >= 0 {
		return append(shares, share{worker: leaf, count: n})
	}
	children := r.topology.nodes[at].children
	if child := cheapest(r, scorer, children, n); child >= 0 {
		return pack(r, scorer, child, n, shares)
	}
	order := append([]int(nil), children...)
	sort.SliceStable(order, func(i, j int) bool { return r.free[order[i]] > r.free[order[j]] })
	for i, child := range order {
		if r.free[child] == 0 {
			break
		}
		if r.free[child] < n {
			shares = pack(r, scorer, child, r.free[child], shares)
			n -= r.free[child]
			continue
		}
		last := cheapest(r, scorer, order[i:], n)
		return pack(r, scorer, last, n, shares)
	}
	return shares
}

// members turns shares into accelerator numbers whose holder satisfies usable.
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

// Feasible reports whether all the unused parts of the entitlements fit into the room at once.
// The room must hold the free accelerators and those of borrowed placements. The search is
// greedy, tightest and largest first: it may say no where a way exists, never yes where none
// does.
func Feasible(r *Capacity, entitlements []Entitlement) bool {
	return len(Shortfall(r, entitlements)) == 0
}

// Shortfall returns the entitlements of which not all unused parts fit, in the order in which
// they were tried.
func Shortfall(r *Capacity, entitlements []Entitlement) []Entitlement {
	order := append([]Entitlement(nil), entitlements...)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i].Shape, order[j].Shape
		if a.Adjacency.tightness() != b.Adjacency.tightness() {
			return a.Adjacency.tightness() > b.Adjacency.tightness()
		}
		return a.Accelerators > b.Accelerators
	})
	room := r.Clone()
	var short []Entitlement
	for _, e := range order {
		for range e.Count - e.Used {
			shares := findPlace(room, BestFit{}, e.Shape)
			if shares == nil {
				short = append(short, e)
				break
			}
			room.take(shares)
		}
	}
	return short
}
