package runner_test

import (
	"context"
	"reflect"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// TestNewLife: a life that is over is told, and its runs are forgotten.
func TestNewLife(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
		old, _ := a.worker.Beat()
		a.worker.Crash(time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		next, _ := a.worker.Beat()
		if !a.runner.Heartbeat(t.Context(), next) || a.runner.Heartbeat(t.Context(), old) {
			t.Error("the new life must be taken and the old one not")
		}
		time.Sleep(time.Second)
		if p := a.leader.last(); p.State.ID != next.ID || len(p.Runs) != 0 || len(p.EndedIncarnations) != 1 || p.EndedIncarnations[0].ID != old.ID {
			t.Errorf("life %v, runs %+v, over %v", p.State.ID, p.Runs, p.EndedIncarnations)
		}
	})
}

// TestLifeEnd: where a worker goes, the agent says how, and what was there: a run that had begun with its age, one whose start got no answer, and
// none that was never sent.
func TestLifeEnd(t *testing.T) {
	begun := assignment.InterruptedRun{RunID: id(1), Started: true, AgeMillis: 400}
	tests := []struct {
		name   string
		strike func(a *agent, instance string)
		want   assignment.IncarnationEnd
	}{
		{"a run crashes it", func(a *agent, _ string) { a.workers.CrashOn(task, 400*time.Millisecond, 3*time.Second) }, assignment.IncarnationEnd{Runs: []assignment.InterruptedRun{begun}}},
		{"a start crashes it", func(a *agent, _ string) { a.workers.CrashOn(task, 0, 3*time.Second) }, assignment.IncarnationEnd{Runs: []assignment.InterruptedRun{{RunID: id(1)}}}},
		{"it leaves", func(a *agent, instance string) {
			time.AfterFunc(600*time.Millisecond, func() {
				a.worker.Leave(time.Minute)
				leaving, _ := a.worker.Beat()
				a.runner.Heartbeat(context.Background(), leaving)
			})
			time.AfterFunc(700*time.Millisecond, func() { a.runner.Deregister(instance); a.worker.Crash(3 * time.Second) })
		}, assignment.IncarnationEnd{Drained: true, Runs: []assignment.InterruptedRun{begun}}},
		{"it is away before the start", func(a *agent, _ string) { a.worker.CrashProcess(3 * time.Second) }, assignment.IncarnationEnd{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, a *agent) {
				present, _ := a.worker.Beat()
				test.want.ID, test.want.Complete = present.ID, true
				test.strike(a, present.ID.Instance)
				a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
				time.Sleep(3500 * time.Millisecond)
				next, _ := a.worker.Beat()
				a.runner.Heartbeat(t.Context(), next)
				time.Sleep(300 * time.Millisecond)
				p := a.leader.last()
				if len(p.EndedIncarnations) != 1 {
					t.Fatalf("the lives that are over are %+v, want %+v", p.EndedIncarnations, test.want)
				}
				p.EndedIncarnations[0].SinceMillis = 0
				for i, cut := range p.EndedIncarnations[0].Runs {
					p.EndedIncarnations[0].Runs[i].AgeMillis = cut.AgeMillis / 100 * 100
				}
				if !reflect.DeepEqual(p.EndedIncarnations[0], test.want) {
					t.Errorf("the life ended as %+v, want %+v", p.EndedIncarnations[0], test.want)
				}
			})
		})
	}
}

// TestLateHeartbeat: a heartbeat that was held up and is of a life that has crashed changes nothing, also for an agent that began after
// that life and has not heard of it.
func TestLateHeartbeat(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.workers.SetWork(time.Minute)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		present, _ := a.worker.Beat()
		late := present
		late.ID = incarnation.ID{Instance: "a life that the agent never knew"}
		if a.runner.Heartbeat(t.Context(), late) {
			t.Error("the late heartbeat was taken")
		}
		time.Sleep(time.Second)
		if p := a.leader.last(); p.State == nil || p.State.ID != present.ID || len(p.Runs) != 1 || len(p.EndedIncarnations) != 0 {
			t.Errorf("after it the agent says %+v", p)
		}
		if !a.runner.Heartbeat(t.Context(), present) {
			t.Error("the next heartbeat of the present life was not taken")
		}
	})
}
