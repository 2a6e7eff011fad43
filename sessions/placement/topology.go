package placement

import "sort"

// node is a domain: the root, a region, an availability zone, a rack or a worker.
type node struct {
	parent   int
	children []int
	worker   int // index of the worker; -1 for other levels
	level    int
}

// Topology is the tree of regions, zones, racks and workers. It is immutable.
type Topology struct {
	nodes []node
	// leaf is the node of each worker, by worker index.
	leaf []int
	// levels lists the nodes of each level, from the root to the workers.
	levels [workerLevel + 1][]int
}

// Levels of the tree, from the root down.
const (
	rootLevel = iota
	regionLevel
	zoneLevel
	rackLevel
	workerLevel
)

// NewTopology returns the tree of the workers. Each level is ordered by name.
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

// domains returns the largest domains whose accelerators satisfy an adjacency.
func (t *Topology) domains(a Adjacency) []int { return t.levels[a.tightness()] }
