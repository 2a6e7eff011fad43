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

// reservations is how many waiting gangs have room held back for them at once.
const reservations = 2

// rack is the workers of a rack as the plan sees them.
type rack struct {
	nodes []*node
	// place is the rack's place in the order of names; free is how many accelerators are free there.
	place int
	free  int
}

// node is a worker as the plan sees it.
type node struct {
	*worker
	rack *rack
	// place is the node's place in the order of names.
	place int
	free  job.Resources
	// later is what is free once all that was told to stop has ended.
	later job.Resources
	runs  []*running
	// heldUntil is until when room is kept for a gang that waits for it, beside what is left then for work that does not end before.
	heldUntil time.Time
	beside    job.Resources
	usable    bool
	// closed says that operators have cordoned the worker's availability zone.
	closed bool
	// suspects says that tasks run there under which workers have crashed; trial is a run that has the worker for its own.
	suspects bool
	trial    *running
	// fits is how many tasks fit of the unit that is looked for.
	fits int
}

// take takes the room of a need off the node.
func (n *node) take(need job.Resources) {
	n.free = n.free.Plus(need, -1)
	n.rack.free -= need.Accelerators
}

// running is a run that takes room.
type running struct {
	tracked  *tracked
	name     job.TaskName
	run      int
	node     *node
	need     job.Resources
	stopping bool
	ends     time.Time
	// lostWork is the work that a stop would lose, in core-seconds (an accelerator counts as 8 cores); cost is what a stop
	// costs in all.
	lostWork float64
	cost     float64
}

// waiting is a unit that may start now.
type waiting struct {
	tracked *tracked
	unit    job.Unit
	step    job.Step
	due     time.Time
	// length is how long a task is expected to work.
	length time.Duration
	// guaranteed says that the team's guarantee covers the job; expired that it is so late that its caller has no use for it any more; late that it can't be
	// completed in time any more.
	guaranteed bool
	expired    bool
	late       bool
	// preempts says that work was told to stop for it a moment ago: what that frees is not for others.
	preempts bool
	// work is what all tasks of the job do, in core-seconds.
	work float64
	// leavesHeadroom says that the unit can wait for room that is not kept for urgent jobs.
	leavesHeadroom bool
	// suspicion says whether workers have crashed under its tasks, suspectedAt when the last one did.
	suspicion   suspicion
	suspectedAt time.Time
}

// plan is one decision: it is made anew in each pass.
type plan struct {
	c *Controller
	// ctx ends with the term; questions to the adviser live in it.
	ctx        context.Context
	now        time.Time
	nodes      []*node
	racks      map[string]*rack
	byName     map[string]*node
	guaranteed map[job.ID]bool
	held       int
	// noRoom holds the searches that found nothing. Room only gets less during a decision, so they would find nothing again.
	noRoom map[search]bool
	// gangs holds the runs of each gang, by the name of its first task.
	gangs map[job.TaskName][]*running
	// stopTime is how long a stop is reckoned to take.
	stopTime time.Duration
	// headroom holds the nodes that are left free for urgent jobs by what can wait.
	headroom map[*node]bool
	// trials is how many workers are suspects' own.
	trials int
}

// Plan decides what to start and what to stop, and notes it in the jobs' progress. Questions to the adviser end with ctx.
func (c *Controller) Plan(ctx context.Context, now time.Time) {
	c.next = now.Add(c.settings.MaxInterval)
	p := &plan{c: c, ctx: ctx, now: now, racks: map[string]*rack{}, byName: map[string]*node{}, noRoom: map[search]bool{}, gangs: map[job.TaskName][]*running{}, stopTime: c.stops.usual()}
	p.addNodes()
	p.addRuns()
	p.noteSuspects()
	p.guaranteed = p.guaranteedJobs()
	p.withdraw()
	p.withdrawUnfit()
	if c.has(MoveStalled) {
		p.moveStalled()
	}
	if c.has(Evacuation) {
		p.evacuate()
	}
	p.keepHeadroom()
	for _, w := range p.waiting() {
		p.place(w)
	}
}

