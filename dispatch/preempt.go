package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/assignment"
	"yarrowgrade.example/yarrowgrade/job"
)

func runID(r *running) assignment.RunID { return assignment.RunID{Task: r.name, Run: r.run} }

// preempt makes room for a unit of priority 0: it stops work that yields, in the domain in which that costs the least, and
// keeps what is free there for the unit. If room comes by itself early enough, it stops nothing.
func (p *plan) preempt(w waiting) {
	if at := p.find(w, true); at != nil {
		p.keep(w, at)
		return
	}
	if p.comesInTime(w) {
		p.holdBack(w)
		return
	}
	var best []*running
	var bestDomain []*node
	bestLoss := 0.0
	for _, domain := range p.domains(w) {
		victims, loss, ok := p.victims(w, domain)
		if ok && (bestDomain == nil || loss < bestLoss) {
			best, bestDomain, bestLoss = victims, domain, loss
		}
	}
	if bestDomain == nil {
		return
	}
	for _, r := range best {
		p.stop(r, "it yields to "+w.unit.Tasks[0].String())
	}
	if at := p.findIn(w, bestDomain, true); at != nil {
		p.keep(w, at)
	}
}

// comesInTime reports whether the unit fits somewhere by itself so soon that it still ends in time, and starts early enough
// for a guarantee.
func (p *plan) comesInTime(w waiting) bool {
	latest := w.due.Add(-w.step.Estimate)
	if limit := w.tracked.job.Accepted.Add(patienceOfOwners); latest.After(limit) {
		latest = limit
	}
	for _, domain := range p.domains(w) {
		if at, ok := p.freeAt(w, domain); ok && at.Before(latest) {
			return true
		}
	}
	return false
}

// patienceOfOwners is how long after its acceptance a job of priority 0 may wait for room before work is stopped for it.
const patienceOfOwners = 1200 * time.Millisecond

// keep takes the unit's room off what others see, while what was told to stop still ends.
func (p *plan) keep(w waiting, at []*node) {
	for _, n := range at {
		n.free = n.free.Plus(w.step.Reserved(), -1)
		n.later = n.later.Plus(w.step.Reserved(), -1)
	}
}

// stop notes that a run is to stop.
func (p *plan) stop(r *running, why string) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.tracked.stopping[r.name] = r.run
	r.node.later = r.node.later.Plus(r.need, 1)
	p.c.logger.Info().Str("step", "dispatch.stop").Stringer("task", r.name).Int("run", r.run).Str("worker", r.node.name).
		Str("why", why).Msg("run is to stop")
}

// yields reports whether a run may be stopped for the unit, and in which order: the higher the sooner.
func (p *plan) yields(r *running, w waiting) (rank int, ok bool) {
	j := r.tracked.job
	switch {
	case r.stopping || j.Lasting():
		return 0, false
	case j.Priority > w.tracked.job.Priority:
		return j.Priority, true
	case w.assured && !p.assured[j.ID] && j.ID != w.tracked.job.ID:
		return 0, true
	}
	return 0, false
}

// victims are the runs to stop so that the unit fits into the domain, and the work that this throws away.
func (p *plan) victims(w waiting, domain []*node) (victims []*running, loss float64, ok bool) {
	groups := p.groups(w, domain)
	room := map[*node]job.Need{}
	for _, n := range domain {
		if n.usable && allowed(w, n) {
			room[n] = n.later
		}
	}
	fits := func() bool {
		left := len(w.unit.Tasks)
		for n, have := range room {
			left -= count(w.step.Reserved(), have, bound(w, n))
		}
		return left <= 0
	}
	var taken []group
	for _, g := range groups {
		if fits() {
			break
		}
		taken = append(taken, g)
		g.release(room, 1)
	}
	if !fits() {
		return nil, 0, false
	}
	// What turned out not to be needed stays: the dearest first.
	for i := len(taken) - 1; i >= 0; i-- {
		taken[i].release(room, -1)
		if fits() {
			continue
		}
		taken[i].release(room, 1)
		victims = append(victims, taken[i].runs...)
		loss += taken[i].loss
	}
	return victims, loss, true
}

// group is what stops together: one run, or all of a gang's, wherever they are.
type group struct {
	runs []*running
	rank int
	loss float64
}

func (g group) release(room map[*node]job.Need, sign int) {
	for _, r := range g.runs {
		if have, ok := room[r.node]; ok {
			room[r.node] = have.Plus(r.need, sign)
		}
	}
}

// groups are what yields to the unit in a domain, in the order in which it yields.
func (p *plan) groups(w waiting, domain []*node) []group {
	type key struct {
		id    job.ID
		round int
		step  int
		index int
	}
	gangs := map[key]bool{}
	var groups []group
	for _, n := range domain {
		for _, r := range n.runs {
			rank, ok := p.yields(r, w)
			if !ok {
				continue
			}
			if !r.tracked.job.Steps[r.name.Step].Gang {
				groups = append(groups, group{runs: []*running{r}, rank: rank, loss: r.loss})
				continue
			}
			k := key{r.name.Job, r.name.Round, r.name.Step, 0}
			if gangs[k] {
				continue
			}
			gangs[k] = true
			groups = append(groups, p.gangOf(r, rank))
		}
	}
	slices.SortStableFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), -cmp.Compare(a.rank, b.rank))
	})
	return groups
}

func (p *plan) gangOf(member *running, rank int) group {
	g := group{rank: rank}
	for _, n := range p.nodes {
		for _, r := range n.runs {
			if r.name.Job == member.name.Job && r.name.Round == member.name.Round && r.name.Step == member.name.Step && !r.stopping {
				g.runs = append(g.runs, r)
				g.loss += r.loss
			}
		}
	}
	return g
}

// stallAfter is how long a run may show no progress before it is moved. The percentage of a task moves in whole steps, so
// long tasks get longer.
func stallAfter(estimate time.Duration) time.Duration {
	return max(2500*time.Millisecond, estimate/8)
}

// moveStalled stops runs that stand still, so that they start elsewhere. A gang's member stands still also while it waits
// for the others, so a gang is left alone until its members had time to come.
func (p *plan) moveStalled() {
	for _, n := range p.nodes {
		if p.now.Sub(n.heard) > p.c.timing.Silent {
			continue
		}
		for _, r := range n.runs {
			step := r.tracked.job.Steps[r.name.Step]
			o, known := n.worker.runs[runID(r)]
			if !known || r.stopping || step.Lasts || o.percent < 0 {
				continue
			}
			if p.now.Sub(o.advanced) > stallAfter(step.Estimate) {
				p.stop(r, "it stands still")
				n.trust.stalled(p.now, r.name.Job)
			}
		}
	}
}
