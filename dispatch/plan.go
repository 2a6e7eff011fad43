package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/job"
)

// Weights and bounds of the plan.
const (
	// dataPatience is how long, in estimates of a task, a task waits for room near its data.
	dataPatience = 1.5
	// reservations is how many waiting gangs have room held back for them at once.
	reservations = 2
)

// node is a worker as the plan sees it.
type node struct {
	*worker
	free job.Need
	// later is what is free once all that was told to stop has ended.
	later job.Need
	runs  []*running
	// heldUntil is until when the room is free for short work only, because a gang waits for it.
	heldUntil time.Time
	usable    bool
}

// running is a run that takes room.
type running struct {
	tracked  *tracked
	name     job.TaskName
	run      int
	node     *node
	need     job.Need
	stopping bool
	ends     time.Time
	// loss is the work that a stop would throw away, in core-seconds (an accelerator counts as 8 cores).
	loss float64
}

// waiting is a unit that may start now.
type waiting struct {
	tracked *tracked
	unit    job.Unit
	step    job.Step
	due     time.Time
	// assured says that the team's guarantee covers the job; hopeless that it earns nothing any more.
	assured  bool
	hopeless bool
}

// plan is one decision: it is made anew in each pass.
type plan struct {
	c *control
	// ctx ends with the office; questions to the adviser live in it.
	ctx     context.Context
	now     time.Time
	nodes   []*node
	racks   map[string][]*node
	byName  map[string]*node
	assured map[job.ID]bool
	held    int
	// vain holds the searches that found nothing. Room only gets less during a decision, so they would find nothing again.
	vain map[search]bool
}

// search is what a search for room depends on.
type search struct {
	service, label, dataRack string
	need                     job.Need
	tasks                    int
	gang, sameRack           bool
	fills, target            bool
	estimate                 time.Duration
	// job is set where the outcome depends on what else of the job runs, or on what was said of it.
	job job.ID
}

// searchOf returns what the search for a unit's room depends on.
func searchOf(w waiting) search {
	s := search{
		service: w.tracked.job.Service, label: w.step.Label, dataRack: w.step.DataRack, need: w.step.Reserved(),
		tasks: len(w.unit.Tasks), gang: w.step.Gang, sameRack: w.step.SameRack, fills: w.step.Fills, target: w.step.Target > 0,
		estimate: w.step.Estimate,
	}
	if w.step.PerWorker > 0 || w.tracked.job.Advised || w.step.DataRack != "" {
		s.job = w.tracked.job.ID
	}
	return s
}

// plan decides what to start and what to stop, and notes it in the jobs' progress.
func (c *control) plan(ctx context.Context, now time.Time) {
	c.next = now.Add(c.timing.Renew)
	p := &plan{c: c, ctx: ctx, now: now, racks: map[string][]*node{}, byName: map[string]*node{}, vain: map[search]bool{}}
	p.addNodes()
	p.addRuns()
	p.assured = p.assuredJobs()
	p.moveStalled()
	p.evacuate()
	for _, w := range p.waiting() {
		p.place(w)
	}
}

