package job

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// EndReason is how a run ended.
type EndReason string

// The reasons. Only EndDone counts as success and only EndFailed as an attempt; the others are
// due to the scheduler or the worker.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	// EndLeaseExpired: the worker ended the run since its lease was not extended.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangBroken: another member of the gang ended; EndGangIncomplete: the others did not come.
	EndGangBroken     EndReason = "broken"
	EndGangIncomplete EndReason = "alone"
	// EndLost: the worker is gone, or its lease has certainly expired.
	EndLost EndReason = "lost"
	// EndRefused: the worker did not start the run and never will.
	EndRefused EndReason = "refused"
)

// Task is what has become of a task.
type Task struct {
	// Run is the number of its newest run, from 1; the members of a gang share it.
	Run int `json:"r"`
	// Worker and Incarnation say where that run is placed; both are empty if it is not. A
	// placed run takes resources until its end is known.
	Worker      string         `json:"w,omitempty"`
	Incarnation incarnation.ID `json:"l,omitzero"`
	// Failures counts runs that failed; FailedRun is the newest of them.
	Failures  int  `json:"f,omitempty"`
	FailedRun int  `json:"fr,omitempty"`
	Done      bool `json:"d,omitempty"`
	// GivenUp holds the newest runs that were given up before it was known how they ended.
	GivenUp []int `json:"gu,omitempty"`
	// HeldUntil is until when the task must not start again, since an earlier start of it may still
	// be carried out; by the leader's clock.
	HeldUntil time.Time `json:"hu,omitzero"`
	// HeldOn names the workers of these starts. Empty in a task that is held, it says that they are
	// not known.
	HeldOn []string `json:"ho,omitempty"`
	// Checkpoint is the newest saved progress; it is opaque.
	Checkpoint string `json:"s,omitempty"`
	// Avoid is the worker on which it failed last.
	Avoid string `json:"a,omitempty"`

	// Crashes counts the workers that crashed under it for sure, UncertainCrashes those that
	// may have. SoleCrashes counts those of both for which nothing else could be blamed.
	Crashes          int `json:"c,omitempty"`
	UncertainCrashes int `json:"cd,omitempty"`
	SoleCrashes      int `json:"ca,omitempty"`
	// ExtraStarts counts the starts since as many workers may have crashed as a task may be
	// given up for.
	ExtraStarts int `json:"ce,omitempty"`
	// Unresolved holds the incarnations on which a run was given up before it was known whether
	// they crashed.
	Unresolved map[incarnation.ID]unresolvedRun `json:"co,omitempty"`
}

// Placed reports whether a run of the task takes resources on a worker.
func (t *Task) Placed() bool { return t.Worker != "" }

// maxGivenUp bounds the runs of a task that are remembered as given up. Their ends are read within
// seconds once their worker can be reached.
const maxGivenUp = 8

// markGivenUp notes that it is not known how a run ended.
func (t *Task) markGivenUp(run int) {
	t.GivenUp = append(t.GivenUp, run)
	if excess := len(t.GivenUp) - maxGivenUp; excess > 0 {
		t.GivenUp = slices.Clone(t.GivenUp[excess:])
	}
}

// unmarkGivenUp notes that it is known after all what became of a run.
func (t *Task) unmarkGivenUp(run int) {
	t.GivenUp = slices.DeleteFunc(t.GivenUp, func(r int) bool { return r == run })
}
