package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestLosses: unsaved work of an ended run counts under its cause: a gang breaks because of the
// member that ended first, and saved or completed work is not lost.
func TestLosses(t *testing.T) {
	const took = 2 * time.Second
	// A task of the fixture has 8 cores and 8 accelerators.
	const each = 2 * (8 + 8*8)
	end := func(j *trackedJob, index int, how job.EndReason) (lossCause, float64) {
		id := assignment.RunID{Task: job.TaskName{Job: j.job.ID, Index: index}, Run: 1}
		return j.workLost(assignment.End{RunID: id, Reason: how, TookMillis: took.Milliseconds()})
	}
	preempted := yieldsTo(job.TaskName{Job: "x"})
	tests := []struct {
		name  string
		step  job.Step
		stop  stopReason
		how   job.EndReason
		cause lossCause
		lost  float64
	}{
		{"done", job.Step{Tasks: 1}, stopReason{}, job.EndDone, lossNone, 0},
		{"refused", job.Step{Tasks: 1}, stopReason{}, job.EndRefused, lossNone, 0},
		{"yields", job.Step{Tasks: 1}, preempted, job.EndStopped, lossYielded, each},
		{"yields, saved", job.Step{Tasks: 1, Checkpoint: true}, preempted, job.EndStopped, lossYielded, 0},
		{"moved", job.Step{Tasks: 1}, workerDraining, job.EndStopped, lossDrained, each},
		{"worker lost", job.Step{Tasks: 1}, stopReason{}, job.EndLost, lossWorker, each},
		{"failed", job.Step{Tasks: 1}, stopReason{}, job.EndFailed, lossFailed, each},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 1)
			j := b.job(1, "other", test.step)
			if test.stop != (stopReason{}) {
				j.stops[job.TaskName{Job: j.job.ID}] = stopOrder{run: 1, cause: test.stop.cause}
			}
			if cause, lost := end(j, 0, test.how); cause != test.cause || lost != test.lost {
				t.Errorf("cause %s, lost %g, want %s and %g", cause, lost, test.cause, test.lost)
			}
		})
	}
	t.Run("a gang breaks", func(t *testing.T) {
		b := newFixture(t, 1, 1)
		j := b.job(1, "other", job.Step{Tasks: 2, Gang: true})
		if cause, _ := end(j, 1, job.EndLost); cause != lossWorker {
			t.Errorf("the cause of the first member is %s", cause)
		}
		if cause, lost := end(j, 0, job.EndGangBroken); cause != lossWorker || lost != each {
			t.Errorf("the other member has cause %s, lost %g, want %s and %d", cause, lost, lossWorker, each)
		}
	})
}
