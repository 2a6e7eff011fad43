package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// An urgent job that finds free capacity starts sooner than one that has to wait for stops, by the
// duration of a stop, and short jobs can't afford that delay. So work that can wait leaves capacity
// free for urgent jobs like those that arrived recently.
const (
	// headroomWindow is how long the arrival of an urgent job predicts similar ones.
	headroomWindow = time.Minute
	// headroomQuantile is the share of the urgent jobs in the window that would find free capacity.
	headroomQuantile = 0.9
	// maxHeadroom bounds the capacity for one urgent job, as a share of a service's accelerators.
	maxHeadroom = 0.6
	// burstWindow is the longest time between urgent jobs that count as a burst: about the duration
	// of a stop.
	burstWindow = time.Second
	// maxBurstHeadroom bounds the capacity for a burst, as a share of a service's accelerators.
	maxBurstHeadroom = 0.2
	// maxSlackSpent is the share of its slack that a job may spend on leaving headroom free.
	maxSlackSpent = 0.8
	// idleMaxWait is how long a job with no placed run leaves headroom free. It is shorter than the
	// 3 s within which callers expect a job to start if there is capacity for it.
	idleMaxWait = 2 * time.Second
)

// urgentArrival is an urgent job that was accepted, with its peak number of accelerators.
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

// reserveHeadroomFor marks nodes of a service: in the rack with the most free capacity as many as
// most single jobs need, and across all racks as many as most bursts need.
func (p *plan) reserveHeadroomFor(service string, arrivals []urgentArrival) {
	racks, total := p.racksByFreeCapacity(service)
	if len(racks) == 0 {
		return
	}
	single, burst := quantile(singleNeeds(arrivals)), quantile(burstNeeds(arrivals))
	p.markHeadroom(racks[:1], min(single, int(maxHeadroom*float64(total))))
	p.markHeadroom(racks, min(burst, int(maxBurstHeadroom*float64(total))))
}

// recentArrivals drops urgent jobs that arrived before the window, and returns the others by
// service, in order of acceptance.
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

// singleNeeds returns how many accelerators each of the jobs needs.
func singleNeeds(arrivals []urgentArrival) []int {
	needs := make([]int, len(arrivals))
	for i, a := range arrivals {
		needs[i] = a.accelerators
	}
	return needs
}

// burstNeeds returns how many accelerators each of the jobs needs together with those that follow
// within burstWindow.
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

// quantile returns the headroomQuantile of the needs.
func quantile(needs []int) int {
	slices.Sort(needs)
	return needs[int(headroomQuantile*float64(len(needs)-1)+0.5)]
}

// markHeadroom marks nodes, rack by rack, until the given number of free accelerators is marked.
func (p *plan) markHeadroom(racks [][]*node, accelerators int) {
	for _, nodes := range racks {
		slices.SortStableFunc(nodes, func(a, b *node) int {
			return cmp.Or(
				compareBool(a.likelyToLeave, b.likelyToLeave),
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

// racksByFreeCapacity returns the usable nodes of a service by rack, racks with the most free
// accelerators first, on workers that are not likely to leave if any are, and the total number of
// accelerators of the service.
func (p *plan) racksByFreeCapacity(service string) (racks [][]*node, total int) {
	free, staying := map[*rack]int{}, map[*rack]int{}
	for _, r := range p.racks {
		var usable []*node
		for _, n := range r.nodes {
			if n.state.Service != service || n.cordoned {
				continue
			}
			total += n.state.Capacity.Accelerators
			if n.usable && !n.slowed {
				free[r] += max(n.freeAfterStops.Accelerators, 0)
				if !n.likelyToLeave {
					staying[r] += max(n.freeAfterStops.Accelerators, 0)
				}
				usable = append(usable, n)
			}
		}
		if len(usable) > 0 {
			racks = append(racks, usable)
		}
	}
	slices.SortFunc(racks, func(a, b []*node) int {
		x, y := a[0].rack, b[0].rack
		return cmp.Or(
			cmp.Compare(staying[y], staying[x]),
			cmp.Compare(free[y], free[x]),
			cmp.Compare(x.order, y.order),
		)
	})
	return racks, total
}

// leavesHeadroom reports whether a unit can wait for capacity outside the headroom for urgent jobs:
// it is not urgent, most of its slack is left, and its job has placed runs or has only waited
// briefly.
func (p *plan) leavesHeadroom(t *trackedJob, u job.Unit, due time.Time, chain time.Duration) bool {
	if t.job.Priority == 0 || t.job.LongRunning() || !p.has(Headroom) {
		return false
	}
	start := t.job.RoundStart(u.Round)
	waited, slack := p.now.Sub(start), due.Sub(start)-chain
	if waited > time.Duration(maxSlackSpent*float64(slack)) {
		return false
	}
	return t.progress.AnyPlaced() || waited < idleMaxWait
}
