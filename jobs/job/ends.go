package job

import "yarrowgrade.example/yarrowgrade/jobs/incarnation"

// runEnd describes the end of a run: the reason, the last checkpoint and, if its worker was lost,
// the loss.
type runEnd struct {
	reason     EndReason
	checkpoint string
	loss       RunLoss
}

// RecordEnd records the end of a run. It returns false, and changes nothing, unless that run is
// placed on that incarnation.
func (p *Progress) RecordEnd(
	j *Job, name TaskName, run int, on incarnation.ID, reason EndReason, checkpoint string,
) bool {
	return p.recordEnd(j, name, run, on, runEnd{reason: reason, checkpoint: checkpoint})
}

// RecordLoss records that a run was lost with its worker, or given up. It returns false, and
// changes nothing, unless that run is placed on that incarnation.
func (p *Progress) RecordLoss(j *Job, name TaskName, run int, on incarnation.ID, l RunLoss) bool {
	return p.recordEnd(j, name, run, on, runEnd{reason: EndLost, loss: l})
}

// RecordLateEnd records the end of a run that had been given up. Any run can complete its task,
// and a failure counts as one attempt of the task or of its gang. It returns false, and changes
// nothing, for other reasons and for ends that were already recorded.
func (p *Progress) RecordLateEnd(j *Job, name TaskName, run int, reason EndReason) bool {
	t := p.Task(name)
	if t == nil || t.Done || !t.isGivenUp(run) || p.Phase.Final() {
		return false
	}
	if name.Step >= len(j.Steps) || j.Steps[name.Step].LongRunning {
		return false
	}
	switch {
	case reason == EndDone:
		p.complete(j.unitMembers(name), run)
	case reason == EndFailed && !t.hasFailed(run):
		p.countFailure(j.unitMembers(name), run)
	default:
		return false
	}
	p.updatePhase(j)
	return true
}

// complete marks the tasks as done by a run that had been given up. Other members of a gang may report
// the same end.
func (p *Progress) complete(members []TaskName, run int) {
	for _, m := range members {
		p.ensureTask(m).Done = true
		p.ensureTask(m).unmarkGivenUp(run)
	}
}

func (p *Progress) recordEnd(j *Job, name TaskName, run int, on incarnation.ID, e runEnd) bool {
	t := p.Task(name)
	if t == nil || !t.Placed() || t.Run != run || t.Incarnation != on || name.Step >= len(j.Steps) {
		return false
	}
	worker := t.Worker
	t.Worker, t.Incarnation = "", incarnation.ID{}
	t.recordLoss(worker, on, e.loss)
	p.removePlaced(taskKey{name.Round, name.Step, name.Index})
	members := j.unitMembers(name)
	p.applyReason(t, worker, j.Steps[name.Step], members, run, e.reason)
	if e.checkpoint != "" && !t.Done {
		for _, m := range members {
			p.ensureTask(m).Checkpoint = e.checkpoint
		}
	}
	p.updatePhase(j)
	return true
}

// applyReason applies the reason of a run's end to its task and the other members of its gang.
func (p *Progress) applyReason(
	t *Task, worker string, step Step, members []TaskName, run int, reason EndReason,
) {
	switch reason {
	case EndLost:
		t.markGivenUp(run)
	case EndDone:
		if step.LongRunning {
			return
		}
		for _, m := range members {
			p.ensureTask(m).Done = true
		}
	case EndRefused:
		t.uncountStart()
		t.markGivenUp(run)
	case EndFailed:
		t.AvoidWorker = worker
		if !step.LongRunning {
			p.countFailure(members, run)
		}
	}
}

// countFailure counts a failed run as one attempt of a task, or of its gang. Several members of a gang
// may fail in the same run, and their ends may be read in any order and after later runs; they count
// as one attempt.
func (p *Progress) countFailure(members []TaskName, run int) {
	for _, m := range members {
		if t := p.ensureTask(m); t.Run >= run && !t.hasFailed(run) {
			t.countFailure(run)
		}
	}
}
