package dispatch

import (
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// lossCause is why the work of a run was discarded, as named in metrics and logs.
type lossCause string

// The causes. All members of a gang that breaks count under the cause of the member that ended
// first.
const (
	lossNone       lossCause = "none"
	lossYielded    lossCause = "yielded"
	lossStalled    lossCause = "stalled"
	lossDrained    lossCause = "worker_leaves"
	lossCordoned   lossCause = "zone_cordoned"
	lossShrunk     lossCause = "room_shrunk"
	lossSlowWorker lossCause = "worker_slow"
	lossFailed     lossCause = "failed"
	lossWorker     lossCause = "worker_lost"
	lossLease      lossCause = "lease_lapsed"
	lossIncomplete lossCause = "gang_incomplete"
	lossGangBroken lossCause = "gang_broken"
	lossCancelled  lossCause = "cancelled"
)

func lossCauses() []lossCause {
	return []lossCause{
		lossYielded, lossStalled, lossDrained, lossCordoned, lossShrunk, lossSlowWorker, lossFailed,
		lossWorker, lossLease, lossIncomplete, lossGangBroken, lossCancelled,
	}
}

// stopReason is why a run is requested to stop.
type stopReason struct {
	// text is for logs, label for the metric of stops, and cause for the lost work.
	text  string
	label string
	cause lossCause
}

// Labels of the metric of stops.
const (
	stopYields   = "yields"
	stopStalled  = "stalled"
	stopDraining = "worker_leaves"
	stopCordoned = "zone_cordoned"
	stopShrunk   = "room_shrunk"
	stopSlow     = "worker_slow"
)

// The reasons for stops, besides yieldsTo.
var (
	stalled             = stopReason{"it stands still", stopStalled, lossStalled}
	zoneCordoned        = stopReason{"its zone is cordoned and it has not begun", stopCordoned, lossCordoned}
	capacityShrunk      = stopReason{"its worker's room has shrunk and it has not begun", stopShrunk, lossShrunk}
	workerSlow          = stopReason{"its worker has turned slow, and it can be on time elsewhere", stopSlow, lossSlowWorker}
	runLags             = stopReason{"it lags behind its step, and can be on time elsewhere", stopSlow, lossSlowWorker}
	workerDraining      = stopReason{"its worker leaves before it ends", stopDraining, lossDrained}
	workerDrainingSaved = stopReason{"its worker leaves, and its work is saved", stopDraining, lossDrained}
)

// yieldsTo returns the reason for stopping a run to free capacity for an urgent unit. The
// command-line tool finds the unit in the text.
func yieldsTo(unit job.TaskName) stopReason {
	return stopReason{"it yields to " + unit.String(), stopYields, lossYielded}
}

// waitReason is why a unit waits, for logs.
type waitReason string

// The reasons why units wait.
const (
	waitPermit         waitReason = "no ticket yet"
	waitVerdict        waitReason = "whether its last worker crashed is not known yet"
	waitOpenStart      waitReason = "an earlier start of it may still be carried out"
	waitStops          waitReason = "what was told to stop still ends"
	waitCapacityInTime waitReason = "room comes in time by itself"
	waitNothingStops   waitReason = "no room, and nothing yields"
	waitOverBudget     waitReason = "what yields would lose more work than this is worth"
	waitReserved       waitReason = "room is held back for it"
	waitBurst          waitReason = "it was stopped for an urgent job, and the burst of urgent jobs lasts"
	waitStaying        waitReason = "a rollout replaces the other workers before it could end there"
	waitNoCapacity     waitReason = "no room"
	waitRack           waitReason = "no rack has room for all of it, and it would be slow in several"
	waitTeamShare      waitReason = "no room, and its team is above its share"
)

// lostReason is why a run is given up without a reported end, with its label in metrics.
type lostReason struct {
	text  string
	label string
}

// The reasons why runs are given up.
var (
	leaseExpired     = lostReason{"its lease is over", "lease_over"}
	incarnationEnded = lostReason{"its life is over", "life_over"}
)

// gangEnd is why the first member to end in a run of a gang ended.
type gangEnd struct {
	run   int
	cause lossCause
}

// workLost returns why the work of an ended run was lost, and how much, in core-seconds. Work that
// saves checkpoints counts as kept, though the part since the last checkpoint may be lost.
func (t *trackedJob) workLost(e assignment.End) (lossCause, float64) {
	cause := t.lossCause(e)
	if cause == lossNone {
		return cause, 0
	}
	step := t.step(e.Task)
	if step.Gang {
		first := firstOf(e.Task)
		if earlier, ok := t.gangEnds[first]; ok && earlier.run == e.Run {
			cause = earlier.cause
		} else {
			t.gangEnds[first] = gangEnd{run: e.Run, cause: cause}
		}
	}
	if step.Checkpoint || step.LongRunning {
		return cause, 0
	}
	return cause, e.Took().Seconds() * weight(step.Resources)
}

// lossCause returns why a run ended as it did, regardless of its gang.
func (t *trackedJob) lossCause(e assignment.End) lossCause {
	switch {
	case e.Reason == job.EndDone || e.Reason == job.EndRefused:
		return lossNone
	case t.progress.Phase == job.Cancelled:
		return lossCancelled
	case e.Reason == job.EndFailed:
		return lossFailed
	case e.Reason == job.EndLost:
		return lossWorker
	case e.Reason == job.EndLeaseExpired:
		return lossLease
	case e.Reason == job.EndGangIncomplete:
		return lossIncomplete
	}
	if order := t.stops[e.Task]; order.cause != "" {
		return order.cause
	}
	return lossGangBroken
}