// addNodes lists the workers.
func (p *plan) addNodes() {
	cordons, _ := p.c.catalog.Cordons()
	for _, w := range p.c.workers {
		if w.life == nil {
			continue
		}
		n := &node{worker: w, free: w.life.Capacity, later: w.life.Capacity}
		silent := w.silent || p.now.Sub(w.heard) > p.c.settings.SilentAfter
		n.closed = cordons.Has(w.life.Zone)
		n.usable = !silent && !w.closing && !w.life.Draining && !n.closed && !w.health.quarantined(p.now)
		p.nodes = append(p.nodes, n)
		p.byName[w.name] = n
	}
	slices.SortFunc(p.nodes, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
	for i, n := range p.nodes {
		n.place = i
		p.addToRack(n)
	}
	for i, name := range slices.Sorted(maps.Keys(p.racks)) {
		p.racks[name].place = i
	}
}

// addToRack lists a node with its rack.
func (p *plan) addToRack(n *node) {
	r := p.racks[n.life.Rack]
	if r == nil {
		r = &rack{}
		p.racks[n.life.Rack] = r
	}
	n.rack = r
	r.nodes = append(r.nodes, n)
	r.free += n.free.Accelerators
}

// estimate guesses when a run ends and what a stop would lose.
func (p *plan) estimate(r *running, step *job.Step) {
	length := p.c.length(r.tracked, r.name.Step)
	worked, left := time.Duration(0), length
	if o, known := r.node.worker.runs[runID(r)]; known {
		worked = p.now.Sub(o.since)
		left = max(length-worked, length/10)
		if l, ok := o.left(p.now); ok {
			left = l
		}
	}
	r.ends = p.now.Add(left)
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
		lost += time.Duration(worthInTime * float64(length))
	}
	r.cost = lost.Seconds() * weight(step.Resources)
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
	var urgent []*tracked
	for _, t := range p.c.active {
		if t.job.Priority == 0 && !t.progress.Phase.Final() && t.job.Team != "" {
			urgent = append(urgent, t)
		}
	}
	slices.SortFunc(urgent, func(a, b *tracked) int {
		return cmp.Or(a.job.Accepted.Compare(b.job.Accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	used := map[string]int{}
	for _, t := range urgent {
		used[t.job.Team] += widest(t.job)
		guaranteed[t.job.ID] = used[t.job.Team] <= c.GuaranteedAccelerators(t.job.Team)
	}
	return guaranteed
}

// widest is the most accelerators that a step of the job takes at once.
func widest(j *job.Job) int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Tasks*s.Resources.Accelerators)
	}
	return most
}

// keptFor is how long the room that stops free is kept for the one they were for: stops take up to 0.9 s on the users'
// sites.
const keptFor = 1200 * time.Millisecond

// waiting lists what may start now, in the order in which it is looked at: by priority; the guaranteed first, and what has expired
// last; then what is due first. Among jobs of priority 0 those come first that may still be in time, and of
// these the small ones: most of them fit in beside a large one, which waits only a little longer for that.
func (p *plan) waiting() []waiting {
	var all []waiting
	for id, t := range p.c.active {
		if t.progress.Phase.Final() {
			continue
		}
		p.noteNextRound(t)
		units := t.job.Waiting(t.progress, p.now)
		if len(units) == 0 {
			continue
		}
		chain := t.job.Chain(func(step int) time.Duration { return p.c.length(t, step) })
		for _, u := range units {
			due := t.job.Objective(u.Round, chain)
			late := p.now.Sub(due) > 2*due.Sub(t.job.Accepted)
			all = append(all, waiting{
				tracked: t, unit: u, step: t.job.Steps[u.Step], due: due, length: p.c.length(t, u.Step), guaranteed: p.guaranteed[id],
				expired: late && t.job.RoundCount == 0 && !t.job.LongRunning(),
				late:    t.job.Priority == 0 && p.now.Add(p.c.length(t, u.Step)).After(due),
				work:    p.c.work(t), preempts: p.now.Sub(t.preemptedFor[u.Tasks[0]]) < keptFor,
				leavesHeadroom: p.leavesHeadroom(t, u, due, chain), suspicion: p.suspicionOfUnit(t, u), suspectedAt: t.suspectedAt(u, p.now),
			})
		}
	}
	slices.SortFunc(all, func(a, b waiting) int {
		return cmp.Or(
			cmp.Compare(a.tracked.job.Priority, b.tracked.job.Priority),
			compareBool(b.guaranteed, a.guaranteed),
			p.compareIf(KeepFreed, compareBool(b.preempts, a.preempts)),
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
func compareWork(a, b waiting) int {
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

// noteNextRound sees to it that a pass comes when the job's next round is due.
func (p *plan) noteNextRound(t *tracked) {
	for k := range t.job.Rounds() {
		due := t.job.DueAt(k)
		if due.After(p.now) {
			p.wakeAt(due)
			return
		}
	}
}

// seekAdvice asks about workers for a unit that needs tickets. It returns true while nothing more is to be said.
func (p *plan) seekAdvice(w waiting) bool {
	if !w.tracked.job.NeedsPermit {
		return true
	}
	step := stepOf(w.unit.Tasks[0])
	var lives []incarnation.ID
	tickets := 0
	for _, n := range p.nodes {
		if !n.usable || !allowed(w, n) {
			continue
		}
		lives = append(lives, n.life.ID)
		if _, ok := p.c.advice.ticket(step, n.life.ID, p.now); ok {
			tickets++
		}
	}
	open := p.c.advice.unasked(step, lives, p.now)
	if len(open) > 0 {
		p.c.advice.ask(p.ctx, step, open)
	}
	return tickets > 0
}

// place starts a unit, or makes room for it, or holds room back for it.
func (p *plan) place(w waiting) {
	if !p.seekAdvice(w) {
		p.noteWait(w, "no ticket yet")
		return
	}
	if p.undecided(w) {
		p.noteWait(w, "whether its last worker crashed is not known yet")
		return
	}
	key := searchOf(w)
	if !p.noRoom[key] {
		if at := p.find(w, false); at != nil {
			p.start(w, at)
			return
		}
		p.noRoom[key] = true
	}
	if w.tracked.job.Priority == 0 && p.c.has(Preemption) {
		p.noteWait(w, p.preempt(w))
		return
	}
	if w.step.Gang && p.held < reservations && !w.expired && p.c.has(Reservations) {
		p.holdBack(w)
		p.noteWait(w, "room is held back for it")
		return
	}
	p.noteWait(w, "no room")
}

// noteWait logs why a unit waits, when that is not what was logged of it last.
func (p *plan) noteWait(w waiting, why string) {
	if w.tracked.waits[w.unit.Tasks[0]] == why {
		return
	}
	w.tracked.waits[w.unit.Tasks[0]] = why
	p.c.logger.Info().Str("step", "dispatch.wait").Stringer("task", w.unit.Tasks[0]).Int("tasks", len(w.unit.Tasks)).
		Int("priority", w.tracked.job.Priority).Bool("guaranteed", w.guaranteed).Time("due", w.due).Str("why", why).Msg("job waits")
}

// start notes a new run of the unit.
func (p *plan) start(w waiting, at []*node) {
	run := w.tracked.progress.NextRun(w.unit.Tasks)
	for i, name := range w.unit.Tasks {
		n := at[i]
		w.tracked.progress.Assign(p.now, name, run, n.name, n.life.ID)
		n.take(w.step.Reserved())
		n.later = n.later.Plus(w.step.Reserved(), -1)
		if !p.endsBeforeHeld(w, n) {
			n.beside = n.beside.Plus(w.step.Reserved(), -1)
		}
		r := &running{tracked: w.tracked, name: name, run: run, node: n, need: w.step.Reserved(), ends: p.now.Add(w.length)}
		p.addRun(r)
		p.noteSuspect(n, r, w.suspicion)
		if n.health.onProbation() {
			n.usable = false
		}
		p.c.logger.Info().Str("step", "dispatch.start").Stringer("task", name).Int("run", run).Str("worker", n.name).
			Stringer("life", n.life.ID).Int("priority", w.tracked.job.Priority).Bool("guaranteed", w.guaranteed).Dur("estimate_ms", w.step.Estimate).
			Dur("forecast_ms", w.length).
			Time("due", w.due).Msg("run is placed")
	}
	p.c.touch(w.tracked)
	delete(w.tracked.waits, w.unit.Tasks[0])
}
