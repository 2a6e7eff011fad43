package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

func runID(r *running) assignment.RunID { return assignment.RunID{Task: r.name, Run: r.run} }

// preempt makes room for a unit of priority 0: it stops work that yields, in the domain in which that costs the least, and
// keeps what is free there for the unit. If room comes by itself early enough, it stops nothing. It returns what the unit
// waits for.
func (p *plan) preempt(w waitingUnit) string {
	if at := p.find(w, true); at != nil {
		p.holdFor(w, at)
		return "what was told to stop still ends"
	}
	if f, ok := p.earliest(w); ok && p.c.has(WaitForRoom) && !f.from.After(p.latestStart(w)) {
		p.holdFor(w, f.at)
		return "room comes in time by itself"
	}
	best, ok := p.bestStops(w)
	if !ok {
		return "no room, and nothing yields"
	}
	if p.c.has(PreemptionBudget) && !w.guaranteed && lostWorkOf(best.runs) > best.worth {
		return "what yields would lose more work than this is worth"
	}
	w.tracked.preemptedAt[w.unit.Tasks[0]] = p.now
	for _, r := range best.runs {
		p.stop(r, whyYields+w.unit.Tasks[0].String())
	}
	if at := p.findIn(w, best.domain, true); at != nil {
		p.holdFor(w, at)
	}
	return "what was told to stop still ends"
}

// Worth of urgent work, in core-seconds of other work for each of its own: if it is in time, and if it is late. With 4.0 and 0.5, and neither
// chances nor nominal lengths, a day with trouble of the users' shifted work was worth 0.023 less (error 0.009, 50 pairs on two sets
// of seeds), and work thrown away took 0.065 of it instead of 0.043.
const (
	worthOnTime = 2.0
	worthLate   = 0.0
)

// budget is how much work may be lost for a unit that starts after a stop on the nodes.
func (p *plan) budget(w waitingUnit, nodes []*node) float64 {
	own := float64(len(w.unit.Tasks)) * w.duration.Seconds() * weight(w.step.Resources)
	if p.c.has(StopsByChance) {
		chance := p.chanceInTime(w, p.now.Add(p.stopDuration), slowestOf(nodes))
		return own * (chance*worthOnTime + (1-chance)*worthLate)
	}
	if w.late {
		return worthLate * own
	}
	return worthOnTime * own
}

func lostWorkOf(runs []*running) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += r.lostWork
	}
	return sum
}

// stopPlan are the runs to stop for a unit, so that it fits into a domain.
type stopPlan struct {
	runs   []*running
	domain []*node
	// nodes are those on which the unit would run; cost is what the stops cost, worth what they may.
	nodes       []*node
	cost, worth float64
}

// bestStops returns the stops for a unit that gain the most; false if nothing that may be stopped makes enough room.
func (p *plan) bestStops(w waitingUnit) (best stopPlan, ok bool) {
	for _, domain := range p.domains(w) {
		for _, d := range p.candidateSets(w, domain) {
			s, fits := p.victims(w, d)
			if !fits {
				continue
			}
			s.worth = p.budget(w, s.nodes)
			if !ok || s.worth-s.cost > best.worth-best.cost {
				best, ok = s, true
			}
		}
	}
	return best, ok
}

// candidateSets are the parts of a domain in which stops are looked for: all of it, and the workers that are not slow.
func (p *plan) candidateSets(w waitingUnit, domain []*node) [][]*node {
	if !p.c.has(StopsByChance) || !p.seeksSpeed(w) {
		return [][]*node{domain}
	}
	if faster := withoutSlow(domain); len(faster) < len(domain) {
		return [][]*node{faster, domain}
	}
	return [][]*node{domain}
}

// guaranteedPatience is how long after its acceptance a job that its team's guarantee covers may wait for room before work is stopped for
// it. Owners' jobs are to begin within 2.9 s on the users' sites; a stop takes up to 0.9 s of that.
const guaranteedPatience = 1200 * time.Millisecond

// latestStart is the latest time at which the unit still may start by itself: later, work is stopped for it.
func (p *plan) latestStart(w waitingUnit) time.Time {
	latest := w.due.Add(-w.duration - p.stopDuration)
	if limit := w.tracked.job.Accepted.Add(guaranteedPatience); w.guaranteed && latest.After(limit) {
		return limit
	}
	return latest
}

// holdFor takes the unit's room off what others see, while what was told to stop still ends.
func (p *plan) holdFor(w waitingUnit, at []*node) {
	for _, n := range at {
		n.reserve(w.step.Reserved())
		n.freeAfterStops = n.freeAfterStops.Plus(w.step.Reserved(), -1)
	}
}

