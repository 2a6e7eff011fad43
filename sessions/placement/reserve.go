package placement

import (
	"slices"
	"sort"
	"time"
)

// unknownLeft is assumed for a placement that gives no estimate.
const unknownLeft = 24 * time.Hour

// maxReservations is how many reservations fit into the bits of a search.
const maxReservations = 64

// reservation holds the room of a domain back for a gang that waits until others end.
type reservation struct {
	node int
	// hold is how many of the domain's free accelerators are held back.
	hold int
	// starts is the expected time until the domain has room. What ends before may use the room
	// meanwhile.
	starts time.Duration
}

// reserve holds back the domain in which the session can be expected to start first.
func (d *decider) reserve(w Waiting) {
	if len(d.reserved) >= min(d.profile.Reservations, maxReservations) || w.Shape.Accelerators < d.profile.ReserveFrom {
		return
	}
	found := reservation{node: -1}
	for _, at := range d.topology.domains(w.Shape.Adjacency) {
		if d.isReserved(at) {
			continue
		}
		starts, ok := d.expectedStart(at, w.Shape.Accelerators)
		if ok && (found.node < 0 || starts < found.starts) {
			found = reservation{node: at, hold: w.Shape.Accelerators, starts: starts}
		}
	}
	if found.node >= 0 {
		d.reserved = append(d.reserved, found)
	}
}

func (d *decider) isReserved(at int) bool {
	for _, r := range d.reserved {
		if r.node == at {
			return true
		}
	}
	return false
}

// expectedStart returns the time until n accelerators below the node can be expected to be free.
func (d *decider) expectedStart(at, n int) (time.Duration, bool) {
	type ending struct {
		left  time.Duration
		count int
	}
	if d.free.size[at] < n {
		return 0, false
	}
	free := d.free.free[at]
	if free >= n {
		return 0, true
	}
	here := make(map[int64]int)
	d.eachWorker(at, func(worker int) {
		for _, h := range d.input.Workers[worker].Holders {
			if h > 0 {
				here[h]++
			}
		}
	})
	endings := make([]ending, 0, len(here))
	for token, count := range here {
		endings = append(endings, ending{left: d.left(token), count: count})
	}
	sort.Slice(endings, func(i, j int) bool { return endings[i].left < endings[j].left })
	for _, e := range endings {
		free += e.count
		if free >= n {
			return e.left, true
		}
	}
	return 0, false
}

func (d *decider) left(token int64) time.Duration {
	p, found := d.running[token]
	switch {
	case !found:
		return unknownLeft
	case p.Stopping:
		return 0
	case p.Left <= 0:
		return unknownLeft
	}
	return p.Left
}

// reservedFor returns the reservations that the session has to leave alone, one bit each. A
// session that ends before a reservation starts may use what that one holds, and urgent work
// looks at firm reservations only.
func (d *decider) reservedFor(w Waiting) uint64 {
	var bits uint64
	for i, r := range d.reserved {
		inTime := w.Urgent || (!d.profile.NoBackfill && w.Estimate > 0 && w.Estimate <= r.starts)
		if !inTime {
			bits |= 1 << i
		}
	}
	return bits
}

// unreserved returns the free room without what the given reservations hold back.
func (d *decider) unreserved(reserved uint64) *Capacity {
	if reserved == 0 {
		return d.unheld
	}
	room := d.unheld.Clone()
	for i, r := range d.reserved {
		if reserved&(1<<i) != 0 {
			d.withhold(room, r.node, r.hold)
		}
	}
	return room
}

// withhold takes n accelerators below the node out of the room, from the emptiest workers
// first, so that what is left are the fragments.
func (d *decider) withhold(room *Capacity, node, n int) {
	var leaves []int
	d.eachWorker(node, func(worker int) {
		if leaf := d.topology.leaf[worker]; room.free[leaf] > 0 {
			leaves = append(leaves, leaf)
		}
	})
	slices.SortStableFunc(leaves, func(a, b int) int { return room.free[b] - room.free[a] })
	for _, leaf := range leaves {
		part := min(n, room.free[leaf])
		if part == 0 {
			break
		}
		room.add(room.free, leaf, -part)
		n -= part
	}
}
