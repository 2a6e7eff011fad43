package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// maxReservations is how many waiting gangs have room held back for them at once.
const maxReservations = 2

// rack is the workers of a rack as the plan sees them.
type rack struct {
	nodes []*node
	// order is the rack's place in the order of names; free is how many accelerators are free there.
	order int
	free  int
}

// node is a worker as the plan sees it.
type node struct {
	*worker
	rack *rack
	// order is the node's place in the order of names.
	order int
	free  job.Resources
	// freeAfterStops is what is free once all that was told to stop has ended.
	freeAfterStops job.Resources
	runs           []*running
	// reservedUntil is until when room is kept for a gang that waits for it, beside what is left then for work that does not end before.
	reservedUntil      time.Time
	freeBesideReserved job.Resources
	usable             bool
	// cordoned says that operators have cordoned the worker's availability zone.
	cordoned bool
	// hasSuspects says that tasks run there under which workers have crashed; trial is a run that has the worker for its own.
	hasSuspects bool
	trialRun    *running
	// taskCount is how many tasks fit of the unit that is looked for.
	taskCount int
}

// reserve takes the room of a need off the node.
func (n *node) reserve(need job.Resources) {
	n.free = n.free.Plus(need, -1)
	n.rack.free -= need.Accelerators
}

// running is a run that takes room.
type running struct {
	tracked   *trackedJob
	name      job.TaskName
	run       int
	node      *node
	resources job.Resources
	stopping  bool
	endsAt    time.Time
	// lostWork is the work that a stop would lose, in core-seconds (an accelerator counts as 8 cores); cost is what a stop
	// costs in all.
	lostWork float64
	stopCost float64
}

// waitingUnit is a unit that may start now.
type waitingUnit struct {
	tracked *trackedJob
	unit    job.Unit
	step    job.Step
	due     time.Time
	// duration is how long a task is expected to work.
	duration time.Duration
	// guaranteed says that the team's guarantee covers the job; expired that it is so late that its caller has no use for it any more; late that it can't be
	// completed in time any more.
	guaranteed bool
	expired    bool
	late       bool
	// preempting says that work was told to stop for it a moment ago: what that frees is not for others.
	preempting bool
	// work is what all tasks of the job do, in core-seconds.
	work float64
	// leavesHeadroom says that the unit can wait for room that is not kept for urgent jobs.
	leavesHeadroom bool
	// suspicion says whether workers have crashed under its tasks, suspectedAt when the last one did.
	suspicion   suspicionLevel
	suspectedAt time.Time
}

// plan is one decision: it is made anew in each pass.
type plan struct {
	c *Controller
	// ctx ends with the term; questions to the adviser live in it.
	ctx          context.Context
	now          time.Time
	nodes        []*node
	racks        map[string]*rack
	byName       map[string]*node
	guaranteed   map[job.ID]bool
	reservations int
	// failedSearches holds the searches that found nothing. Room only gets less during a decision, so they would find nothing again.
	failedSearches map[search]bool
	// gangs holds the runs of each gang, by the name of its first task.
	gangs map[job.TaskName][]*running
	// stopDuration is how long a stop is reckoned to take.
	stopDuration time.Duration
	// headroom holds the nodes that are left free for urgent jobs by what can wait.
	headroom map[*node]bool
	// trials is how many workers are suspects' own.
	trials int
}

// Plan decides what to start and what to stop, and notes it in the jobs' progress. Questions to the adviser end with ctx.
func (c *Controller) Plan(ctx context.Context, now time.Time) {
	c.next = now.Add(c.settings.MaxInterval)
	p := &plan{c: c, ctx: ctx, now: now, racks: map[string]*rack{}, byName: map[string]*node{}, failedSearches: map[search]bool{}, gangs: map[job.TaskName][]*running{}, stopDuration: c.stops.expected()}
	p.addNodes()
	p.addRuns()
	p.markSuspects()
	p.guaranteed = p.guaranteedJobs()
	p.stopInCordonedZones()
	p.stopOverCapacity()
	if c.has(MoveStalled) {
		p.stopStalled()
	}
	if c.has(Evacuation) {
		p.stopOnLeavingWorkers()
	}
	p.reserveHeadroom()
	for _, w := range p.queue() {
		p.place(w)
	}
}

