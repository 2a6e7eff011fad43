package dispatch

import (
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// lossCause is why the work of a run was thrown away.
type lossCause string

// The causes. A gang that breaks counts under the cause of the member that ended first.
const (
	lossNone    lossCause = "none"
	lossYielded lossCause = "yielded"
	lossStalled lossCause = "stalled"
	lossMoved   lossCause = "worker_leaves"
	lossCordon  lossCause = "zone_cordoned"
	lossShrunk  lossCause = "room_shrunk"
	lossFailed  lossCause = "failed"
	lossWorker  lossCause = "worker_lost"
	lossLapsed  lossCause = "lease_lapsed"
	lossAlone   lossCause = "gang_incomplete"
	lossBroken  lossCause = "gang_broken"
	lossCancel  lossCause = "cancelled"
)

func lossCauses() []lossCause {
	return []lossCause{lossYielded, lossStalled, lossMoved, lossCordon, lossShrunk, lossFailed, lossWorker, lossLapsed, lossAlone, lossBroken, lossCancel}
}

// stopCause is the cause under which a stop's losses count.
func stopCause(why string) lossCause {
	switch stopLabel(why) {
	case stopYields:
		return lossYielded
	case stopStall:
		return lossStalled
	case stopCordoned:
		return lossCordon
	case stopShrunk:
		return lossShrunk
	}
	return lossMoved
}

// lossCause is why a run ended as it did, without regard to its gang.
func (t *trackedJob) lossCause(e assignment.End) lossCause {
	switch {
	case e.Reason == job.EndDone || e.Reason == job.EndRefused:
		return lossNone
	case t.progress.Phase == job.Cancelled:
		return lossCancel
	case e.Reason == job.EndFailed:
		return lossFailed
	case e.Reason == job.EndLost:
		return lossWorker
	case e.Reason == job.EndLeaseExpired:
		return lossLapsed
	case e.Reason == job.EndGangIncomplete:
		return lossAlone
	}
	if cause, ok := t.causes[e.Task]; ok {
		return cause
	}
	return lossBroken
}

// recordWorkLost says why a run ended, and how much of its work was thrown away, in core-seconds (an accelerator counts as eight
// cores). Work that is saved counts as kept, though the last half second of it may not be.
func (t *trackedJob) recordWorkLost(e assignment.End) (lossCause, float64) {
	cause := t.lossCause(e)
	step := t.job.Steps[e.Task.Step]
	delete(t.causes, e.Task)
	if cause == lossNone {
		return cause, 0
	}
	if step.Gang {
		// The first member that ends says why the others break.
		first := firstOf(e.Task)
		if b, ok := t.gangEnds[first]; ok && b.run == e.Run {
			cause = b.cause
		} else {
			t.gangEnds[first] = gangEnd{run: e.Run, cause: cause}
		}
	}
	if step.Checkpoint || step.LongRunning {
		return cause, 0
	}
	return cause, e.Took().Seconds() * weight(step.Resources)
}

// gangEnd says why a run of a gang broke.
type gangEnd struct {
	run   int
	cause lossCause
}
