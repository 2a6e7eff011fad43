package job

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// EndReason is the reason why a run ended.
type EndReason string

// End reasons. Only EndDone counts as a success and only EndFailed as an attempt; the others are
// caused by the scheduler or the worker.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the worker ended the run because its lease was not renewed.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken means that another member of the gang ended, and EndGangIncomplete that the
	// other members did not start.
	EndGangBroken     EndReason = "broken"
	EndGangIncomplete EndReason = "alone"
	// EndLost means that the worker is gone, or that its lease has certainly expired.
	EndLost EndReason = "lost"
	// EndRefused means that the worker did not start the run and never will.
	EndRefused EndReason = "refused"
)

// Task is the execution state of a task.
type Task struct {
	// Run is the number of the newest run, starting at 1; the members of a gang share it.
	Run int `json:"r"`
	// Worker and Incarnation identify where that run is placed; both are empty if it is not
	// placed. A placed run holds its resources until its end is known.
	Worker      string         `json:"w,omitempty"`
	Incarnation incarnation.ID `json:"l,omitzero"`
	// Failures counts the failed runs; FailedRun is the newest of them.
	Failures  int  `json:"f,omitempty"`
	FailedRun int  `json:"fr,omitempty"`
	Done      bool `json:"d,omitempty"`
	// GivenUp lists the newest runs that were given up before their end was known, except those in
	// GivenUpFailed: runs that have been counted as failed, because another member of the gang failed
	// in them. Their ends must not be counted again, though they may still complete the task.
	GivenUp       []int `json:"gu,omitempty"`
	GivenUpFailed []int `json:"gf,omitempty"`
	// HeldUntil is the time, by the leader's clock, before which the task must not start again,
	// because an earlier start may still be carried out.
	HeldUntil time.Time `json:"hu,omitzero"`
	// HeldOn lists the workers of these starts. If it is empty while the task is held, the workers
	// are unknown.
	HeldOn []string `json:"ho,omitempty"`
	// Checkpoint is the newest saved checkpoint; it is opaque.
	Checkpoint string `json:"s,omitempty"`
	// AvoidWorker is the worker on which the task failed most recently.
	AvoidWorker string `json:"a,omitempty"`

	// Crashes counts the workers that certainly crashed while they ran the task, UncertainCrashes
	// those that may have. SoleCrashes counts the crashes of both kinds for which the task, or its
	// gang, was the only possible cause, except for the task's first crash.
	Crashes          int `json:"c,omitempty"`
	UncertainCrashes int `json:"cd,omitempty"`
	SoleCrashes      int `json:"ca,omitempty"`
	// ExtraStarts counts the starts after the number of possible crashes reached the threshold for
	// giving up the task.
	ExtraStarts int `json:"ce,omitempty"`
	// Unresolved maps the incarnations on which a run was given up before it was known whether
	// they crashed to these runs.
	Unresolved map[incarnation.ID]unresolvedRun `json:"co,omitempty"`
}

// Placed reports whether a run of the task is placed, so that it holds resources on a worker.
func (t *Task) Placed() bool { return t.Worker != "" }

// maxGivenUp limits how many given-up runs of a task are remembered, in each of the two lists. Their
// ends are read within seconds after their worker becomes reachable.
const maxGivenUp = 8

// markGivenUp records that a run was given up before its end was known. The run is the newest of the
// task.
func (t *Task) markGivenUp(run int) {
	if t.FailedRun == run {
		t.GivenUpFailed = appendNewest(t.GivenUpFailed, run)
		return
	}
	t.GivenUp = appendNewest(t.GivenUp, run)
}

// appendNewest returns the newest maxGivenUp of the given runs and one more.
func appendNewest(runs []int, run int) []int {
	runs = append(runs, run)
	return slices.Clone(runs[max(len(runs)-maxGivenUp, 0):])
}

// unmarkGivenUp removes a run from the given-up runs, because its outcome is known or it is
// placed again.
func (t *Task) unmarkGivenUp(run int) {
	same := func(r int) bool { return r == run }
	t.GivenUp = slices.DeleteFunc(t.GivenUp, same)
	t.GivenUpFailed = slices.DeleteFunc(t.GivenUpFailed, same)
}

// isGivenUp reports whether a run is remembered as given up.
func (t *Task) isGivenUp(run int) bool {
	return slices.Contains(t.GivenUp, run) || slices.Contains(t.GivenUpFailed, run)
}

// hasFailed reports whether a run is known to have been counted as failed.
func (t *Task) hasFailed(run int) bool {
	return t.FailedRun == run || slices.Contains(t.GivenUpFailed, run)
}

// countFailure counts a run as failed.
func (t *Task) countFailure(run int) {
	t.Failures++
	t.FailedRun = max(t.FailedRun, run)
	if slices.Contains(t.GivenUp, run) {
		t.unmarkGivenUp(run)
		t.GivenUpFailed = appendNewest(t.GivenUpFailed, run)
	}
}