// stop notes that a run is to stop.
func (p *plan) stop(r *running, why string) {
	if r.stopping {
		return
	}
	r.stopping = true
	p.c.metrics.stopped(why)
	r.tracked.stopping[r.name] = r.run
	p.c.desired.markJob(r.tracked)
	r.tracked.causes[r.name] = stopCause(why)
	r.tracked.stoppedAt[r.name] = p.now
	r.node.freeAfterStops = r.node.freeAfterStops.Plus(r.resources, 1)
	p.c.logger.Info().Str("step", "dispatch.stop").Stringer("task", r.name).Int("run", r.run).Str("worker", r.node.name).
		Float64("lost_work_core_s", r.lostWork).Str("why", why).Msg("run is to stop")
}

// mayStop reports whether a run may be stopped for the unit, and in which order: the higher the sooner.
func (p *plan) mayStop(r *running, w waitingUnit) (rank int, ok bool) {
	j := r.tracked.job
	switch {
	case r.stopping || j.LongRunning() || r.onExtraStart():
		return 0, false
	case j.Priority > w.tracked.job.Priority:
		return j.Priority, true
	case w.guaranteed && !p.guaranteed[j.ID] && j.ID != w.tracked.job.ID:
		return 0, true
	}
	return 0, false
}

// victims are the runs to stop so that the unit fits into the domain, and the work that this loses. Worker by worker
// it takes the one that frees room for a task at the least cost.
func (p *plan) victims(w waitingUnit, domain []*node) (s stopPlan, ok bool) {
	s.domain = domain
	left := len(w.unit.Tasks)
	stopped := map[*running]bool{}
	used := map[*node]bool{}
	for left > 0 {
		var best nodeStops
		for _, n := range domain {
			if used[n] || !n.usable || !allowed(w, n) || !p.hasPermit(w, n) {
				continue
			}
			if c := p.preemptOn(w, n, left, stopped); c.tasks > 0 && c.better(best) {
				best = c
			}
		}
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

// nodeStops is what has to be stopped so that a number of tasks fit on a node.
type nodeStops struct {
	node  *node
	tasks int
	// elsewhere is how many tasks fit on other nodes because gangs stop there too.
	elsewhere int
	runs      []*running
	cost      float64
}

func (c nodeStops) costPerTask() float64 { return c.cost / float64(c.tasks+c.elsewhere) }

// better reports whether c costs less for each task than o, or the same and frees more.
func (c nodeStops) better(o nodeStops) bool {
	if o.tasks == 0 || c.costPerTask() != o.costPerTask() {
		return o.tasks == 0 || c.costPerTask() < o.costPerTask()
	}
	return c.tasks+c.elsewhere > o.tasks+o.elsewhere
}

// preemptOn looks for the number of tasks, at most as many as given, that costs the least for each on a node. What has been
// stopped for other nodes costs nothing again.
func (p *plan) preemptOn(w waitingUnit, n *node, most int, stopped map[*running]bool) nodeStops {
	groups := p.groups(w, n, stopped)
	room := n.freeAfterStops
	for _, r := range n.runs {
		if stopped[r] {
			room = room.Plus(r.resources, 1)
		}
	}
	most = min(most, tasksAllowed(w, n))
	best := nodeStops{node: n, tasks: tasksFitting(w.step.Reserved(), room, most)}
	if best.tasks > 0 {
		return best
	}
	var taken []stopGroup
	for i, g := range groups {
		room = room.Plus(g.here(n), 1)
		taken = groups[:i+1]
		tasks := tasksFitting(w.step.Reserved(), room, most)
		if tasks == 0 {
			continue
		}
		c := p.prune(w, n, tasks, room, taken)
		if c.better(best) {
			best = c
		}
	}
	return best
}

// prune leaves out what need not be stopped after all, the dearest first.
func (p *plan) prune(w waitingUnit, n *node, tasks int, room job.Resources, taken []stopGroup) nodeStops {
	c := nodeStops{node: n, tasks: tasks}
	for i := len(taken) - 1; i >= 0; i-- {
		less := room.Plus(taken[i].here(n), -1)
		if tasksFitting(w.step.Reserved(), less, tasks) == tasks {
			room = less
			continue
		}
		c.runs = append(c.runs, taken[i].runs...)
		c.cost += taken[i].cost
	}
	c.elsewhere = freedElsewhere(w, c)
	return c
}

// freedElsewhere counts the tasks that fit on other nodes once a preemption's runs have stopped, up to what the unit needs.
func freedElsewhere(w waitingUnit, c nodeStops) int {
	room := map[*node]job.Resources{}
	for _, r := range c.runs {
		if r.node == c.node || !allowed(w, r.node) {
			continue
		}
		if _, ok := room[r.node]; !ok {
			room[r.node] = r.node.freeAfterStops
		}
		room[r.node] = room[r.node].Plus(r.resources, 1)
	}
	left := len(w.unit.Tasks) - c.tasks
	sum := 0
	for n, free := range room {
		sum += tasksFitting(w.step.Reserved(), free, min(tasksAllowed(w, n), left-sum))
	}
	return sum
}

// stopGroup is what stops together: one run, or all of a gang's, wherever they are.
type stopGroup struct {
	runs []*running
	rank int
	cost float64
}

// here is what the group takes on a node.
func (g stopGroup) here(n *node) job.Resources {
	var sum job.Resources
	for _, r := range g.runs {
		if r.node == n {
			sum = sum.Plus(r.resources, 1)
		}
	}
	return sum
}

// groups are what yields to the unit on a node, the cheapest first.
func (p *plan) groups(w waitingUnit, n *node, stopped map[*running]bool) []stopGroup {
	gangs := map[job.TaskName]bool{}
	var groups []stopGroup
	for _, r := range n.runs {
		rank, ok := p.mayStop(r, w)
		if !ok || stopped[r] {
			continue
		}
		if !r.tracked.job.Steps[r.name.Step].Gang {
			groups = append(groups, stopGroup{runs: []*running{r}, rank: rank, cost: r.stopCost})
			continue
		}
		if first := firstOf(r.name); !gangs[first] {
			gangs[first] = true
			groups = append(groups, p.gangOf(r, rank))
		}
	}
	slices.SortStableFunc(groups, func(a, b stopGroup) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), -cmp.Compare(a.rank, b.rank))
	})
	return groups
}