// addNodes lists the workers.
func (p *plan) addNodes() {
	for _, w := range p.c.workers {
		if w.life == nil {
			continue
		}
		n := &node{worker: w, free: w.life.Room, later: w.life.Room}
		silent := w.silent || p.now.Sub(w.heard) > p.c.timing.Silent
		n.usable = !silent && !w.life.Leaving && !w.trust.resting(p.now)
		p.nodes = append(p.nodes, n)
		p.byName[w.name] = n
		p.racks[w.life.Rack] = append(p.racks[w.life.Rack], n)
	}
	slices.SortFunc(p.nodes, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
	for _, rack := range p.racks {
		slices.SortFunc(rack, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
	}
}

// addRuns takes what runs off the workers' room.
func (p *plan) addRuns() {
	for id, t := range p.c.jobs {
		t.progress.Placed(id, func(name job.TaskName, task *job.Task) {
			n := p.byName[task.Worker]
			if n == nil || n.life.ID != task.Life {
				return
			}
			step := t.job.Steps[name.Step]
			r := &running{tracked: t, name: name, run: task.Run, node: n, need: step.Reserved()}
			r.stopping = task.Done || t.stopping[name] == task.Run || t.progress.Phase.Final()
			p.estimate(r, step)
			n.runs = append(n.runs, r)
			n.free = n.free.Plus(r.need, -1)
			if !r.stopping {
				n.later = n.later.Plus(r.need, -1)
			}
		})
	}
	for _, n := range p.nodes {
		if n.trust.doubted() && len(n.runs) > 0 {
			n.usable = false
		}
	}
}

// estimate guesses when a run ends and what a stop would lose.
func (p *plan) estimate(r *running, step job.Step) {
	o, known := r.node.worker.runs[runID(r)]
	left := step.Estimate
	worked := time.Duration(0)
	if known && o.percent > 0 {
		worked = p.now.Sub(o.since)
		left = worked * time.Duration(100-o.percent) / time.Duration(o.percent)
	}
	r.ends = p.now.Add(left)
	lost := restartCost
	if !step.Checkpoint {
		lost += worked
	}
	// What has been stopped before costs more each time, or it would be stopped again and again.
	lost += time.Duration(repeatCost * float64(r.run-1) * float64(step.Estimate))
	r.loss = lost.Seconds() * weight(step.Need)
}

// Costs of a stop beside the work that it throws away: the time until the task works again, and what is added for each
// earlier run, as a share of the task's estimate.
const (
	restartCost = 500 * time.Millisecond
	repeatCost  = 0.3
)

// weight is what a second of a task is worth, in core-seconds.
func weight(n job.Need) float64 { return float64(n.CPU)/1000 + 8*float64(n.Accelerators) }

// assuredJobs returns the jobs that their team's guarantee covers: those of priority 0 that have not ended, in the order
// in which they came, as long as all of them together need no more than what is guaranteed.
func (p *plan) assuredJobs() map[job.ID]bool {
	c, _ := p.c.catalog.Current()
	assured := map[job.ID]bool{}
	if c == nil {
		return assured
	}
	var urgent []*tracked
	for _, t := range p.c.jobs {
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
		assured[t.job.ID] = used[t.job.Team] <= c.Guaranteed(t.job.Team)
	}
	return assured
}

// widest is the most accelerators that a step of the job takes at once.
func widest(j *job.Job) int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Tasks*s.Need.Accelerators)
	}
	return most
}

// waiting lists what may start now, in the order in which it is looked at: by priority; the assured first, and what earns
// nothing any more last; then what is due first.
func (p *plan) waiting() []waiting {
	var all []waiting
	for id, t := range p.c.jobs {
		if t.progress.Phase.Final() {
			continue
		}
		p.noteNextRound(t)
		for _, u := range t.job.Waiting(t.progress, p.now, 0) {
			due := t.job.Objective(u.Round)
			late := p.now.Sub(due) > 2*due.Sub(t.job.Accepted)
			all = append(all, waiting{
				tracked: t, unit: u, step: t.job.Steps[u.Step], due: due, assured: p.assured[id],
				hopeless: late && t.job.Times == 0 && !t.job.Lasting(),
			})
		}
	}
	slices.SortFunc(all, func(a, b waiting) int {
		return cmp.Or(
			cmp.Compare(a.tracked.job.Priority, b.tracked.job.Priority),
			compareBool(b.assured, a.assured),
			compareBool(a.hopeless, b.hopeless),
			a.due.Compare(b.due),
			cmp.Compare(a.tracked.job.ID, b.tracked.job.ID),
			cmp.Compare(a.unit.Round, b.unit.Round),
			cmp.Compare(a.unit.Step, b.unit.Step),
			cmp.Compare(a.unit.Tasks[0].Index, b.unit.Tasks[0].Index),
		)
	})
	return all
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
	if !w.tracked.job.Advised {
		return true
	}
	step := stepOf(w.unit.Tasks[0])
	var lives []string
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
		return
	}
	key := searchOf(w)
	if !p.vain[key] {
		if at := p.find(w, false); at != nil {
			p.start(w, at)
			return
		}
		p.vain[key] = true
	}
	if w.tracked.job.Priority == 0 {
		p.preempt(w)
		return
	}
	if w.step.Gang && p.held < reservations && !w.hopeless {
		p.holdBack(w)
	}
}

