package job

import "time"

// Unit is the smallest set of tasks that is placed together: a whole gang, or one task.
type Unit struct {
	Round int
	Step  int
	Tasks []TaskName
}

// ReadyUnits returns the units that may start now: their round is due, the steps that they depend
// on are done, and none of their tasks is done or placed.
func (j *Job) ReadyUnits(p *Progress, now time.Time) []Unit {
	if p.Phase.Final() || p.PlacedTasks() == j.taskCount() {
		return nil
	}
	var units []Unit
	for round := range j.Rounds() {
		if j.DueAt(round).After(now) {
			break
		}
		for step := range j.Steps {
			if j.dependenciesDone(p, round, step) {
				units = append(units, j.waitingUnits(p, round, step)...)
			}
		}
	}
	return units
}

func (j *Job) dependenciesDone(p *Progress, round, step int) bool {
	for _, d := range j.Steps[step].DependsOn {
		if !p.stepDone(j, round, d) {
			return false
		}
	}
	return true
}

func (j *Job) waitingUnits(p *Progress, round, step int) []Unit {
	names := j.stepTasks(round, step)
	if j.Steps[step].Gang {
		for _, n := range names {
			if t := p.Task(n); t != nil && (t.Done || t.Placed()) {
				return nil
			}
		}
		return []Unit{{Round: round, Step: step, Tasks: names}}
	}
	var units []Unit
	for _, n := range names {
		if t := p.Task(n); t == nil || !t.Done && !t.Placed() {
			units = append(units, Unit{Round: round, Step: step, Tasks: []TaskName{n}})
		}
	}
	return units
}
