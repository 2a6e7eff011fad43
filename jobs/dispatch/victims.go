package dispatch

import (
	"cmp"
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// stopPlan is the runs to stop so that a unit fits into a domain.
type stopPlan struct {
	runs   []*running
	domain []*node
	// nodes are those on which the unit would run.
	nodes []*node
	// cost is what the stops cost, worth what they may; in core-seconds.
	cost, worth float64
}

// bestStops returns the stops for a unit that gain the most; false if nothing that may be
// stopped makes enough room.
func (p *plan) bestStops(w waitingUnit) (best stopPlan, ok bool) {
	for _, domain := range p.domains(w) {
		for _, nodes := range p.candidateSets(w, domain) {
			s, fits := p.victims(w, nodes)
			if !fits {
				continue
			}
			s.worth = p.worth(w, s.nodes)
			if !ok || s.worth-s.cost > best.worth-best.cost {
				best, ok = s, true
			}
		}
	}
	return best, ok
}

// candidateSets are the parts of a domain in which stops are planned: all of it and, for units
// that seek speed, the workers that are not slow.
func (p *plan) candidateSets(w waitingUnit, domain []*node) [][]*node {
	if !p.has(StopsByChance) || !p.seeksSpeed(w) {
		return [][]*node{domain}
	}
	if faster := withoutSlow(domain); len(faster) < len(domain) {
		return [][]*node{faster, domain}
	}
	return [][]*node{domain}
}

// withoutSlow returns those of the nodes that are not known to be slow.
func withoutSlow(nodes []*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.speed.Class() == estimate.Slow })
}

// victims are the runs to stop so that the unit fits into the domain; false if it can't. Node
// by node it takes the one that frees room for tasks at the least cost for each.
func (p *plan) victims(w waitingUnit, domain []*node) (s stopPlan, ok bool) {
	s.domain = domain
	left := len(w.unit.Tasks)
	stopped := map[*running]bool{}
	used := map[*node]bool{}
	for left > 0 {
		best := p.cheapestNode(w, domain, left, used, stopped)
		if best.tasks == 0 {
			return s, false
		}
		for _, r := range best.runs {
			stopped[r] = true
		}
		s.runs = append(s.runs, best.runs...)
		s.nodes = append(s.nodes, best.node)
		s.cost += best.cost
		left -= best.tasks
		used[best.node] = true
	}
	return s, true
}

// cheapestNode is the node, of those that are not used yet, that frees room for up to limit
// tasks at the least cost for each. Without one its tasks are 0.
func (p *plan) cheapestNode(
	w waitingUnit, domain []*node, limit int, used map[*node]bool, stopped map[*running]bool,
) (best nodeStops) {
	for _, n := range domain {
		if used[n] || !n.usable || !allowed(w, n) || !p.hasPermit(w, n) {
			continue
		}
		if s := p.stopsOn(w, n, limit, stopped); s.tasks > 0 && s.better(best) {
			best = s
		}
	}
	return best
}

// nodeStops is what has to be stopped so that a number of tasks fit on a node.
type nodeStops struct {
	node  *node
	tasks int
	// elsewhere is how many tasks fit on other nodes because gangs stop there too.
	elsewhere int
	runs      []*running
	cost      float64
}

func (s nodeStops) costPerTask() float64 { return s.cost / float64(s.tasks+s.elsewhere) }

// better reports whether s costs less for each task than o, or the same and frees more.
func (s nodeStops) better(o nodeStops) bool {
	if o.tasks == 0 || s.costPerTask() != o.costPerTask() {
		return o.tasks == 0 || s.costPerTask() < o.costPerTask()
	}
	return s.tasks+s.elsewhere > o.tasks+o.elsewhere
}

// stopsOn looks for the number of tasks, up to limit, that costs the least for each on a node.
// What is stopped for other nodes already costs nothing again.
func (p *plan) stopsOn(w waitingUnit, n *node, limit int, stopped map[*running]bool) nodeStops {
	groups := p.stopGroups(w, n, stopped)
	free := n.freeAfterStops
	for _, r := range n.runs {
		if stopped[r] {
			free = free.Plus(r.resources, 1)
		}
	}
	limit = min(limit, tasksAllowed(w, n))
	best := nodeStops{node: n, tasks: tasksFitting(w.step.Reserved(), free, limit)}
	if best.tasks > 0 {
		return best
	}
	for i, g := range groups {
		free = free.Plus(g.usedOn(n), 1)
		tasks := tasksFitting(w.step.Reserved(), free, limit)
		if tasks == 0 {
			continue
		}
		if s := prune(w, n, tasks, free, groups[:i+1]); s.better(best) {
			best = s
		}
	}
	return best
}

// prune leaves out what need not be stopped for so many tasks after all, the most expensive first.
func prune(w waitingUnit, n *node, tasks int, free job.Resources, groups []stopGroup) nodeStops {
	s := nodeStops{node: n, tasks: tasks}
	for _, g := range slices.Backward(groups) {
		less := free.Plus(g.usedOn(n), -1)
		if tasksFitting(w.step.Reserved(), less, tasks) == tasks {
			free = less
			continue
		}
		s.runs = append(s.runs, g.runs...)
		s.cost += g.cost
	}
	s.elsewhere = freedElsewhere(w, s)
	return s
}

// freedElsewhere counts the tasks, up to what the unit needs, that fit on other nodes once the
// runs have stopped.
func freedElsewhere(w waitingUnit, s nodeStops) int {
	free := map[*node]job.Resources{}
	for _, r := range s.runs {
		if r.node == s.node || !allowed(w, r.node) {
			continue
		}
		if _, ok := free[r.node]; !ok {
			free[r.node] = r.node.freeAfterStops
		}
		free[r.node] = free[r.node].Plus(r.resources, 1)
	}
	left := len(w.unit.Tasks) - s.tasks
	sum := 0
	for n, f := range free {
		sum += tasksFitting(w.step.Reserved(), f, min(tasksAllowed(w, n), left-sum))
	}
	return sum
}

// stopGroup is what stops together: one run, or all of a gang's, wherever they are.
type stopGroup struct {
	runs []*running
	rank int
	cost float64
}

// usedOn is what the group uses on a node.
func (g stopGroup) usedOn(n *node) job.Resources {
	var sum job.Resources
	for _, r := range g.runs {
		if r.node == n {
			sum = sum.Plus(r.resources, 1)
		}
	}
	return sum
}

// stopGroups are what may be stopped for the unit on a node, the cheapest first.
func (p *plan) stopGroups(w waitingUnit, n *node, stopped map[*running]bool) []stopGroup {
	gangs := map[job.TaskName]bool{}
	var groups []stopGroup
	for _, r := range n.runs {
		rank, ok := p.mayStop(r, w)
		if !ok || stopped[r] {
			continue
		}
		if !r.step().Gang {
			groups = append(groups, stopGroup{runs: []*running{r}, rank: rank, cost: r.stopCost})
			continue
		}
		if first := firstOf(r.name); !gangs[first] {
			gangs[first] = true
			groups = append(groups, p.gangGroup(r, rank))
		}
	}
	slices.SortStableFunc(groups, func(a, b stopGroup) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.rank, a.rank))
	})
	return groups
}

// gangGroup is the group of all runs of a gang that are not told to stop yet.
func (p *plan) gangGroup(member *running, rank int) stopGroup {
	g := stopGroup{rank: rank}
	for _, r := range p.gangs[firstOf(member.name)] {
		if !r.stopping {
			g.runs = append(g.runs, r)
			g.cost += r.stopCost
		}
	}
	return g
}
