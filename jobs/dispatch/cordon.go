package dispatch

import (
	"cmp"
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// stopInCordonedZones stops what was placed in an availability zone that has been cordoned since, and is not known to have begun: its agent
// may hold it back until the zone is open again. A gang is withdrawn whole, or those of its members that have begun would end for lack of the
// others, after four seconds on the users' sites. What has begun goes on: moving at once what saves its work gained nothing (-0.015 of a
// day, error 0.014, 20 pairs of days with two zones cordoned).
func (p *plan) stopInCordonedZones() {
	for _, n := range p.nodes {
		if !n.cordoned {
			continue
		}
		for _, r := range n.runs {
			if r.started() {
				continue
			}
			for _, member := range p.withGang(r) {
				p.stop(member, whyCordoned)
			}
		}
	}
}

// stopOverCapacity stops what was placed on a worker whose room has shrunk since, and is not known to have begun, as far as it does not fit any more: its
// agent holds it back. What has begun goes on: the worker bears it, and a stop would throw its work away.
func (p *plan) stopOverCapacity() {
	for _, n := range p.nodes {
		if (job.Resources{}).FitsIn(n.freeAfterStops) {
			continue
		}
		slices.SortFunc(n.runs, func(a, b *running) int {
			return cmp.Or(cmp.Compare(b.tracked.job.Priority, a.tracked.job.Priority), cmp.Compare(b.name.String(), a.name.String()))
		})
		for _, r := range n.runs {
			if r.started() || (job.Resources{}).FitsIn(n.freeAfterStops) {
				continue
			}
			for _, member := range p.withGang(r) {
				p.stop(member, whyShrunk)
			}
		}
	}
}

// started reports whether the worker's agent has said that the run is there.
func (r *running) started() bool {
	o, known := r.node.worker.runs[runID(r)]
	return known && o.percent >= 0
}

// withGang returns a run with the others of its gang.
func (p *plan) withGang(r *running) []*running {
	if !r.tracked.job.Steps[r.name.Step].Gang {
		return []*running{r}
	}
	return p.gangs[firstOf(r.name)]
}
