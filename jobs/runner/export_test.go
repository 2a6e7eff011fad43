package runner

import "yarrowgrade.example/yarrowgrade/jobs/assignment"

// PaceAfter returns the pace of a run that fills beside one that serves, after a look at each of the serving one's figures.
func PaceAfter(serving, filling assignment.RunID, target int64, gauges []int) int {
	p := newPacer()
	p.assign([]assignment.Role{{RunID: serving, LatencyTargetMillis: target}, {RunID: filling, BestEffort: true}})
	for _, gauge := range gauges {
		p.look(map[assignment.RunID]*known{serving: {phase: there, gauge: gauge}, filling: {phase: there}})
	}
	return p.percent
}
