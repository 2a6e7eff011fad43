package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch/health"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// node is the view of a worker within a plan.
type node struct {
	*worker
	rack *rack
	// order is the node's position when sorted by name.
	order int
	// free is the capacity that is free now, freeAfterStops the capacity that is free once all
	// stopping runs have ended.
	free           job.Resources
	freeAfterStops job.Resources
	runs           []*running
	// longRunning is what long-running tasks reserve that were not requested to stop.
	longRunning job.Resources

	// silent reports whether the worker or its agent doesn't respond, listed whether the worker's list
	// of runs is current.
	silent bool
	listed bool
	// usable reports whether the node may get work, cordoned whether its availability zone is
	// cordoned.
	usable   bool
	cordoned bool
	// onProbation reports whether the node gets a single run at a time, because its worker has failed
	// runs or may still be slow.
	onProbation bool
	// slowed reports whether the worker has turned slow.
	slowed bool
	// trust is how likely the worker is sound. It is the same for all workers of a service of which
	// none lags.
	trust health.Trust
	// reservedUntil is when a gang is expected to need the capacity reserved for it here; zero
	// without a reservation. freeBesideReserved is what remains for work that ends later than that.
	reservedUntil      time.Time
	freeBesideReserved job.Resources
	// reserved is what gangs have reserved here that later reservations must not count on.
	reserved job.Resources
	// likelyToLeave reports whether a rollout is likely to replace the worker.
	likelyToLeave bool
	// hasSuspects reports whether suspects run here: tasks that workers crashed under. trialRun is a
	// run of such a task that has the node to itself.
	hasSuspects bool
	trialRun    *running

	// taskCount is how many tasks of the unit being searched for fit here.
	taskCount int
}

// available reports whether the node's capacity counts: it neither drains, nor is silent, nor is in
// a cordoned zone.
func (n *node) available() bool { return !n.state.Draining && !n.cordoned && !n.silent }

// reserve subtracts resources from the free capacity.
func (n *node) reserve(r job.Resources) {
	n.free = n.free.Plus(r, -1)
	n.rack.free -= r.Accelerators
}

// reserveLater subtracts resources from the capacity that is free after stops.
func (n *node) reserveLater(r job.Resources) {
	n.freeAfterStops = n.freeAfterStops.Plus(r, -1)
}

// rack is the view of a rack within a plan.
type rack struct {
	nodes []*node
	// order is the rack's position when sorted by name.
	order int
	// free is the number of free accelerators.
	free int
}

// running is a placed run. It occupies resources on a node until its end is known.
type running struct {
	tracked   *trackedJob
	name      job.TaskName
	run       int
	node      *node
	resources job.Resources
	// stopping reports whether the run was requested to stop, or its result is no longer needed.
	stopping bool
	endsAt   time.Time
	// lostWork is the work that a stop would lose, stopCost the total cost of a stop, both in
	// core-seconds.
	lostWork float64
	stopCost float64
}

func (r *running) id() assignment.RunID { return assignment.RunID{Task: r.name, Run: r.run} }

func (r *running) step() *job.Step { return r.tracked.step(r.name) }

// unit returns the first task of the run's unit, which identifies the unit.
func (r *running) unit() job.TaskName {
	if r.step().Gang {
		return firstOf(r.name)
	}
	return r.name
}

// endless reports whether the run ends only when its job is cancelled.
func (r *running) endless() bool { return r.step().LongRunning && !r.stopping }

// observed returns what the worker has reported of the run; false if it has not listed the run.
func (r *running) observed() (observedRun, bool) {
	o, known := r.node.worker.runs[r.id()]
	return o, known
}

// started reports whether the worker has reported the run as present.
func (r *running) started() bool {
	o, known := r.observed()
	return known && o.percent >= 0
}

// withGang returns a run with the other members of its gang.
func (p *plan) withGang(r *running) []*running {
	if !r.step().Gang {
		return []*running{r}
	}
	return p.gangs[firstOf(r.name)]
}

