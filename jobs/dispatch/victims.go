package dispatch

import (
	"cmp"
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// stopPlan is a set of runs to stop so that a unit fits into a domain.
type stopPlan struct {
	runs   []*running
	domain []*node
	// nodes are those on which the unit would run.
	nodes []*node
	// cost is the cost of the stops, budget how much work may be lost for the unit, both in
	// core-seconds.
	cost, budget float64
}

// bestStops returns the stops for a unit with the largest net benefit; false if stopping every
// eligible run does not free enough capacity.
func (p *plan) bestStops(w waitingUnit) (best stopPlan, ok bool) {
	for _, domain := range p.domains(w) {
		if domain.fallback && ok {
			break
		}
		for _, nodes := range p.candidateSets(w, domain.nodes) {
			s, fits := p.victims(w, nodes)
			if !fits {
				continue
			}
			s.budget = p.preemptionBudget(w, s.nodes)
			if !ok || s.budget-s.cost > best.budget-best.cost {
				best, ok = s, true
			}
		}
	}
	return best, ok
}

// candidateSets returns the parts of a domain in which stops are planned: the whole domain and, for
// units that prefer fast workers, its workers that are not slow.
func (p *plan) candidateSets(w waitingUnit, domain []*node) [][]*node {
	if !p.has(ProbabilisticPreemption) || !p.prefersFastWorkers(w) {
		return [][]*node{domain}
	}
	if faster := withoutSlow(domain); len(faster) < len(domain) {
		return [][]*node{faster, domain}
	}
	return [][]*node{domain}
}

// withoutSlow returns the nodes that are not known to be slow.
func withoutSlow(nodes []*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.speed.Class() == estimate.Slow })
}

// victims selects the runs to stop so that the unit fits into the domain; false if it can't fit. It
// greedily picks the node that frees capacity for tasks at the lowest cost per task.
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

// cheapestNode returns the unused node that frees capacity for up to limit tasks at the lowest cost
// per task. If there is none, the number of tasks is 0.
func (p *plan) cheapestNode(
	w waitingUnit, domain []*node, limit int, used map[*node]bool, stopped map[*running]bool,
) (best nodeStops) {
	for _, n := range domain {
		if used[n] || !n.usable || !allowed(w, n) || !p.trusts(w, n) || !p.hasPermit(w, n) {
			continue
		}
		if s := p.stopsOn(w, n, limit, stopped); s.tasks > 0 && s.better(best) {
			best = s
		}
	}
	return best
}

// nodeStops is the set of runs to stop so that a number of tasks fit on a node.
type nodeStops struct {
	node  *node
	tasks int
	// elsewhere is how many tasks fit on other nodes because gangs stop there too.
	elsewhere int
	runs      []*running
	cost      float64
}

func (s nodeStops) costPerTask() float64 { return s.cost / float64(s.tasks+s.elsewhere) }

// better reports whether s costs less per task than o, or the same and frees capacity for more
// tasks.
func (s nodeStops) better(o nodeStops) bool {
	if o.tasks == 0 || s.costPerTask() != o.costPerTask() {
		return o.tasks == 0 || s.costPerTask() < o.costPerTask()
	}
	return s.tasks+s.elsewhere > o.tasks+o.elsewhere
}

// stopsOn finds the number of tasks, up to limit, with the lowest cost per task on a node. Runs
// that are already stopped for other nodes cost nothing more.
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

// prune omits the runs that need not be stopped to fit the given number of tasks, most expensive
// first.
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

// freedElsewhere counts the tasks, up to what the unit needs, that fit on other nodes once the runs
// have stopped.
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

// stopGroup is a set of runs that stop together: a single run, or all runs of a gang on any node.
type stopGroup struct {
	runs []*running
	rank int
	cost float64
}

// usedOn returns the resources that the group uses on a node.
func (g stopGroup) usedOn(n *node) job.Resources {
	var sum job.Resources
	for _, r := range g.runs {
		if r.node == n {
			sum = sum.Plus(r.resources, 1)
		}
	}
	return sum
}

// stopGroups returns the groups that may be stopped for the unit on a node, cheapest first.
func (p *plan) stopGroups(w waitingUnit, n *node, stopped map[*running]bool) []stopGroup {
	gangs := map[job.TaskName]bool{}
	var groups []stopGroup
	for _, r := range n.runs {
		rank, ok := p.mayPreempt(r, w)
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

// gangGroup returns the group of all runs of a gang that are not stopping yet.
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
