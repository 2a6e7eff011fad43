package dispatch

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/backlog"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// backlogInterval is the time between two computations of the backlog. The sum over all tasks would
// lengthen each decision considerably, and the leader stores a forecast at most once a second.
const backlogInterval = time.Second

// updateBacklog updates the backlog of the overloaded services if that is due.
func (c *Controller) updateBacklog(p *plan) {
	switch {
	case !p.has(LoadShedding) || !p.anyOverloaded():
		c.backlog = backlog.Forecast{}
	case p.now.Sub(c.backlogAt) >= backlogInterval:
		c.backlog, c.backlogAt = p.forecast(), p.now
	}
}

// anyOverloaded reports whether any service is overloaded.
func (p *plan) anyOverloaded() bool {
	for _, load := range p.loads {
		if load.overloaded() {
			return true
		}
	}
	return false
}

// forecast returns the backlog of each overloaded service.
func (p *plan) forecast() backlog.Forecast {
	f := backlog.Forecast{}
	services := map[string]*serviceBacklog{}
	for name, load := range p.loads {
		if load.overloaded() && p.busy(name) {
			services[name] = &serviceBacklog{capacity: load.capacity, of: map[backlog.Key]time.Duration{}}
		}
	}
	p.addRunsTo(services)
	for _, t := range p.active {
		if s := services[t.job.Service]; s != nil && !t.progress.Phase.Final() {
			p.addWaiting(s, t)
		}
	}
	for name, s := range services {
		if sum := backlog.NewService(s.capacity, s.of); !sum.Empty() {
			f = f.With(name, sum)
		}
	}
	return f
}

// minBusyShare is the share of a service's capacity below which its backlog is not worked off in
// turn: workers are free although units wait, for example since gangs wait for whole workers, and
// work that is submitted now may find capacity.
const minBusyShare = 0.75

// busy reports whether the runs that are placed after the decision take so much of a service's
// capacity that new work has to wait for the backlog.
func (p *plan) busy(service string) bool { return p.placedShare(service) >= minBusyShare }

// placedShare returns the share of a service's capacity that placed runs take.
func (p *plan) placedShare(service string) float64 {
	var placed job.Resources
	for _, n := range p.nodes {
		if n.state.Service != service || !n.available() {
			continue
		}
		for _, r := range n.runs {
			placed = placed.Plus(r.resources, 1)
		}
	}
	share, _ := placed.DominantShare(p.loads[service].capacity)
	return share
}

// serviceBacklog sums up the backlog of a service.
type serviceBacklog struct {
	// capacity is that of the available workers, without what long-running tasks reserve there: that
	// part does not become free.
	capacity job.Resources
	of       map[backlog.Key]time.Duration
}

func (s *serviceBacklog) add(j *job.Job, step *job.Step, d time.Duration, tasks int) {
	share, ok := step.Reserved().DominantShare(s.capacity)
	if !ok {
		return
	}
	key := backlog.Key{Priority: j.Priority, Team: j.Team}
	s.of[key] += time.Duration(float64(d) * share * float64(tasks))
}

// addRunsTo adds what remains of the runs on available workers. A run that is to stop counts with
// its whole duration in addWaiting, since the work is repeated.
func (p *plan) addRunsTo(services map[string]*serviceBacklog) {
	for _, n := range p.nodes {
		s := services[n.state.Service]
		if s == nil || !n.available() {
			continue
		}
		for _, r := range n.runs {
			if r.step().LongRunning {
				s.capacity = s.capacity.Plus(r.resources, -1)
			}
		}
	}
	for _, n := range p.nodes {
		s := services[n.state.Service]
		if s == nil || !n.available() {
			continue
		}
		for _, r := range n.runs {
			if !r.stopping && !r.step().LongRunning {
				s.add(r.tracked.job, r.step(), max(r.endsAt.Sub(p.now), 0), 1)
			}
		}
	}
}

// addWaiting adds the tasks of a job that wait, in all rounds that are due and also where they
// depend on tasks that are not done. Tasks that fit on no available worker are left out: nobody
// waits for them.
func (p *plan) addWaiting(s *serviceBacklog, t *trackedJob) {
	placed := make([]int, len(t.job.Steps))
	t.progress.EachTask(t.job.ID, func(name job.TaskName, task *job.Task) {
		if task.Done || task.Placed() && !t.stopping(name, task.Run) {
			placed[name.Step]++
		}
	})
	rounds := dueRounds(t.job, p.now)
	for i := range t.job.Steps {
		step := &t.job.Steps[i]
		waiting := rounds*step.Tasks - placed[i]
		if waiting > 0 && !step.LongRunning && p.fitsAnywhere(t.job, step) {
			s.add(t.job, step, p.predictor.duration(t, i), waiting)
		}
	}
}

// dueRounds returns the number of rounds of a job that may start.
func dueRounds(j *job.Job, now time.Time) int {
	rounds := 0
	for rounds < j.Rounds() && !j.DueAt(rounds).After(now) {
		rounds++
	}
	return rounds
}

// fitsAnywhere reports whether the available workers could run a task of a step, or all tasks of a
// gang, after all runs have ended except those of long-running tasks.
func (p *plan) fitsAnywhere(j *job.Job, step *job.Step) bool {
	needed := 1
	if step.Gang {
		needed = step.Tasks
	}
	for _, n := range p.nodes {
		suitable := n.available() && n.state.Service == j.Service &&
			(step.RequiredLabel == "" || slices.Contains(n.state.Labels, step.RequiredLabel))
		if !suitable {
			continue
		}
		needed -= tasksFitting(step.Reserved(), n.withoutLongRunning(), needed)
		if needed <= 0 {
			return true
		}
	}
	return false
}