// addNodes adds the workers that have reported.
func (p *plan) addNodes() {
	for _, w := range p.workers {
		if w.state == nil {
			continue
		}
		n := &node{worker: w, free: w.state.Capacity, freeAfterStops: w.state.Capacity}
		n.silent = w.unresponsive || p.now.Sub(w.heardAt) > p.silentAfter
		n.listed = w.listed && !n.silent
		n.cordoned = p.cordons.Has(w.state.Zone)
		n.usable = w.described && !n.silent && !w.state.Draining && !n.cordoned &&
			!w.health.Quarantined(p.now) && !p.now.Before(w.noStartsUntil)
		if n.available() {
			p.serviceWorkers[w.state.Service]++
		}
		n.likelyToLeave = p.isLikelyToLeave(w)
		p.nodes = append(p.nodes, n)
		p.byName[w.name] = n
	}
	slices.SortFunc(p.nodes, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
	for i, n := range p.nodes {
		n.order = i
		p.addToRack(n)
	}
	for i, name := range slices.Sorted(maps.Keys(p.racks)) {
		p.racks[name].order = i
	}
}

func (p *plan) addToRack(n *node) {
	r := p.racks[n.state.Rack]
	if r == nil {
		r = &rack{}
		p.racks[n.state.Rack] = r
	}
	n.rack = r
	r.nodes = append(r.nodes, n)
	r.free += n.free.Accelerators
}

// addRuns adds the placed runs and subtracts their resources from the nodes.
func (p *plan) addRuns() {
	placed := 0
	for _, t := range p.active {
		placed += t.progress.PlacedTasks()
	}
	// A single allocation holds all runs. There may be 14,000.
	runs := make([]running, 0, placed)
	// In the order of IDs, so that equal input leads to equal decisions.
	for _, id := range slices.Sorted(maps.Keys(p.active)) {
		t := p.active[id]
		var held job.Resources
		t.progress.EachPlaced(id, func(name job.TaskName, task *job.Task) {
			n := p.byName[task.Worker]
			if n == nil || n.state.ID != task.Incarnation {
				return
			}
			runs = append(runs, running{
				tracked:   t,
				name:      name,
				run:       task.Run,
				node:      n,
				resources: t.step(name).Reserved(),
				stopping:  task.Done || t.stopping(name, task.Run) || t.progress.Phase.Final(),
			})
			p.addPlaced(&runs[len(runs)-1])
			held = held.Plus(runs[len(runs)-1].resources, 1)
		})
		p.addHeld(t, held)
	}
	p.alignGangs()
	p.addUnplacedRuns()
	for _, n := range p.nodes {
		p.judgeProbation(n)
	}
	p.admitTrials()
}

// addPlaced adds a placed run.
func (p *plan) addPlaced(r *running) {
	p.estimateRun(r)
	p.addRun(r)
	r.node.reserve(r.resources)
	if !r.stopping {
		r.node.reserveLater(r.resources)
	}
}

// addRun adds a run to its node, and to its gang if it has one.
func (p *plan) addRun(r *running) {
	r.node.runs = append(r.node.runs, r)
	if r.endless() {
		r.node.longRunning = r.node.longRunning.Plus(r.resources, 1)
	}
	if r.step().Gang {
		first := firstOf(r.name)
		p.gangs[first] = append(p.gangs[first], r)
	}
}

// alignGangs sets the expected end of all members of a gang to that of the last one.
func (p *plan) alignGangs() {
	for _, members := range p.gangs {
		var last time.Time
		for _, r := range members {
			if r.endsAt.After(last) {
				last = r.endsAt
			}
		}
		for _, r := range members {
			r.endsAt = last
		}
	}
}

// addUnplacedRuns subtracts from the nodes the resources of runs that workers list but that are not
// placed there, because an order reached a new incarnation late. These runs are stopped. Until then
// they count, since a worker that doesn't check its capacity would otherwise be overcommitted, and
// their tasks start nowhere else.
func (p *plan) addUnplacedRuns() {
	for _, n := range p.nodes {
		for id := range n.worker.runs {
			t := p.jobs[id.Task.Job]
			if t != nil && id.Task.Step < len(t.job.Steps) && !isPlacedOn(t, n, id) {
				n.reserve(t.step(id.Task).Reserved())
				p.unplaced[id.Task] = p.unplaced[id.Task] || n.listed
			}
		}
	}
}

// isPlacedOn reports whether a run is placed on the present incarnation of a node's worker.
func isPlacedOn(t *trackedJob, n *node, id assignment.RunID) bool {
	task := t.progress.Task(id.Task)
	return task != nil && task.Placed() && task.Run == id.Run && task.Incarnation == n.state.ID
}

const (
	// restartCost is the time from a stop until the task works again elsewhere.
	restartCost = 500 * time.Millisecond
	// repeatCost is added to the cost of a stop for each earlier run, as a share of the task's
	// duration. Without it the same task would be stopped repeatedly.
	repeatCost = 0.3
	// minRemainingDivisor divides the expected duration: a run is assumed to need at least that
	// much longer, unless its progress indicates otherwise.
	minRemainingDivisor = 10
)

// estimateRun predicts when a run ends, and what a stop would lose and cost.
func (p *plan) estimateRun(r *running) {
	step := r.step()
	duration := p.predictor.duration(r.tracked, r.name.Step)
	worked, remaining := time.Duration(0), duration
	if o, known := r.observed(); known {
		worked = p.now.Sub(o.startedAt)
		remaining = max(duration-worked, duration/minRemainingDivisor)
		if extrapolated, ok := o.remaining(p.now); ok {
			remaining = extrapolated
		}
	}
	r.endsAt = p.now.Add(remaining)
	lost := restartCost
	if !step.Checkpoint {
		lost += worked
		r.lostWork = worked.Seconds() * weight(step.Resources)
	}
	if p.has(RepeatCost) {
		lost += time.Duration(repeatCost * float64(r.run-1) * float64(duration))
	}
	// Stopping an urgent job makes it late, so guaranteed jobs preempt other work first.
	if r.tracked.job.Priority == 0 {
		lost += time.Duration(budgetFactorOnTime * float64(duration))
	}
	r.stopCost = lost.Seconds() * weight(step.Resources)
}
