package dispatch

import (
	"cmp"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// dataPatience is how long, in estimates of a task, a task waits for room near its data.
const dataPatience = 1.5

// search is what a search for room depends on.
type search struct {
	service, label, dataRack string
	need                     job.Resources
	tasks                    int
	gang, sameRack           bool
	leavesHeadroom           bool
	length                   time.Duration
	urgent, saves            bool
	// job is set where the outcome depends on what else of the job runs, or on what was said of it.
	job job.ID
}

// searchOf returns what the search for a unit's room depends on.
func searchOf(w waitingUnit) search {
	s := search{
		service: w.tracked.job.Service, label: w.step.RequiredLabel, dataRack: w.step.DataRack, need: w.step.Reserved(),
		tasks: len(w.unit.Tasks), gang: w.step.Gang, sameRack: w.step.SameRack,
		length: w.duration, leavesHeadroom: w.leavesHeadroom,
		urgent: w.tracked.job.Priority == 0, saves: w.step.Checkpoint,
	}
	if w.step.MaxPerWorker > 0 || w.tracked.job.NeedsPermit || w.step.DataRack != "" || len(w.tracked.failedAt) > 0 || w.tracked.progress.Suspects() > 0 || w.step.BestEffort || w.step.LatencyTarget > 0 {
		s.job = w.tracked.job.ID
	}
	return s
}

// domains are the sets of nodes within which a unit may be placed, the better ones first.
func (p *plan) domains(w waitingUnit) [][]*node {
	if w.step.DataRack != "" {
		var near []*node
		if r := p.racks[w.step.DataRack]; r != nil {
			near = inOpenZones(r.nodes)
		}
		waited := p.now.Sub(w.tracked.job.Accepted)
		if len(near) > 0 && (!w.step.Gang || p.canEverFit(w, near)) && p.c.has(DataPatience) && waited < time.Duration(dataPatience*float64(w.step.Estimate)) {
			return [][]*node{near}
		}
		return [][]*node{near, p.nodes}
	}
	if !w.step.Gang || !w.step.SameRack {
		return [][]*node{p.nodes}
	}
	var racks []*rack
	for _, r := range p.racks {
		if p.canEverFit(w, r.nodes) {
			racks = append(racks, r)
		}
	}
	if len(racks) == 0 {
		return [][]*node{p.nodes}
	}
	slices.SortFunc(racks, func(a, b *rack) int {
		return cmp.Or(p.compareEnds(w, a, b), cmp.Compare(a.free, b.free), cmp.Compare(a.order, b.order))
	})
	domains := make([][]*node, len(racks))
	for i, r := range racks {
		domains[i] = r.nodes
	}
	return domains
}

// inOpenZones returns those of the nodes whose zone is not cordoned: nothing waits for the others.
func inOpenZones(nodes []*node) []*node {
	if !slices.ContainsFunc(nodes, func(n *node) bool { return n.cordoned }) {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.cordoned })
}

// compareEnds orders two racks for a unit that may have to yield: what can't save its work fills the racks from the first on, what can
// from the last on. Urgent jobs that need a rack then find some in which stopping all loses next to nothing: with this order below that of speeds,
// so that both kinds shared racks, half as much work again was lost on 240 workers (0.167 of a day instead of 0.115, two days). Urgent units
// themselves have no end: they take what is left in the fullest racks.
func (p *plan) compareEnds(w waitingUnit, a, b *rack) int {
	if w.tracked.job.Priority == 0 || !p.c.has(SavesApart) {
		return 0
	}
	if w.step.Checkpoint {
		return cmp.Compare(b.order, a.order)
	}
	return cmp.Compare(a.order, b.order)
}

// canEverFit reports whether the unit would fit into the nodes if they were empty.
func (p *plan) canEverFit(w waitingUnit, nodes []*node) bool {
	left := len(w.unit.Tasks)
	for _, n := range nodes {
		if !n.state.Draining && !n.cordoned && allowed(w, n) {
			left -= tasksFitting(w.step.Reserved(), n.state.Capacity, tasksAllowed(w, n))
		}
	}
	return left <= 0
}

// allowed reports whether the tasks of the unit may run on the node at all.
func allowed(w waitingUnit, n *node) bool {
	return n.state.Service == w.tracked.job.Service && (w.step.RequiredLabel == "" || slices.Contains(n.state.Labels, w.step.RequiredLabel))
}

