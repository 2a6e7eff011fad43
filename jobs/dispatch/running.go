package dispatch

import (
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// addRuns takes what runs off the workers' room.
func (p *plan) addRuns() {
	placed := 0
	for _, t := range p.c.active {
		placed += t.progress.PlacedTasks()
	}
	// All runs of a decision are made at once: at the design size there are 14,000.
	runs := make([]running, 0, placed)
	for id, t := range p.c.active {
		t.progress.Placed(id, func(name job.TaskName, task *job.Task) {
			n := p.byName[task.Worker]
			if n == nil || n.state.ID != task.Incarnation {
				return
			}
			step := &t.job.Steps[name.Step]
			runs = append(runs, running{tracked: t, name: name, run: task.Run, node: n, resources: step.Reserved()})
			r := &runs[len(runs)-1]
			r.stopping = task.Done || t.stopping[name] == task.Run || t.progress.Phase.Final()
			p.estimateRun(r, step)
			p.addRun(r)
			n.reserve(r.resources)
			if !r.stopping {
				n.freeAfterStops = n.freeAfterStops.Plus(r.resources, -1)
			}
		})
	}
	p.alignGangs()
	p.addUnplacedRuns()
	for _, n := range p.nodes {
		if n.health.onProbation() && len(n.runs) > 0 {
			n.usable = false
		}
	}
}

// addUnplacedRuns takes the room of runs off that workers list and that are not placed there: orders that came late to a new start under the same id. They are told to
// stop, and take room until they have; a worker that does not guard its room would hold more than it has.
func (p *plan) addUnplacedRuns() {
	for _, n := range p.nodes {
		for id := range n.worker.runs {
			if t := p.c.jobs[id.Task.Job]; t != nil && id.Task.Step < len(t.job.Steps) && !isPlacedOn(t, n, id) {
				n.reserve(t.job.Steps[id.Task.Step].Reserved())
			}
		}
	}
}

// isPlacedOn reports whether a run is placed on the present life of a node's worker.
func isPlacedOn(t *trackedJob, n *node, id assignment.RunID) bool {
	task := t.progress.Task(id.Task)
	return task != nil && task.Placed() && task.Run == id.Run && task.Incarnation == n.state.ID
}

// addRun lists a run with its node, and with its gang if it is part of one.
func (p *plan) addRun(r *running) {
	r.node.runs = append(r.node.runs, r)
	if r.tracked.job.Steps[r.name.Step].Gang {
		first := firstOf(r.name)
		p.gangs[first] = append(p.gangs[first], r)
	}
}

// alignGangs lets the members of a gang end together, with the last of them.
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

// firstOf names the first task of a task's step and round.
func firstOf(name job.TaskName) job.TaskName {
	name.Index = 0
	return name
}