// domains are the sets of nodes within which a unit may be placed, the better ones first.
func (p *plan) domains(w waiting) [][]*node {
	if w.step.DataRack != "" {
		near := p.racks[w.step.DataRack]
		waited := p.now.Sub(w.tracked.job.Accepted)
		if len(near) > 0 && (!w.step.Gang || p.canEverFit(w, near)) && waited < time.Duration(dataPatience*float64(w.step.Estimate)) {
			return [][]*node{near}
		}
		return [][]*node{near, p.nodes}
	}
	if !w.step.Gang || !w.step.SameRack {
		return [][]*node{p.nodes}
	}
	var racks [][]*node
	for _, rack := range p.racks {
		if p.canEverFit(w, rack) {
			racks = append(racks, rack)
		}
	}
	if len(racks) == 0 {
		return [][]*node{p.nodes}
	}
	slices.SortFunc(racks, func(a, b []*node) int {
		return cmp.Or(cmp.Compare(freeAccelerators(a), freeAccelerators(b)), cmp.Compare(a[0].name, b[0].name))
	})
	return racks
}

func freeAccelerators(nodes []*node) int {
	sum := 0
	for _, n := range nodes {
		sum += n.free.Accelerators
	}
	return sum
}

// canEverFit reports whether the unit would fit into the nodes if they were empty.
func (p *plan) canEverFit(w waiting, nodes []*node) bool {
	left := len(w.unit.Tasks)
	for _, n := range nodes {
		if !n.life.Leaving && allowed(w, n) {
			left -= count(w.step.Reserved(), n.life.Room, bound(w, n))
		}
	}
	return left <= 0
}

// allowed reports whether the tasks of the unit may run on the node at all.
func allowed(w waiting, n *node) bool {
	return n.life.Service == w.tracked.job.Service && (w.step.Label == "" || slices.Contains(n.life.Labels, w.step.Label)) &&
		!disturbs(w.step, n)
}

// disturbs reports whether the step's tasks fill beside tasks on the node that have a target for their users, or the other
// way round. What filling costs them is not known beforehand, so the two are kept apart.
func disturbs(step job.Step, n *node) bool {
	if !step.Fills && step.Target == 0 {
		return false
	}
	return slices.ContainsFunc(n.runs, func(r *running) bool {
		other := r.tracked.job.Steps[r.name.Step]
		return step.Fills && other.Target > 0 || step.Target > 0 && other.Fills
	})
}

// bound is how many more tasks of the unit's step the node may get.
func bound(w waiting, n *node) int {
	if w.step.PerWorker == 0 {
		return len(w.unit.Tasks)
	}
	there := 0
	for _, r := range n.runs {
		if r.name.Job == w.tracked.job.ID && r.name.Step == w.unit.Step && r.name.Round == w.unit.Round {
			there++
		}
	}
	return max(w.step.PerWorker-there, 0)
}

// count is how many tasks fit into the room, most at the most.
func count(need, room job.Need, most int) int {
	n := 0
	for n < most && need.Fits(room) {
		room = room.Plus(need, -1)
		n++
	}
	return n
}

// find returns a node for each task of the unit, or nil. With later it counts what was told to stop as gone.
func (p *plan) find(w waiting, later bool) []*node {
	for _, domain := range p.domains(w) {
		if at := p.findIn(w, domain, later); at != nil {
			return at
		}
	}
	return nil
}

