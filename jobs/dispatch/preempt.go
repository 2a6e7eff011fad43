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
func (p *plan) preempt(w waiting) string {
	if at := p.find(w, true); at != nil {
		p.keep(w, at)
		return "what was told to stop still ends"
	}
	if f, ok := p.earliest(w); ok && p.c.has(WaitForRoom) && !f.when.After(p.latestStart(w)) {
		p.keep(w, f.at)
		return "room comes in time by itself"
	}
	best, ok := p.bestStops(w)
	if !ok {
		return "no room, and nothing yields"
	}
	if p.c.has(PreemptionBudget) && !w.guaranteed && lostWorkOf(best.runs) > best.worth {
		return "what yields would lose more work than this is worth"
	}
	w.tracked.preemptedFor[w.unit.Tasks[0]] = p.now
	for _, r := range best.runs {
		p.stop(r, whyYields+w.unit.Tasks[0].String())
	}
	if at := p.findIn(w, best.domain, true); at != nil {
		p.keep(w, at)
	}
	return "what was told to stop still ends"
}

// Worth of urgent work, in core-seconds of other work for each of its own: if it is in time, and if it is late. With 4.0 and 0.5, and neither
// chances nor nominal lengths, a day with trouble of the users' shifted work was worth 0.023 less (error 0.009, 50 pairs on two sets
// of seeds), and work thrown away took 0.065 of it instead of 0.043.
const (
	worthInTime = 2.0
	worthLate   = 0.0
)

// budget is how much work may be lost for a unit that starts after a stop on the nodes.
func (p *plan) budget(w waiting, nodes []*node) float64 {
	own := float64(len(w.unit.Tasks)) * w.length.Seconds() * weight(w.step.Resources)
	if p.c.has(StopsByChance) {
		chance := p.chance(w, p.now.Add(p.stopTime), slowestOf(nodes))
		return own * (chance*worthInTime + (1-chance)*worthLate)
	}
	if w.late {
		return worthLate * own
	}
	return worthInTime * own
}

func lostWorkOf(runs []*running) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += r.lostWork
	}
	return sum
}

// stops are the runs to stop for a unit, so that it fits into a domain.
type stops struct {
	runs   []*running
	domain []*node
	// nodes are those on which the unit would run; cost is what the stops cost, worth what they may.
	nodes       []*node
	cost, worth float64
}

