package runner_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// TestPace checks that best-effort runs that share a worker with a latency-targeted run are
// throttled until its latency is within the target, and run at full speed again once they are
// alone.
func TestPace(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		targeted := job.Step{Tasks: 1, LongRunning: true, LatencyTarget: 100 * time.Millisecond}
		servingJob := &job.Job{ID: "0000000000000011", Service: "s", Steps: []job.Step{targeted}}
		bestEffortJob := &job.Job{ID: "0000000000000012", Service: "s", Steps: []job.Step{{Tasks: 3, BestEffort: true}}}
		a.workers.Work = time.Minute
		a.workers.Expect(servingJob)
		a.workers.Expect(bestEffortJob)
		var starts []assignment.Start
		serving := assignment.RunID{Task: job.TaskName{Job: servingJob.ID}, Run: 1}
		starts = append(starts, assignment.Start{RunID: serving})
		roles := []assignment.Role{{RunID: serving, LatencyTargetMillis: 100}}
		for i := range 3 {
			bestEffort := assignment.RunID{Task: job.TaskName{Job: bestEffortJob.ID, Index: i}, Run: 1}
			starts = append(starts, assignment.Start{RunID: bestEffort})
			roles = append(roles, assignment.Role{RunID: bestEffort, BestEffort: true})
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Start, answer.Roles = starts, roles })
		time.Sleep(10 * time.Second)
		if got := a.worker.BestEffortSpeeds(); len(got) != 3 || got[0] >= 100 || got[0] != got[2] {
			t.Errorf("best-effort speeds are %v, want three equal ones below 100", got)
		}
		time.Sleep(time.Minute)
		a.leader.set(func(answer *assignment.Answer) { answer.Start, answer.Stop = nil, []assignment.RunID{serving} })
		time.Sleep(5 * time.Second)
		for _, speed := range a.worker.BestEffortSpeeds() {
			if speed != 100 {
				t.Errorf("without a targeted run a best-effort run has speed %d %%", speed)
			}
		}
	})
}

// TestPacer checks the speed after each of a series of latencies of a run with a target.
func TestPacer(t *testing.T) {
	serving, bestEffort := id(1), assignment.RunID{Task: job.TaskName{Job: "0000000000000012"}, Run: 1}
	tests := []struct {
		name      string
		latencies []int
		want      int
	}{
		{"far over the target", []int{150, 150, 150}, 0},
		{"just below the target", []int{95}, 25},
		{"between", []int{80, 80}, 50},
		{"calm", []int{50, 50, 50}, 80},
		{"calm for long", []int{1, 1, 1, 1, 1, 1, 1, 1}, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := runner.SpeedAfter(serving, bestEffort, 100, test.latencies); got != test.want {
				t.Errorf("the speed is %d %%, want %d", got, test.want)
			}
		})
	}
}