// findIn fills the nodes that are the fullest first, so that what is left free stays together.
func (p *plan) findIn(w waiting, domain []*node, later bool) []*node {
	room := func(n *node) job.Need {
		if later {
			return n.later
		}
		return n.free
	}
	need := w.step.Reserved()
	var candidates []*node
	for _, n := range domain {
		if n.usable && need.Fits(room(n)) && allowed(w, n) && p.mayUse(w, n) && p.hasTicket(w, n) {
			candidates = append(candidates, n)
		}
	}
	avoid := avoided(w)
	slices.SortStableFunc(candidates, func(a, b *node) int {
		return cmp.Or(
			compareBool(avoid[a.name], avoid[b.name]),
			cmp.Compare(room(a).Accelerators, room(b).Accelerators),
			cmp.Compare(room(a).CPU, room(b).CPU),
		)
	})
	var at []*node
	for _, n := range candidates {
		most := min(bound(w, n), len(w.unit.Tasks)-len(at))
		if n.trust.doubted() {
			most = min(most, 1)
		}
		for range count(need, room(n), most) {
			at = append(at, n)
		}
		if len(at) == len(w.unit.Tasks) {
			return at
		}
	}
	return nil
}

// mayUse reports whether the unit may use a node that is held back for a gang: only if it ends in time.
func (p *plan) mayUse(w waiting, n *node) bool {
	return n.heldUntil.IsZero() || !p.now.Add(w.step.Estimate).After(n.heldUntil)
}

// hasTicket reports whether the unit has a ticket for the node, or needs none.
func (p *plan) hasTicket(w waiting, n *node) bool {
	if !w.tracked.job.Advised {
		return true
	}
	_, ok := p.c.advice.ticket(stepOf(w.unit.Tasks[0]), n.life.ID, p.now)
	return ok
}

// avoided are the workers on which tasks of the unit have failed.
func avoided(w waiting) map[string]bool {
	avoid := map[string]bool{}
	for _, name := range w.unit.Tasks {
		if t := w.tracked.progress.Task(name); t != nil && t.Avoid != "" {
			avoid[t.Avoid] = true
		}
	}
	return avoid
}

// start notes a new run of the unit.
func (p *plan) start(w waiting, at []*node) {
	run := w.tracked.progress.NextRun(w.unit.Tasks)
	for i, name := range w.unit.Tasks {
		n := at[i]
		w.tracked.progress.Assign(name, run, n.name, n.life.ID)
		n.free = n.free.Plus(w.step.Reserved(), -1)
		n.later = n.later.Plus(w.step.Reserved(), -1)
		r := &running{tracked: w.tracked, name: name, run: run, node: n, need: w.step.Reserved(), ends: p.now.Add(w.step.Estimate)}
		n.runs = append(n.runs, r)
		if n.trust.doubted() {
			n.usable = false
		}
		p.c.logger.Info().Str("step", "dispatch.start").Stringer("task", name).Int("run", run).Str("worker", n.name).
			Str("life", n.life.ID).Int("priority", w.tracked.job.Priority).Bool("assured", w.assured).Msg("run is placed")
	}
	w.tracked.dirty = true
}

// holdBack keeps the rack, or the nodes, that would be free first for the unit.
func (p *plan) holdBack(w waiting) {
	var best []*node
	var bestAt time.Time
	for _, domain := range p.domains(w) {
		if at, ok := p.freeAt(w, domain); ok && (best == nil || at.Before(bestAt)) {
			best, bestAt = domain, at
		}
	}
	if best == nil {
		return
	}
	p.held++
	for _, n := range best {
		if allowed(w, n) && (n.heldUntil.IsZero() || bestAt.Before(n.heldUntil)) {
			n.heldUntil = bestAt
		}
	}
}

// freeAt guesses when the unit fits into the domain if nothing else starts there.
func (p *plan) freeAt(w waiting, domain []*node) (time.Time, bool) {
	var runs []*running
	room := map[*node]job.Need{}
	for _, n := range domain {
		if allowed(w, n) && n.usable {
			room[n] = n.free
			runs = append(runs, n.runs...)
		}
	}
	slices.SortFunc(runs, func(a, b *running) int { return a.ends.Compare(b.ends) })
	for _, r := range runs {
		free, ok := room[r.node]
		if !ok {
			continue
		}
		room[r.node] = free.Plus(r.need, 1)
		left := len(w.unit.Tasks)
		for n, have := range room {
			left -= count(w.step.Reserved(), have, bound(w, n))
		}
		if left <= 0 {
			return r.ends, true
		}
	}
	return time.Time{}, false
}
