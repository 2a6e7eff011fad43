package job

import (
	"slices"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// runEnd is how a run ended, what it saved and, if it ended with its worker, what that means.
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

// RecordLoss records that a run ended with its worker, or that it was given up. It returns
// false, and changes nothing, unless that run is placed on that incarnation.
func (p *Progress) RecordLoss(j *Job, name TaskName, run int, on incarnation.ID, l RunLoss) bool {
	return p.recordEnd(j, name, run, on, runEnd{reason: EndLost, loss: l})
}

// RecordLateEnd records the end of a run that had been given up. A task is done whichever of
// its runs did it, and a failure counts as one attempt. It returns false, and changes nothing,
// for other ends and for ends that were recorded before.
func (p *Progress) RecordLateEnd(j *Job, name TaskName, run int, reason EndReason) bool {
	t := p.Task(name)
	if t == nil || t.Done || !slices.Contains(t.GivenUp, run) || p.Phase.Final() {
		return false
	}
	if name.Step >= len(j.Steps) || j.Steps[name.Step].LongRunning {
		return false
	}
	if reason != EndDone && reason != EndFailed {
		return false
	}
	// Other members of a gang list the same end.
	for _, m := range j.unitMembers(name) {
		if reason == EndDone {
			p.ensureTask(m).Done = true
		} else {
			p.ensureTask(m).Failures++
		}
		p.ensureTask(m).unmarkGivenUp(run)
	}
	p.updatePhase(j)
	return true
}

func (p *Progress) recordEnd(j *Job, name TaskName, run int, on incarnation.ID, e runEnd) bool {
	t := p.Task(name)
	if t == nil || !t.Placed() || t.Run != run || t.Incarnation != on || name.Step >= len(j.Steps) {
		return false
	}
	worker := t.Worker
	t.Worker, t.Incarnation = "", incarnation.ID{}
	t.recordLoss(worker, on, e.loss)
	p.removePlaced(slot{name.Round, name.Step, name.Index})
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

// applyReason records what the reason of a run's end means for its task and the other members
// of its gang.
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
		t.Avoid = worker
		p.countFailure(members, run, step)
	}
}

// countFailure counts one attempt of a task, or of its gang.
func (p *Progress) countFailure(members []TaskName, run int, step Step) {
	if step.LongRunning {
		return
	}
	for _, m := range members {
		t := p.ensureTask(m)
		// Several members of a gang may fail in one run, which is one attempt.
		if t.Run != run || t.FailedRun == run {
			continue
		}
		t.FailedRun = run
		t.Failures++
	}
}
