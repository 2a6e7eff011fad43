package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Bounds of the room that is kept free for urgent jobs. An urgent job that finds room starts 0.3 to 0.9 s sooner than one for
// which work has to stop, which is most of the time that short ones have to spare; others can wait for seconds.
const (
	// headroomWindow is for how long an urgent job counts as a sign that others like it will come.
	headroomWindow = time.Minute
	// headroomQuantile is the share of the urgent jobs seen lately that would fit into the headroom. 0.75 and 1.0 were no better.
	headroomQuantile = 0.9
	// maxHeadroom bounds it, as a share of a service's accelerators. With 0.3 and 0.45 it gained less.
	maxHeadroom = 0.6
	// Where several urgent jobs come at once, most of these moments are to fit in too: burstSpan is how far apart they may come, about
	// what a stop takes until its room is free, and mostBurst bounds the room for them, as a share of a service's accelerators. On 240 workers,
	// without this and without gangs on few workers, 0.015 of a day (error 0.007, ten days in pairs) more was lost of work thrown away.
	burstWindow      = time.Second
	maxBurstHeadroom = 0.2
	// maxSlackSpent is the share of its slack that a job may spend on waiting for other room. With 1.0 it gained less.
	maxSlackSpent = 0.8
	// idlePatience is how long a job of which nothing runs waits for other room: callers may expect that one for which there is
	// room begins within three seconds.
	idlePatience = 2 * time.Second
)

// reserveHeadroom marks the workers of each service that are left free for urgent jobs: in the racks with the most room, as many
// as the urgent jobs of the last minute would have needed.
func (p *plan) reserveHeadroom() {
	p.headroom = map[*node]bool{}
	for service, seen := range p.urgentSeen() {
		p.reserveHeadroomFor(service, seen)
	}
}

// urgentArrival is an urgent job that was accepted a while ago, and how many accelerators it takes at once.
type urgentArrival struct {
	service      string
	at           time.Time
	accelerators int
}

// urgentSeen lists, by service, the urgent jobs of the last minute in the order in which they came.
func (p *plan) urgentSeen() map[string][]urgentArrival {
	seen := map[string][]urgentArrival{}
	p.c.arrivals = slices.DeleteFunc(p.c.arrivals, func(a urgentArrival) bool { return p.now.Sub(a.at) >= headroomWindow })
	for _, a := range p.c.arrivals {
		seen[a.service] = append(seen[a.service], a)
	}
	for _, all := range seen {
		slices.SortFunc(all, func(a, b urgentArrival) int { return a.at.Compare(b.at) })
	}
	return seen
}

// singly is how many accelerators each of the jobs takes.
func singly(seen []urgentArrival) []int {
	widths := make([]int, len(seen))
	for i, a := range seen {
		widths[i] = a.accelerators
	}
	return widths
}

// together is how many accelerators each of the jobs takes with those that come within burstSpan after it.
func together(seen []urgentArrival) []int {
	sums := make([]int, len(seen))
	for i, a := range seen {
		for _, b := range seen[i:] {
			if b.at.Sub(a.at) >= burstWindow {
				break
			}
			sums[i] += b.accelerators
		}
	}
	return sums
}

// mostOf is the urgentQuantile of what was needed.
func mostOf(needed []int) int {
	slices.Sort(needed)
	return needed[int(headroomQuantile*float64(len(needed)-1)+0.5)]
}

// reserveHeadroomFor marks workers of a service: in the rack with the most room for most single jobs, and over all racks for most of the
// moments at which several came.
func (p *plan) reserveHeadroomFor(service string, seen []urgentArrival) {
	racks, total := p.roomyRacks(service)
	if len(racks) == 0 {
		return
	}
	p.markHeadroom(racks[:1], min(mostOf(singly(seen)), int(maxHeadroom*float64(total))))
	p.markHeadroom(racks, min(mostOf(together(seen)), int(maxBurstHeadroom*float64(total))))
}

// markHeadroom marks workers of the racks, in their order, until so many free accelerators are marked.
func (p *plan) markHeadroom(racks [][]*node, want int) {
	for _, nodes := range racks {
		slices.SortStableFunc(nodes, func(a, b *node) int {
			return cmp.Or(
				cmp.Compare(b.freeAfterStops.Accelerators, a.freeAfterStops.Accelerators),
				p.compareIf(Speeds, cmp.Compare(a.worker.speed.class(), b.worker.speed.class())),
			)
		})
		for _, n := range nodes {
			if want <= 0 {
				return
			}
			if n.freeAfterStops.Accelerators > 0 {
				p.headroom[n] = true
				want -= n.freeAfterStops.Accelerators
			}
		}
	}
}

// roomyRacks returns the usable workers of a service by racks, those with the most free accelerators first, and how many accelerators
// the service has in all.
func (p *plan) roomyRacks(service string) (racks [][]*node, total int) {
	free := map[*rack]int{}
	for _, r := range p.racks {
		var usable []*node
		for _, n := range r.nodes {
			if n.state.Service != service || n.cordoned {
				continue
			}
			total += n.state.Capacity.Accelerators
			if n.usable {
				free[r] += max(n.freeAfterStops.Accelerators, 0)
				usable = append(usable, n)
			}
		}
		if len(usable) > 0 {
			racks = append(racks, usable)
		}
	}
	slices.SortFunc(racks, func(a, b []*node) int {
		x, y := a[0].rack, b[0].rack
		return cmp.Or(-cmp.Compare(free[x], free[y]), cmp.Compare(x.order, y.order))
	})
	return racks, total
}

// leavesHeadroom reports whether a unit can wait for room that is not kept for urgent jobs: it is not urgent, something of its
// job runs or it has waited only a moment, and most of its slack is left.
func (p *plan) leavesHeadroom(t *trackedJob, u job.Unit, due time.Time, chain time.Duration) bool {
	if t.job.Priority == 0 || t.job.LongRunning() || !p.c.has(Headroom) {
		return false
	}
	from := t.job.Accepted
	if t.job.RoundCount > 0 {
		from = t.job.DueAt(u.Round)
	}
	waited, slack := p.now.Sub(from), due.Sub(from)-chain
	if waited > time.Duration(maxSlackSpent*float64(slack)) {
		return false
	}
	return t.progress.AnyPlaced() || waited < idlePatience
}