// sharePatience is how long a task waits for a worker on which it neither fills beside tasks with a target nor serves beside
// tasks that fill. After that it shares one, and the agent there paces what fills.
const sharePatience = 1500 * time.Millisecond

// mayShare reports whether the unit may be placed on the node as far as disturbing others goes.
func (p *plan) mayShare(w waitingUnit, n *node) bool {
	since := w.tracked.job.Accepted
	if due := w.tracked.job.DueAt(w.unit.Round); due.After(since) {
		since = due
	}
	return !disturbs(w.step, n) || p.now.Sub(since) >= sharePatience
}

// disturbs reports whether the step's tasks fill beside tasks on the node that have a target for their users, or the other
// way round.
func disturbs(step job.Step, n *node) bool {
	if !step.BestEffort && step.LatencyTarget == 0 {
		return false
	}
	return slices.ContainsFunc(n.runs, func(r *running) bool {
		other := r.tracked.job.Steps[r.name.Step]
		return step.BestEffort && other.LatencyTarget > 0 || step.LatencyTarget > 0 && other.BestEffort
	})
}

// tasksAllowed is how many more tasks of the unit's step the node may get.
func tasksAllowed(w waitingUnit, n *node) int {
	if w.step.MaxPerWorker == 0 {
		return len(w.unit.Tasks)
	}
	there := 0
	for _, r := range n.runs {
		if r.name.Job == w.tracked.job.ID && r.name.Step == w.unit.Step && r.name.Round == w.unit.Round {
			there++
		}
	}
	return max(w.step.MaxPerWorker-there, 0)
}

// tasksFitting is how many tasks fit into the room, most at the most.
func tasksFitting(need, room job.Resources, most int) int {
	n := 0
	for n < most && need.FitsIn(room) {
		room = room.Plus(need, -1)
		n++
	}
	return n
}

// find returns a node for each task of the unit, or nil. With later it counts what was told to stop as gone.
func (p *plan) find(w waitingUnit, later bool) []*node {
	var best []*node
	for _, domain := range p.domains(w) {
		at := p.findIn(w, domain, later)
		if at == nil {
			continue
		}
		if !p.seeksSpeed(w) {
			return at
		}
		if best == nil || slowest(at) < slowest(best) {
			best = at
		}
	}
	return best
}

// seeksSpeed reports whether the unit looks for fast workers: an urgent one does, unless its data ties it to a rack.
func (p *plan) seeksSpeed(w waitingUnit) bool {
	return w.tracked.job.Priority == 0 && w.step.DataRack == "" && p.c.has(Speeds)
}

// slowest is the highest class of the nodes' speeds.
func slowest(at []*node) int {
	worst := -1
	for _, n := range at {
		worst = max(worst, n.worker.speed.class())
	}
	return worst
}

// compareSpeeds puts fast workers first for urgent units, and slow ones for others.
func (p *plan) compareSpeeds(w waitingUnit, a, b *node) int {
	if !p.c.has(Speeds) {
		return 0
	}
	if p.seeksSpeed(w) {
		return cmp.Compare(a.worker.speed.class(), b.worker.speed.class())
	}
	return cmp.Compare(b.worker.speed.class(), a.worker.speed.class())
}

// findIn fills the nodes that are the fullest first, so that what is left free stays together.
func (p *plan) findIn(w waitingUnit, domain []*node, later bool) []*node {
	room := func(n *node) job.Resources {
		if later {
			return n.freeAfterStops
		}
		return n.free
	}
	need, tasks := w.step.Reserved(), len(w.unit.Tasks)
	var candidates []*node
	fits := 0
	for _, n := range domain {
		if !n.usable || !need.FitsIn(room(n)) || !p.mayPlace(w, n) {
			continue
		}
		if k := p.countOn(w, n, room(n), tasks); k > 0 {
			candidates = append(candidates, n)
			n.taskCount = k
			fits += k
		}
	}
	if fits < tasks {
		return nil
	}
	better := p.preference(w, candidates, room)
	if tasks == 1 {
		return []*node{slices.MinFunc(candidates, better)}
	}
	slices.SortFunc(candidates, better)
	at := make([]*node, 0, tasks)
	for _, n := range candidates {
		for range p.countOn(w, n, room(n), tasks-len(at)) {
			at = append(at, n)
		}
	}
	return at
}

// mayPlace reports whether the unit may be placed on the node, as far as anything but room goes.
func (p *plan) mayPlace(w waitingUnit, n *node) bool {
	return allowed(w, n) && !(w.leavesHeadroom && p.headroom[n]) && p.fitsReservation(w, n) && p.hasPermit(w, n) &&
		!p.failedRecently(w, n) && p.mayShare(w, n) && !p.mustKeepApart(w, n)
}

