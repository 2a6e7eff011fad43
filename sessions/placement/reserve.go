package placement

import (
	"slices"
	"sort"
	"time"
)

// defaultRemaining is the assumed remaining run time of a placement without an estimate.
const defaultRemaining = 24 * time.Hour

// maxReservations is the number of bits for reservations in a search.
const maxReservations = 64

// reservation holds free accelerators of a domain for a gang that waits for other placements in the
// domain to end.
type reservation struct {
	node int
	// count is the number of the domain's free accelerators that are held.
	count int
	// startsIn is the expected time until the gang can start. Sessions that end before then may use
	// the held accelerators.
	startsIn time.Duration
}

// reserve reserves the domain in which the session is expected to start earliest.
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
		if ok && (found.node < 0 || starts < found.startsIn) {
			found = reservation{node: at, count: w.Shape.Accelerators, startsIn: starts}
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

// expectedStart returns the expected time until n accelerators of the node are free. It reports
// false if the node has fewer than n.
func (d *decider) expectedStart(at, n int) (time.Duration, bool) {
	type ending struct {
		remaining time.Duration
		count     int
	}
	if d.free.size[at] < n {
		return 0, false
	}
	free := d.free.free[at]
	if free >= n {
		return 0, true
	}
	countByToken := make(map[int64]int)
	d.eachWorker(at, func(worker int) {
		for _, h := range d.input.Workers[worker].Holders {
			if h > 0 {
				countByToken[h]++
			}
		}
	})
	endings := make([]ending, 0, len(countByToken))
	for token, count := range countByToken {
		endings = append(endings, ending{remaining: d.remaining(token), count: count})
	}
	sort.Slice(endings, func(i, j int) bool { return endings[i].remaining < endings[j].remaining })
	for _, e := range endings {
		free += e.count
		if free >= n {
			return e.remaining, true
		}
	}
	return 0, false
}

func (d *decider) remaining(token int64) time.Duration {
	p, found := d.running[token]
	switch {
	case !found:
		return defaultRemaining
	case p.Stopping:
		return 0
	case p.Remaining <= 0:
		return defaultRemaining
	}
	return p.Remaining
}

// reservedFor returns the reservations that the session must respect, one bit for each. Urgent
// sessions respect none, and a session that is expected to end before a reserved gang starts may
// use the accelerators held for the gang.
func (d *decider) reservedFor(w Waiting) uint64 {
	var bits uint64
	for i, r := range d.reserved {
		mayUse := w.Urgent || (!d.profile.NoBackfill && w.Estimate > 0 && w.Estimate <= r.startsIn)
		if !mayUse {
			bits |= 1 << i
		}
	}
	return bits
}

// unreserved returns the available accelerators without those of the given reservations.
func (d *decider) unreserved(reserved uint64) *Capacity {
	if reserved == 0 {
		return d.available
	}
	rest := d.available.Clone()
	for i, r := range d.reserved {
		if reserved&(1<<i) != 0 {
			d.subtract(rest, r.node, r.count)
		}
	}
	return rest
}

// subtract removes n free accelerators of the node from the capacity. It starts with the workers
// that have the most, so that smaller fragments remain usable.
func (d *decider) subtract(c *Capacity, node, n int) {
	var leaves []int
	d.eachWorker(node, func(worker int) {
		if leaf := d.topology.leaf[worker]; c.free[leaf] > 0 {
			leaves = append(leaves, leaf)
		}
	})
	slices.SortStableFunc(leaves, func(a, b int) int { return c.free[b] - c.free[a] })
	for _, leaf := range leaves {
		part := min(n, c.free[leaf])
		if part == 0 {
			break
		}
		c.add(c.free, leaf, -part)
		n -= part
	}
}