// bestStops returns the stops for a unit that gain the most; false if nothing that may be stopped makes enough room.
func (p *plan) bestStops(w waiting) (best stops, ok bool) {
	for _, domain := range p.domains(w) {
		for _, d := range p.choices(w, domain) {
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

// choices are the parts of a domain in which stops are looked for: all of it, and the workers that are not slow.
func (p *plan) choices(w waiting, domain []*node) [][]*node {
	if !p.c.has(StopsByChance) || !p.seeksSpeed(w) {
		return [][]*node{domain}
	}
	if faster := withoutSlow(domain); len(faster) < len(domain) {
		return [][]*node{faster, domain}
	}
	return [][]*node{domain}
}

// patienceOfOwners is how long after its acceptance a job that its team's guarantee covers may wait for room before work is stopped for
// it. Owners' jobs are to begin within 2.9 s on the users' sites; a stop takes up to 0.9 s of that.
const patienceOfOwners = 1200 * time.Millisecond

// latestStart is the latest time at which the unit still may start by itself: later, work is stopped for it.
func (p *plan) latestStart(w waiting) time.Time {
	latest := w.due.Add(-w.length - p.stopTime)
	if limit := w.tracked.job.Accepted.Add(patienceOfOwners); w.guaranteed && latest.After(limit) {
		return limit
	}
	return latest
}

// keep takes the unit's room off what others see, while what was told to stop still ends.
func (p *plan) keep(w waiting, at []*node) {
	for _, n := range at {
		n.take(w.step.Reserved())
		n.later = n.later.Plus(w.step.Reserved(), -1)
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
	p.c.wants.change(r.tracked)
	r.tracked.causes[r.name] = stopCause(why)
	r.tracked.stoppedAt[r.name] = p.now
	r.node.later = r.node.later.Plus(r.need, 1)
	p.c.logger.Info().Str("step", "dispatch.stop").Stringer("task", r.name).Int("run", r.run).Str("worker", r.node.name).
		Float64("lost_work_core_s", r.lostWork).Str("why", why).Msg("run is to stop")
}

// yields reports whether a run may be stopped for the unit, and in which order: the higher the sooner.
func (p *plan) yields(r *running, w waiting) (rank int, ok bool) {
	j := r.tracked.job
	switch {
	case r.stopping || j.LongRunning() || r.lastStarts():
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
func (p *plan) victims(w waiting, domain []*node) (s stops, ok bool) {
	s.domain = domain
	left := len(w.unit.Tasks)
	stopped := map[*running]bool{}
	used := map[*node]bool{}
	for left > 0 {
		var best preemption
		for _, n := range domain {
			if used[n] || !n.usable || !allowed(w, n) || !p.hasTicket(w, n) {
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

// preemption is what has to be stopped so that a number of tasks fit on a node.
type preemption struct {
	node  *node
	tasks int
	// elsewhere is how many tasks fit on other nodes because gangs stop there too.
	elsewhere int
	runs      []*running
	cost      float64
}

func (c preemption) costPerTask() float64 { return c.cost / float64(c.tasks+c.elsewhere) }

// better reports whether c costs less for each task than o, or the same and frees more.
func (c preemption) better(o preemption) bool {
	if o.tasks == 0 || c.costPerTask() != o.costPerTask() {
		return o.tasks == 0 || c.costPerTask() < o.costPerTask()
	}
	return c.tasks+c.elsewhere > o.tasks+o.elsewhere
}

// preemptOn looks for the number of tasks, at most as many as given, that costs the least for each on a node. What has been
// stopped for other nodes costs nothing again.
func (p *plan) preemptOn(w waiting, n *node, most int, stopped map[*running]bool) preemption {
	groups := p.groups(w, n, stopped)
	room := n.later
	for _, r := range n.runs {
		if stopped[r] {
			room = room.Plus(r.need, 1)
		}
	}
	most = min(most, bound(w, n))
	best := preemption{node: n, tasks: count(w.step.Reserved(), room, most)}
	if best.tasks > 0 {
		return best
	}
	var taken []group
	for i, g := range groups {
		room = room.Plus(g.here(n), 1)
		taken = groups[:i+1]
		tasks := count(w.step.Reserved(), room, most)
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
func (p *plan) prune(w waiting, n *node, tasks int, room job.Resources, taken []group) preemption {
	c := preemption{node: n, tasks: tasks}
	for i := len(taken) - 1; i >= 0; i-- {
		less := room.Plus(taken[i].here(n), -1)
		if count(w.step.Reserved(), less, tasks) == tasks {
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
func freedElsewhere(w waiting, c preemption) int {
	room := map[*node]job.Resources{}
	for _, r := range c.runs {
		if r.node == c.node || !allowed(w, r.node) {
			continue
		}
		if _, ok := room[r.node]; !ok {
			room[r.node] = r.node.later
		}
		room[r.node] = room[r.node].Plus(r.need, 1)
	}
	left := len(w.unit.Tasks) - c.tasks
	sum := 0
	for n, free := range room {
		sum += count(w.step.Reserved(), free, min(bound(w, n), left-sum))
	}
	return sum
}

// group is what stops together: one run, or all of a gang's, wherever they are.
type group struct {
	runs []*running
	rank int
	cost float64
}

// here is what the group takes on a node.
func (g group) here(n *node) job.Resources {
	var sum job.Resources
	for _, r := range g.runs {
		if r.node == n {
			sum = sum.Plus(r.need, 1)
		}
	}
	return sum
}

// groups are what yields to the unit on a node, the cheapest first.
func (p *plan) groups(w waiting, n *node, stopped map[*running]bool) []group {
	gangs := map[job.TaskName]bool{}
	var groups []group
	for _, r := range n.runs {
		rank, ok := p.yields(r, w)
		if !ok || stopped[r] {
			continue
		}
		if !r.tracked.job.Steps[r.name.Step].Gang {
			groups = append(groups, group{runs: []*running{r}, rank: rank, cost: r.cost})
			continue
		}
		if first := firstOf(r.name); !gangs[first] {
			gangs[first] = true
			groups = append(groups, p.gangOf(r, rank))
		}
	}
	slices.SortStableFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), -cmp.Compare(a.rank, b.rank))
	})
	return groups
}

// gangOf is the group of all runs of a gang that are not told to stop yet.
func (p *plan) gangOf(member *running, rank int) group {
	g := group{rank: rank}
	for _, r := range p.gangs[firstOf(member.name)] {
		if !r.stopping {
			g.runs = append(g.runs, r)
			g.cost += r.cost
		}
	}
	return g
}

// stallAfter is how long a run may show no progress before it is moved. The percentage of a task moves in whole steps, so
// long tasks get longer.
func stallAfter(estimate time.Duration) time.Duration {
	return max(2500*time.Millisecond, estimate/8)
}

// workDone is the percentage from which on a run has done its work: a member of a gang then waits for the others.
const workDone = 99

// moveStalled stops runs that stand still, so that they start elsewhere. A gang's member stands still also while it waits
// for the others: before they have come, which takes less than a stall, and after its own work is done.
func (p *plan) moveStalled() {
	for _, n := range p.nodes {
		if p.now.Sub(n.heard) > p.c.settings.SilentAfter {
			continue
		}
		for _, r := range n.runs {
			step := r.tracked.job.Steps[r.name.Step]
			o, known := n.worker.runs[runID(r)]
			if !known || r.stopping || step.LongRunning || o.percent < 0 || o.percent >= workDone {
				continue
			}
			if p.now.Sub(o.advanced) > stallAfter(step.Estimate) {
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
	// stayMargin is how long before the worker may go a run must end to be left alone.
	stayMargin = 200 * time.Millisecond
	// saveAhead is how long before that a run that saves its work is stopped: a stop takes up to 0.9 s on the users' sites.
	saveAhead = 1300 * time.Millisecond
)

// evacuate stops runs on leaving workers that can't end there in time: those that lose their work anyway at once, the
// others as late as their checkpoint allows. What lasts stays: it serves as long as the worker does.
func (p *plan) evacuate() {
	for _, n := range p.nodes {
		if !n.life.Draining || n.worker.leaves.IsZero() {
			continue
		}
		last := n.worker.leaves.Add(-stayMargin)
		for _, r := range n.runs {
			step := r.tracked.job.Steps[r.name.Step]
			switch {
			case step.LongRunning || r.stopping || !r.ends.After(last):
			case !step.Checkpoint:
				p.stop(r, "its worker leaves before it ends")
			case !p.now.Before(n.worker.leaves.Add(-saveAhead)):
				p.stop(r, "its worker leaves, and its work is saved")
			default:
				p.wakeAt(n.worker.leaves.Add(-saveAhead))
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
