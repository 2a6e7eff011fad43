package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/job"
)

// Bounds of the room that is kept free for urgent jobs. An urgent job that finds room starts 0.3 to 0.9 s sooner than one for
// which work has to stop, which is most of the time that short ones have to spare; others can wait for seconds.
const (
	// urgentMemory is for how long an urgent job counts as a sign that others like it will come.
	urgentMemory = time.Minute
	// urgentQuantile is the share of the urgent jobs seen lately that would fit into the headroom. 0.75 and 1.0 were no better.
	urgentQuantile = 0.9
	// mostHeadroom bounds it, as a share of a service's accelerators. With 0.3 and 0.45 it gained less.
	mostHeadroom = 0.6
	// slackSpent is the share of its slack that a job may spend on waiting for other room. With 1.0 it gained less.
	slackSpent = 0.8
	// idlePatience is how long a job of which nothing runs waits for other room: callers may expect that one for which there is
	// room begins within three seconds.
	idlePatience = 2 * time.Second
)

// keepHeadroom marks the workers of each service that are left free for urgent jobs: in the rack with the most room, as many
// as the urgent jobs of the last minute would have needed.
func (p *plan) keepHeadroom() {
	p.headroom = map[*node]bool{}
	for service, want := range p.urgentWidths() {
		p.keepHeadroomFor(service, want)
	}
}

// urgentWidths is, by service, how many accelerators most urgent jobs of the last minute took at once.
func (p *plan) urgentWidths() map[string]int {
	seen := map[string][]int{}
	for _, t := range p.c.jobs {
		if t.job.Priority == 0 && p.now.Sub(t.job.Accepted) < urgentMemory {
			seen[t.job.Service] = append(seen[t.job.Service], widest(t.job))
		}
	}
	widths := map[string]int{}
	for service, all := range seen {
		slices.Sort(all)
		widths[service] = all[int(urgentQuantile*float64(len(all)-1)+0.5)]
	}
	return widths
}

// keepHeadroomFor marks workers of a service until so many free accelerators are marked, the fast ones first.
func (p *plan) keepHeadroomFor(service string, want int) {
	nodes, total := p.roomiestRack(service)
	want = min(want, int(mostHeadroom*float64(total)))
	slices.SortStableFunc(nodes, func(a, b *node) int {
		return cmp.Or(
			cmp.Compare(b.later.Accelerators, a.later.Accelerators),
			p.compareIf(Speeds, cmp.Compare(a.worker.speed.class(), b.worker.speed.class())),
		)
	})
	for _, n := range nodes {
		if want <= 0 || n.later.Accelerators <= 0 {
			return
		}
		p.headroom[n] = true
		want -= n.later.Accelerators
	}
}

// roomiestRack returns the usable workers of a service in the rack where most accelerators are free, and how many accelerators
// the service has in all.
func (p *plan) roomiestRack(service string) (best []*node, total int) {
	most, place := 0, 0
	for _, r := range p.racks {
		free := 0
		var usable []*node
		for _, n := range r.nodes {
			if n.life.Service != service {
				continue
			}
			total += n.life.Room.Accelerators
			if n.usable {
				free += n.later.Accelerators
				usable = append(usable, n)
			}
		}
		if free > most || free == most && free > 0 && r.place < place {
			best, most, place = usable, free, r.place
		}
	}
	return best, total
}

// leavesHeadroom reports whether a unit can wait for room that is not kept for urgent jobs: it is not urgent, something of its
// job runs or it has waited only a moment, and most of its slack is left.
func (p *plan) leavesHeadroom(t *tracked, u job.Unit, due time.Time, chain time.Duration) bool {
	if t.job.Priority == 0 || t.job.Lasting() || !p.c.has(Headroom) {
		return false
	}
	from := t.job.Accepted
	if t.job.Times > 0 {
		from = t.job.DueAt(u.Round)
	}
	waited, slack := p.now.Sub(from), due.Sub(from)-chain
	if waited > time.Duration(slackSpent*float64(slack)) {
		return false
	}
	return t.progress.AnyPlaced() || waited < idlePatience
}
