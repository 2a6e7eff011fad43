package dispatch

import (
	"cmp"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
)

// preference orders nodes for a unit, the better ones first: where its tasks have not failed,
// disturb nobody and risk the least; then by speed; then so that what is left free stays
// together. A gang takes as few workers as it can: each worker that leaves or fails breaks it,
// and it frees whole workers when it ends.
func (p *plan) preference(w waitingUnit, candidates []*node, room roomOf) func(a, b *node) int {
	avoid := p.workersToAvoid(w)
	serving := servingOn(w, candidates)
	fullestFirst := p.has(FullestFirst)
	fewWorkers := w.step.Gang && p.has(FewWorkers)
	return func(a, b *node) int {
		if order := cmp.Or(
			compareBool(avoid[a.name], avoid[b.name]),
			compareBool(disturbs(w.step, a), disturbs(w.step, b)),
			p.compareRisk(w, a, b),
			cmp.Compare(serving[a], serving[b]),
			p.compareRackEnds(w, a.rack, b.rack),
			p.compareSpeeds(w, a, b),
		); order != 0 {
			return order
		}
		if fewWorkers && a.taskCount != b.taskCount {
			return cmp.Compare(b.taskCount, a.taskCount)
		}
		if fullestFirst {
			if order := compareFree(a, b, room); order != 0 {
				return order
			}
		}
		return cmp.Compare(a.order, b.order)
	}
}

// compareFree puts the fullest rack and worker first.
func compareFree(a, b *node, room roomOf) int {
	x, y := room(a), room(b)
	return cmp.Or(
		cmp.Compare(a.rack.free, b.rack.free),
		cmp.Compare(x.Accelerators, y.Accelerators),
		cmp.Compare(x.CPU, y.CPU),
	)
}

// workersToAvoid are the workers on which tasks of the unit have failed.
func (p *plan) workersToAvoid(w waitingUnit) map[string]bool {
	avoid := map[string]bool{}
	if !p.has(AvoidFailed) {
		return avoid
	}
	for _, name := range w.unit.Tasks {
		if t := w.tracked.progress.Task(name); t != nil && t.Avoid != "" {
			avoid[t.Avoid] = true
		}
	}
	return avoid
}

// servingOn counts the tasks with a latency target on each node, for a unit that has one too:
// such tasks are spread, since their load disturbs each other. For other units it is nil.
func servingOn(w waitingUnit, nodes []*node) map[*node]int {
	if w.step.LatencyTarget == 0 {
		return nil
	}
	counts := map[*node]int{}
	for _, n := range nodes {
		for _, r := range n.runs {
			if r.step().LatencyTarget > 0 {
				counts[n]++
			}
		}
	}
	return counts
}

// compareRackEnds fills the racks from the first on with work that loses its progress when it
// is stopped, and from the last on with work that saves checkpoints. So urgent gangs find racks
// that can be emptied at little loss. Urgent units themselves take what is left in the fullest
// racks.
func (p *plan) compareRackEnds(w waitingUnit, a, b *rack) int {
	if w.urgent() || !p.has(SavesApart) {
		return 0
	}
	if w.step.Checkpoint {
		return cmp.Compare(b.order, a.order)
	}
	return cmp.Compare(a.order, b.order)
}

// seeksSpeed reports whether the unit seeks fast workers: it is urgent, and its data doesn't
// tie it to a rack.
func (p *plan) seeksSpeed(w waitingUnit) bool {
	return w.urgent() && w.step.DataRack == "" && p.has(Speeds)
}

// compareSpeeds puts fast workers first for units that seek speed, and slow ones for others.
func (p *plan) compareSpeeds(w waitingUnit, a, b *node) int {
	if !p.has(Speeds) {
		return 0
	}
	if p.seeksSpeed(w) {
		return cmp.Compare(a.speed.Class(), b.speed.Class())
	}
	return cmp.Compare(b.speed.Class(), a.speed.Class())
}

// slowestClass is the class of the slowest of the nodes.
func slowestClass(nodes []*node) estimate.SpeedClass {
	slowest := estimate.Fast
	for _, n := range nodes {
		slowest = max(slowest, n.speed.Class())
	}
	return slowest
}
