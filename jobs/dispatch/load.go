package dispatch

import "yarrowgrade.example/yarrowgrade/jobs/job"

// serviceLoad compares what the jobs of a service ask for with the capacity of its workers.
type serviceLoad struct {
	// asked is what the placed runs and the ready units reserve. Gangs that would not fit even if
	// nothing ran but long-running tasks are left out: they take capacity from nobody.
	asked job.Resources
	// capacity is that of the workers that neither drain, nor are silent, nor are in a cordoned zone.
	capacity job.Resources
}

// overloaded reports whether more is asked for than there is, in any resource.
func (l serviceLoad) overloaded() bool { return !l.asked.FitsIn(l.capacity) }

// measureLoad sets the load of each service, given the units that may start now. Runs on workers
// that don't count are left out: their capacity is gone once they end.
func (p *plan) measureLoad(ready []waitingUnit) {
	for _, n := range p.nodes {
		if !n.available() {
			continue
		}
		load := p.loads[n.state.Service]
		load.capacity = load.capacity.Plus(n.state.Capacity, 1)
		for _, r := range n.runs {
			load.asked = load.asked.Plus(r.resources, 1)
		}
		p.loads[n.state.Service] = load
	}
	for _, w := range ready {
		if w.step.Gang && !fitsEmpty(w, p.nodes, emptyAvailable) {
			continue
		}
		load := p.loads[w.tracked.job.Service]
		load.asked = load.asked.Plus(w.step.Reserved(), len(w.unit.Tasks))
		p.loads[w.tracked.job.Service] = load
	}
}

// overloaded reports whether the service of a unit is overloaded.
func (p *plan) overloaded(w waitingUnit) bool { return p.loads[w.tracked.job.Service].overloaded() }

// ratio returns what is asked for as a multiple of the capacity, in the resource in which it is
// largest. A service without any of a resource that is asked for counts as twice overloaded.
func (l serviceLoad) ratio() float64 {
	share, ok := l.asked.DominantShare(l.capacity)
	if !ok {
		return max(share, 2)
	}
	return share
}

// logOverload logs the services that have become overloaded, or are no longer.
func (c *Controller) logOverload() {
	for service := range c.overloaded {
		// A service that has no workers and no jobs left has no load.
		c.logOverloadOf(service, c.loads[service])
	}
	for service, load := range c.loads {
		c.logOverloadOf(service, load)
	}
}

func (c *Controller) logOverloadOf(service string, load serviceLoad) {
	now := load.overloaded()
	if now == c.overloaded[service] {
		return
	}
	if now {
		c.overloaded[service] = true
	} else {
		delete(c.overloaded, service)
	}
	c.logger.Info().Str("step", "dispatch.load").Str("service", service).Bool("overloaded", now).
		Float64("load", load.ratio()).Msg("load of a service has changed")
}