// addNodes lists the workers.
func (p *plan) addNodes() {
	cordons, _ := p.c.catalog.Cordons()
	for _, w := range p.c.workers {
		if w.state == nil {
			continue
		}
		n := &node{worker: w, free: w.state.Capacity, freeAfterStops: w.state.Capacity}
		silent := w.unresponsive || p.now.Sub(w.heardAt) > p.c.settings.SilentAfter
		n.cordoned = cordons.Has(w.state.Zone)
		n.usable = !silent && !w.closing && !w.state.Draining && !n.cordoned && !w.health.quarantined(p.now)
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

// addToRack lists a node with its rack.
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

// estimateRun guesses when a run ends and what a stop would lose.
func (p *plan) estimateRun(r *running, step *job.Step) {
	length := p.c.expectedDuration(r.tracked, r.name.Step)
	worked, left := time.Duration(0), length
	if o, known := r.node.worker.runs[runID(r)]; known {
		worked = p.now.Sub(o.startedAt)
		left = max(length-worked, length/10)
		if l, ok := o.remaining(p.now); ok {
			left = l
		}
	}
	r.endsAt = p.now.Add(left)
	lost := restartCost
	if !step.Checkpoint {
		lost += worked
		r.lostWork = worked.Seconds() * weight(step.Resources)
	}
	// What has been stopped before costs more each time, or it would be stopped again and again.
	if p.c.has(RepeatCost) {
		lost += time.Duration(repeatCost * float64(r.run-1) * float64(length))
	}
	// An urgent job that stops is late: only what is guaranteed takes room from such, and the last of all.
	if r.tracked.job.Priority == 0 {
		lost += time.Duration(worthOnTime * float64(length))
	}
	r.stopCost = lost.Seconds() * weight(step.Resources)
}

// Costs of a stop beside the work that it loses: the time until the task works again, and what is added for each
// earlier run, as a share of the task's estimate.
const (
	restartCost = 500 * time.Millisecond
	repeatCost  = 0.3
)

// weight is what a second of a task is worth, in core-seconds.
func weight(n job.Resources) float64 { return float64(n.CPU)/1000 + 8*float64(n.Accelerators) }

// guaranteedJobs returns the jobs that their team's guarantee covers: those of priority 0 that have not ended, in the order
// in which they came, as long as all of them together need no more than what is guaranteed.
func (p *plan) guaranteedJobs() map[job.ID]bool {
	c, _ := p.c.catalog.Current()
	guaranteed := map[job.ID]bool{}
	if c == nil || !p.c.has(Guarantees) {
		return guaranteed
	}
	var urgent []*trackedJob
	for _, t := range p.c.active {
		if t.job.Priority == 0 && !t.progress.Phase.Final() && t.job.Team != "" {
			urgent = append(urgent, t)
		}
	}
	slices.SortFunc(urgent, func(a, b *trackedJob) int {
		return cmp.Or(a.job.Accepted.Compare(b.job.Accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	used := map[string]int{}
	for _, t := range urgent {
		used[t.job.Team] += peakAccelerators(t.job)
		guaranteed[t.job.ID] = used[t.job.Team] <= c.GuaranteedAccelerators(t.job.Team)
	}
	return guaranteed
}

// peakAccelerators is the most accelerators that a step of the job takes at once.
func peakAccelerators(j *job.Job) int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Tasks*s.Resources.Accelerators)
	}
	return most
}

// freedKeptFor is how long the room that stops free is kept for the one they were for: stops take up to 0.9 s on the users'
// sites.
const freedKeptFor = 1200 * time.Millisecond

// queue lists what may start now, in the order in which it is looked at: by priority; the guaranteed first, and what has expired
// last; then what is due first. Among jobs of priority 0 those come first that may still be in time, and of
// these the small ones: most of them fit in beside a large one, which waits only a little longer for that.
func (p *plan) queue() []waitingUnit {
	var all []waitingUnit
	for id, t := range p.c.active {
		if t.progress.Phase.Final() {
			continue
		}
		p.wakeForNextRound(t)
		units := t.job.Waiting(t.progress, p.now)
		if len(units) == 0 {
			continue
		}
		chain := t.job.Chain(func(step int) time.Duration { return p.c.expectedDuration(t, step) })
		for _, u := range units {
			due := t.job.Objective(u.Round, chain)
			late := p.now.Sub(due) > 2*due.Sub(t.job.Accepted)
			all = append(all, waitingUnit{
				tracked: t, unit: u, step: t.job.Steps[u.Step], due: due, duration: p.c.expectedDuration(t, u.Step), guaranteed: p.guaranteed[id],
				expired: late && t.job.RoundCount == 0 && !t.job.LongRunning(),
				late:    t.job.Priority == 0 && p.now.Add(p.c.expectedDuration(t, u.Step)).After(due),
				work:    p.c.expectedWork(t), preempting: p.now.Sub(t.preemptedAt[u.Tasks[0]]) < freedKeptFor,
				leavesHeadroom: p.leavesHeadroom(t, u, due, chain), suspicion: p.suspicionOfUnit(t, u), suspectedAt: t.suspectedAt(u, p.now),
			})
		}
	}
	slices.SortFunc(all, func(a, b waitingUnit) int {
		return cmp.Or(
			cmp.Compare(a.tracked.job.Priority, b.tracked.job.Priority),
			compareBool(b.guaranteed, a.guaranteed),
			p.compareIf(KeepFreed, compareBool(b.preempting, a.preempting)),
			p.compareIf(ExpiredLast, compareBool(a.expired, b.expired)),
			p.compareIf(InTimeFirst, compareBool(a.late, b.late)),
			p.compareIf(SmallFirst, compareWork(a, b)),
			a.due.Compare(b.due),
			cmp.Compare(a.tracked.job.ID, b.tracked.job.ID),
			cmp.Compare(a.unit.Round, b.unit.Round),
			cmp.Compare(a.unit.Step, b.unit.Step),
			cmp.Compare(a.unit.Tasks[0].Index, b.unit.Tasks[0].Index),
		)
	})
	return all
}

// compareIf is the outcome of a comparison, or no difference if its mechanism is off.
func (p *plan) compareIf(m Mechanism, outcome int) int {
	if p.c.has(m) {
		return outcome
	}
	return 0
}

// compareWork puts the smaller of two jobs of priority 0 first.
func compareWork(a, b waitingUnit) int {
	if a.tracked.job.Priority != 0 || b.tracked.job.Priority != 0 {
		return 0
	}
	return cmp.Compare(a.work, b.work)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// wakeForNextRound sees to it that a pass comes when the job's next round is due.
func (p *plan) wakeForNextRound(t *trackedJob) {
	for k := range t.job.Rounds() {
		due := t.job.DueAt(k)
		if due.After(p.now) {
			p.wakeAt(due)
			return
		}
	}
}

// requestPermits asks about workers for a unit that needs tickets. It returns true while nothing more is to be said.
func (p *plan) requestPermits(w waitingUnit) bool {
	if !w.tracked.job.NeedsPermit {
		return true
	}
	step := stepKey(w.unit.Tasks[0])
	var lives []incarnation.ID
	tickets := 0
	for _, n := range p.nodes {
		if !n.usable || !allowed(w, n) {
			continue
		}
		lives = append(lives, n.state.ID)
		if _, ok := p.c.permits.permit(step, n.state.ID, p.now); ok {
			tickets++
		}
	}
	open := p.c.permits.missing(step, lives, p.now)
	if len(open) > 0 {
		p.c.permits.request(p.ctx, step, open)
	}
	return tickets > 0
}

// place starts a unit, or makes room for it, or holds room back for it.
func (p *plan) place(w waitingUnit) {
	if !p.requestPermits(w) {
		p.logWait(w, "no ticket yet")
		return
	}
	if p.awaitsVerdict(w) {
		p.logWait(w, "whether its last worker crashed is not known yet")
		return
	}
	key := searchOf(w)
	if !p.failedSearches[key] {
		if at := p.find(w, false); at != nil {
			p.start(w, at)
			return
		}
		p.failedSearches[key] = true
	}
	if w.tracked.job.Priority == 0 && p.c.has(Preemption) {
		p.logWait(w, p.preempt(w))
		return
	}
	if w.step.Gang && p.reservations < maxReservations && !w.expired && p.c.has(Reservations) {
		p.reserveFor(w)
		p.logWait(w, "room is held back for it")
		return
	}
	p.logWait(w, "no room")
}

// logWait logs why a unit waits, when that is not what was logged of it last.
func (p *plan) logWait(w waitingUnit, why string) {
	if w.tracked.waitReasons[w.unit.Tasks[0]] == why {
		return
	}
	w.tracked.waitReasons[w.unit.Tasks[0]] = why
	p.c.logger.Info().Str("step", "dispatch.wait").Stringer("task", w.unit.Tasks[0]).Int("tasks", len(w.unit.Tasks)).
		Int("priority", w.tracked.job.Priority).Bool("guaranteed", w.guaranteed).Time("due", w.due).Str("why", why).Msg("job waits")
}

// start notes a new run of the unit.
func (p *plan) start(w waitingUnit, at []*node) {
	run := w.tracked.progress.NextRun(w.unit.Tasks)
	for i, name := range w.unit.Tasks {
		n := at[i]
		w.tracked.progress.Assign(p.now, name, run, n.name, n.state.ID)
		n.reserve(w.step.Reserved())
		n.freeAfterStops = n.freeAfterStops.Plus(w.step.Reserved(), -1)
		if !p.endsBeforeReserved(w, n) {
			n.freeBesideReserved = n.freeBesideReserved.Plus(w.step.Reserved(), -1)
		}
		r := &running{tracked: w.tracked, name: name, run: run, node: n, resources: w.step.Reserved(), endsAt: p.now.Add(w.duration)}
		p.addRun(r)
		p.markSuspect(n, r, w.suspicion)
		if n.health.onProbation() {
			n.usable = false
		}
		p.c.logger.Info().Str("step", "dispatch.start").Stringer("task", name).Int("run", run).Str("worker", n.name).
			Stringer("life", n.state.ID).Int("priority", w.tracked.job.Priority).Bool("guaranteed", w.guaranteed).Dur("estimate_ms", w.step.Estimate).
			Dur("forecast_ms", w.duration).
			Time("due", w.due).Msg("run is placed")
	}
	p.c.touch(w.tracked)
	delete(w.tracked.waitReasons, w.unit.Tasks[0])
}
