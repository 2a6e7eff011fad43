package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// An urgent job that finds free room starts sooner, by the time of a stop, than one for which
// work has to stop; short jobs can't spare that. So work that can wait leaves room free for
// urgent jobs like those that came lately.
const (
	// headroomWindow is how long an urgent job counts as a sign that others like it will come.
	headroomWindow = time.Minute
	// headroomQuantile is the share of the urgent jobs in the window that would find room.
	headroomQuantile = 0.9
	// maxHeadroom bounds the room for one urgent job, as a share of a service's accelerators.
	maxHeadroom = 0.6
	// burstWindow is how far apart urgent jobs may come to count as a burst: about the time of
	// a stop.
	burstWindow = time.Second
	// maxBurstHeadroom bounds the room for a burst, as a share of a service's accelerators.
	maxBurstHeadroom = 0.2
	// maxSlackSpent is the share of its slack that a job may spend on leaving headroom free.
	maxSlackSpent = 0.8
	// idlePatience is how long a job with no placed run leaves headroom free. It is less
	// than the 3 s within which callers expect a job to start for which there is room.
	idlePatience = 2 * time.Second
)

// urgentArrival is an urgent job that was accepted, and how many accelerators it takes at once.
type urgentArrival struct {
	service      string
	at           time.Time
	accelerators int
}

// reserveHeadroom marks the nodes of each service that are kept free for urgent jobs.
func (p *plan) reserveHeadroom() {
	for service, arrivals := range p.arrivals {
		p.reserveHeadroomFor(service, arrivals)
	}
}

// reserveHeadroomFor marks nodes of a service: in the rack with the most room as many as most
// single jobs need, and over all racks as many as most bursts need.
func (p *plan) reserveHeadroomFor(service string, arrivals []urgentArrival) {
	racks, total := p.racksByRoom(service)
	if len(racks) == 0 {
		return
	}
	single, burst := quantile(singleNeeds(arrivals)), quantile(burstNeeds(arrivals))
	p.markHeadroom(racks[:1], min(single, int(maxHeadroom*float64(total))))
	p.markHeadroom(racks, min(burst, int(maxBurstHeadroom*float64(total))))
}

// recentArrivals drops urgent jobs that came before the window, and lists the others by
// service, in the order of their acceptance.
func (c *Controller) recentArrivals(now time.Time) map[string][]urgentArrival {
	c.arrivals = slices.DeleteFunc(c.arrivals, func(a urgentArrival) bool {
		return now.Sub(a.at) >= headroomWindow
	})
	recent := map[string][]urgentArrival{}
	for _, a := range c.arrivals {
		recent[a.service] = append(recent[a.service], a)
	}
	for _, arrivals := range recent {
		slices.SortFunc(arrivals, func(a, b urgentArrival) int { return a.at.Compare(b.at) })
	}
	return recent
}

// singleNeeds is how many accelerators each of the jobs takes.
func singleNeeds(arrivals []urgentArrival) []int {
	needs := make([]int, len(arrivals))
	for i, a := range arrivals {
		needs[i] = a.accelerators
	}
	return needs
}

// burstNeeds is how many accelerators each of the jobs takes with those that follow within
// burstWindow.
func burstNeeds(arrivals []urgentArrival) []int {
	needs := make([]int, len(arrivals))
	for i, a := range arrivals {
		for _, b := range arrivals[i:] {
			if b.at.Sub(a.at) >= burstWindow {
				break
			}
			needs[i] += b.accelerators
		}
	}
	return needs
}

// quantile is the headroomQuantile of the needs.
func quantile(needs []int) int {
	slices.Sort(needs)
	return needs[int(headroomQuantile*float64(len(needs)-1)+0.5)]
}

// markHeadroom marks nodes of the racks, in their order, until so many free accelerators are
// marked.
func (p *plan) markHeadroom(racks [][]*node, accelerators int) {
	for _, nodes := range racks {
		slices.SortStableFunc(nodes, func(a, b *node) int {
			return cmp.Or(
				cmp.Compare(b.freeAfterStops.Accelerators, a.freeAfterStops.Accelerators),
				p.compareIf(Speeds, cmp.Compare(a.speed.Class(), b.speed.Class())),
			)
		})
		for _, n := range nodes {
			if accelerators <= 0 {
				return
			}
			if n.freeAfterStops.Accelerators > 0 {
				p.headroom[n] = true
				accelerators -= n.freeAfterStops.Accelerators
			}
		}
	}
}

// racksByRoom returns the usable nodes of a service by rack, the racks with the most free
// accelerators first, and how many accelerators the service has in all.
func (p *plan) racksByRoom(service string) (racks [][]*node, total int) {
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
		return cmp.Or(cmp.Compare(free[y], free[x]), cmp.Compare(x.order, y.order))
	})
	return racks, total
}

// leavesHeadroom reports whether a unit can wait for room that is not kept for urgent jobs: it
// is not urgent, most of its slack is left, and something of its job runs or it has waited only
// a moment.
func (p *plan) leavesHeadroom(t *trackedJob, u job.Unit, due time.Time, chain time.Duration) bool {
	if t.job.Priority == 0 || t.job.LongRunning() || !p.has(Headroom) {
		return false
	}
	start := t.job.RoundStart(u.Round)
	waited, slack := p.now.Sub(start), due.Sub(start)-chain
	if waited > time.Duration(maxSlackSpent*float64(slack)) {
		return false
	}
	return t.progress.AnyPlaced() || waited < idlePatience
}