// gangOf is the group of all runs of a gang that are not told to stop yet.
func (p *plan) gangOf(member *running, rank int) stopGroup {
	g := stopGroup{rank: rank}
	for _, r := range p.gangs[firstOf(member.name)] {
		if !r.stopping {
			g.runs = append(g.runs, r)
			g.cost += r.stopCost
		}
	}
	return g
}

// stallAfter is how long a run may show no progress before it is moved. The percentage of a task moves in whole steps, so
// long tasks get longer.
func stallAfter(estimate time.Duration) time.Duration {
	return max(2500*time.Millisecond, estimate/8)
}

// stalledBelowPercent is the percentage from which on a run has done its work: a member of a gang then waits for the others.
const stalledBelowPercent = 99

// stopStalled stops runs that stand still, so that they start elsewhere. A gang's member stands still also while it waits
// for the others: before they have come, which takes less than a stall, and after its own work is done.
func (p *plan) stopStalled() {
	for _, n := range p.nodes {
		if p.now.Sub(n.heardAt) > p.c.settings.SilentAfter {
			continue
		}
		for _, r := range n.runs {
			step := r.tracked.job.Steps[r.name.Step]
			o, known := n.worker.runs[runID(r)]
			if !known || r.stopping || step.LongRunning || o.percent < 0 || o.percent >= stalledBelowPercent {
				continue
			}
			if p.now.Sub(o.advancedAt) > stallAfter(step.Estimate) {
				p.stop(r, whyStalled)
				if p.c.has(Quarantine) {
					n.health.fault(p.now, r.name.Job)
				}
			}
		}
	}
}

// Bounds of what is moved off a leaving worker.
const (
	// leaveMargin is how long before the worker may go a run must end to be left alone.
	leaveMargin = 200 * time.Millisecond
	// checkpointLead is how long before that a run that saves its work is stopped: a stop takes up to 0.9 s on the users' sites.
	checkpointLead = 1300 * time.Millisecond
)

// stopOnLeavingWorkers stops runs on leaving workers that can't end there in time: those that lose their work anyway at once, the
// others as late as their checkpoint allows. What lasts stays: it serves as long as the worker does.
func (p *plan) stopOnLeavingWorkers() {
	for _, n := range p.nodes {
		if !n.state.Draining || n.worker.leavesAt.IsZero() {
			continue
		}
		last := n.worker.leavesAt.Add(-leaveMargin)
		for _, r := range n.runs {
			step := r.tracked.job.Steps[r.name.Step]
			switch {
			case step.LongRunning || r.stopping || !r.endsAt.After(last):
			case !step.Checkpoint:
				p.stop(r, "its worker leaves before it ends")
			case !p.now.Before(n.worker.leavesAt.Add(-checkpointLead)):
				p.stop(r, "its worker leaves, and its work is saved")
			default:
				p.wakeAt(n.worker.leavesAt.Add(-checkpointLead))
			}
		}
	}
}

// wakeAt sees to it that a pass comes at that time.
func (p *plan) wakeAt(at time.Time) {
	if at.Before(p.c.next) {
		p.c.next = at
	}
}
