package dispatch

import (
	"cmp"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/estimate"
)

// preference orders nodes for a unit, preferred ones first: nodes where its tasks have not failed,
// that have not turned slow, that are likely sound if it is urgent, where its tasks disturb
// nothing, and where a crash or a rollout would lose the least; then by speed; then such that the
// remaining free capacity is not fragmented. A gang takes as few workers as possible, since each
// worker that leaves or fails breaks it, and since it then frees whole workers when it ends.
func (p *plan) preference(w waitingUnit, candidates []*node, available availableFunc) func(a, b *node) int {
	avoid := p.workersToAvoid(w)
	serving := servingOn(w, candidates)
	fullestFirst := p.has(FullestFirst)
	fewWorkers := w.step.Gang && p.has(FewWorkers)
	return func(a, b *node) int {
		if order := cmp.Or(
			compareBool(avoid[a.name], avoid[b.name]),
			compareBool(a.slowed, b.slowed),
			compareTrust(w, a, b),
			compareBool(disturbs(w.step, a), disturbs(w.step, b)),
			p.compareRisk(w, a, b),
			cmp.Compare(serving[a], serving[b]),
			compareAtRisk(w, a, b),
			p.compareRackEnds(w, a.rack, b.rack),
			p.compareSpeeds(w, a, b),
			compareBool(b.likelyToLeave, a.likelyToLeave),
		); order != 0 {
			return order
		}
		if fewWorkers && a.taskCount != b.taskCount {
			return cmp.Compare(b.taskCount, a.taskCount)
		}
		if fullestFirst {
			if order := compareFree(a, b, available); order != 0 {
				return order
			}
		}
		return cmp.Compare(a.order, b.order)
	}
}

// compareFree orders the fullest rack and worker first.
func compareFree(a, b *node, available availableFunc) int {
	x, y := available(a), available(b)
	return cmp.Or(
		cmp.Compare(a.rack.free, b.rack.free),
		cmp.Compare(x.Accelerators, y.Accelerators),
		cmp.Compare(x.CPU, y.CPU),
	)
}

// workersToAvoid returns the workers on which tasks of the unit have failed.
func (p *plan) workersToAvoid(w waitingUnit) map[string]bool {
	avoid := map[string]bool{}
	if !p.has(AvoidFailed) {
		return avoid
	}
	for _, name := range w.unit.Tasks {
		if t := w.tracked.progress.Task(name); t != nil && t.AvoidWorker != "" {
			avoid[t.AvoidWorker] = true
		}
	}
	return avoid
}

// servingOn counts the tasks with a latency target on each node, for a unit that has a latency
// target too: such tasks are spread, since their loads interfere. For other units it returns nil.
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

// compareRackEnds fills racks from the first one with work that loses its progress when stopped,
// and from the last one with work that saves checkpoints. Urgent gangs then find racks that can be
// emptied at little loss. Urgent units themselves use the remaining capacity in the fullest racks.
func (p *plan) compareRackEnds(w waitingUnit, a, b *rack) int {
	if w.urgent() || !p.has(SeparateCheckpointed) {
		return 0
	}
	if w.step.Checkpoint {
		return cmp.Compare(b.order, a.order)
	}
	return cmp.Compare(a.order, b.order)
}

// prefersFastWorkers reports whether the unit prefers fast workers: it is urgent, and its data
// doesn't tie it to a rack.
func (p *plan) prefersFastWorkers(w waitingUnit) bool {
	return w.urgent() && w.step.DataRack == "" && p.has(Speeds)
}

// compareSpeeds orders fast workers first for units that prefer them, and slow workers first for
// others.
func (p *plan) compareSpeeds(w waitingUnit, a, b *node) int {
	if !p.has(Speeds) {
		return 0
	}
	if p.prefersFastWorkers(w) {
		return cmp.Compare(a.speed.Class(), b.speed.Class())
	}
	return cmp.Compare(b.speed.Class(), a.speed.Class())
}

// slowestClass returns the speed class of the slowest of the nodes.
func slowestClass(nodes []*node) estimate.SpeedClass {
	slowest := estimate.Fast
	for _, n := range nodes {
		slowest = max(slowest, n.speed.Class())
	}
	return slowest
}