// countOn is how many tasks of the unit fit into a node's room, most at the most.
func (p *plan) countOn(w waitingUnit, n *node, room job.Resources, most int) int {
	room = p.usableRoom(w, n, room)
	most = min(most, tasksAllowed(w, n))
	if n.health.onProbation() {
		most = min(most, 1)
	}
	return tasksFitting(w.step.Reserved(), room, most)
}

// preference orders nodes for a unit, the better ones first. A gang takes the workers
// that hold the most of its members: each worker that leaves or fails breaks the gang, so it should be on few, and it frees whole workers
// when it ends.
func (p *plan) preference(w waitingUnit, candidates []*node, room func(*node) job.Resources) func(a, b *node) int {
	avoid := p.workersToAvoid(w)
	serving := servingOn(w, candidates)
	fullestFirst := p.c.has(FullestFirst)
	together := w.step.Gang && p.c.has(FewWorkers)
	return func(a, b *node) int {
		if order := cmp.Or(
			compareBool(avoid[a.name], avoid[b.name]),
			compareBool(disturbs(w.step, a), disturbs(w.step, b)),
			p.compareRisk(w, a, b),
			cmp.Compare(serving[a], serving[b]),
			p.compareEnds(w, a.rack, b.rack),
			p.compareSpeeds(w, a, b),
		); order != 0 {
			return order
		}
		if together && a.taskCount != b.taskCount {
			return cmp.Compare(b.taskCount, a.taskCount)
		}
		if fullestFirst {
			x, y := room(a), room(b)
			if order := cmp.Or(cmp.Compare(a.rack.free, b.rack.free), cmp.Compare(x.Accelerators, y.Accelerators), cmp.Compare(x.CPU, y.CPU)); order != 0 {
				return order
			}
		}
		return cmp.Compare(a.order, b.order)
	}
}

// servingOn counts the tasks with a target on each of the nodes, for a unit that has one too: their load disturbs the others,
// so they are spread. For other units it is nil.
func servingOn(w waitingUnit, nodes []*node) map[*node]int {
	if w.step.LatencyTarget == 0 {
		return nil
	}
	counts := map[*node]int{}
	for _, n := range nodes {
		for _, r := range n.runs {
			if r.tracked.job.Steps[r.name.Step].LatencyTarget > 0 {
				counts[n]++
			}
		}
	}
	return counts
}

// fitsReservation reports whether the unit may use a node on which room is kept for a gang: if it ends in time, or fits beside the gang.
func (p *plan) fitsReservation(w waitingUnit, n *node) bool {
	return p.endsBeforeReserved(w, n) || w.step.Reserved().FitsIn(n.freeBesideReserved)
}

// endsBeforeReserved reports whether the unit ends before a gang needs the room that is kept for it on the node.
func (p *plan) endsBeforeReserved(w waitingUnit, n *node) bool {
	return n.reservedUntil.IsZero() || !p.now.Add(w.duration).After(n.reservedUntil)
}

// usableRoom is the part of a node's room that the unit may use.
func (p *plan) usableRoom(w waitingUnit, n *node, room job.Resources) job.Resources {
	if p.endsBeforeReserved(w, n) {
		return room
	}
	return room.Min(n.freeBesideReserved)
}

// failedRecently reports whether a task of the job failed on the node a short while ago.
func (p *plan) failedRecently(w waitingUnit, n *node) bool {
	at, ok := w.tracked.failedAt[n.name]
	return p.c.has(AvoidFailed) && ok && p.now.Sub(at) < avoidFor
}

// hasPermit reports whether the unit has a ticket for the node, or needs none.
func (p *plan) hasPermit(w waitingUnit, n *node) bool {
	if !w.tracked.job.NeedsPermit {
		return true
	}
	_, ok := p.c.permits.permit(stepKey(w.unit.Tasks[0]), n.state.ID, p.now)
	return ok
}

// workersToAvoid are the workers on which tasks of the unit have failed.
func (p *plan) workersToAvoid(w waitingUnit) map[string]bool {
	avoid := map[string]bool{}
	if !p.c.has(AvoidFailed) {
		return avoid
	}
	for _, name := range w.unit.Tasks {
		if t := w.tracked.progress.Task(name); t != nil && t.Avoid != "" {
			avoid[t.Avoid] = true
		}
	}
	return avoid
}
