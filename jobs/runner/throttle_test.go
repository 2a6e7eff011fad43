package runner_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// TestPace: best-effort runs beside one with a latency target are throttled until that is
// within its target, and run at full speed again once they are alone.
func TestPace(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		targeted := job.Step{Tasks: 1, LongRunning: true, LatencyTarget: 100 * time.Millisecond}
		serves := &job.Job{ID: "0000000000000011", Service: "s", Steps: []job.Step{targeted}}
		fills := &job.Job{ID: "0000000000000012", Service: "s", Steps: []job.Step{{Tasks: 3, BestEffort: true}}}
		a.workers.Work = time.Minute
		a.workers.Expect(serves)
		a.workers.Expect(fills)
		var starts []assignment.Start
		serving := assignment.RunID{Task: job.TaskName{Job: serves.ID}, Run: 1}
		starts = append(starts, assignment.Start{RunID: serving})
		roles := []assignment.Role{{RunID: serving, LatencyTargetMillis: 100}}
		for i := range 3 {
			filling := assignment.RunID{Task: job.TaskName{Job: fills.ID, Index: i}, Run: 1}
			starts = append(starts, assignment.Start{RunID: filling})
			roles = append(roles, assignment.Role{RunID: filling, BestEffort: true})
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Start, answer.Roles = starts, roles })
		time.Sleep(10 * time.Second)
		if got := a.worker.BestEffortSpeeds(); len(got) != 3 || got[0] >= 100 || got[0] != got[2] {
			t.Errorf("what fills works at %v, want three equal paces below 100", got)
		}
		time.Sleep(time.Minute)
		a.leader.set(func(answer *assignment.Answer) { answer.Start, answer.Stop = nil, []assignment.RunID{serving} })
		time.Sleep(5 * time.Second)
		for _, pace := range a.worker.BestEffortSpeeds() {
			if pace != 100 {
				t.Errorf("alone, what fills works at %d %%", pace)
			}
		}
	})
}

// TestPacer: the speed by the latencies of the runs with a target, look by look.
func TestPacer(t *testing.T) {
	serving, filling := id(1), assignment.RunID{Task: job.TaskName{Job: "0000000000000012"}, Run: 1}
	tests := []struct {
		name   string
		gauges []int
		want   int
	}{
		{"far over the target", []int{150, 150, 150}, 0},
		{"just below the target", []int{95}, 25},
		{"between", []int{80, 80}, 50},
		{"calm", []int{50, 50, 50}, 80},
		{"calm for long", []int{1, 1, 1, 1, 1, 1, 1, 1}, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := runner.SpeedAfter(serving, filling, 100, test.gauges); got != test.want {
				t.Errorf("the pace is %d %%, want %d", got, test.want)
			}
		})
	}
}
