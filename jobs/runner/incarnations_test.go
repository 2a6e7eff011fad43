package runner_test

import (
	"context"
	"reflect"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// TestNewLife checks that the end of an incarnation is reported and that its runs are dropped.
func TestNewLife(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
		old, _ := a.worker.Heartbeat()
		a.worker.Crash(time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		next, _ := a.worker.Heartbeat()
		if !a.runner.Heartbeat(t.Context(), next) || a.runner.Heartbeat(t.Context(), old) {
			t.Error("want the heartbeat of the new incarnation to be accepted and that of the old one to be rejected")
		}
		time.Sleep(time.Second)
		p := a.leader.last()
		if p.State.ID != next.ID || len(p.Runs) != 0 {
			t.Errorf("incarnation is %v with runs %+v", p.State.ID, p.Runs)
		}
		if len(p.EndedIncarnations) != 1 || p.EndedIncarnations[0].ID != old.ID {
			t.Errorf("ended incarnations are %+v", p.EndedIncarnations)
		}
	})
}

// TestLifeEnd checks that the report of an incarnation's end says how it ended and which runs it
// had: a run that had started, with its age, and a run whose start got no answer, but no run whose
// start was never sent.
func TestLifeEnd(t *testing.T) {
	started := assignment.InterruptedRun{RunID: id(1), Started: true, AgeMillis: 400}
	ending := func(runs ...assignment.InterruptedRun) assignment.IncarnationEnd {
		return assignment.IncarnationEnd{Runs: runs}
	}
	crashAfter := func(d time.Duration) func(*agent, string) {
		return func(a *agent, _ string) { a.workers.CrashOn(task, d, 3*time.Second) }
	}
	tests := []struct {
		name string
		act  func(a *agent, instance string)
		want assignment.IncarnationEnd
	}{
		{"a run crashes it", crashAfter(400 * time.Millisecond), ending(started)},
		{"a start crashes it", crashAfter(0), ending(assignment.InterruptedRun{RunID: id(1)})},
		{"it leaves", func(a *agent, instance string) {
			time.AfterFunc(600*time.Millisecond, func() {
				a.worker.Drain(time.Minute)
				leaving, _ := a.worker.Heartbeat()
				a.runner.Heartbeat(context.Background(), leaving)
			})
			time.AfterFunc(700*time.Millisecond, func() { a.runner.Deregister(instance); a.worker.Crash(3 * time.Second) })
		}, assignment.IncarnationEnd{Drained: true, Runs: []assignment.InterruptedRun{started}}},
		{"it is away before the start", func(a *agent, _ string) { a.worker.CrashProcess(3 * time.Second) }, ending()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withAgent(t, func(t *testing.T, a *agent) {
				present, _ := a.worker.Heartbeat()
				test.want.ID, test.want.Complete = present.ID, true
				test.act(a, present.ID.Instance)
				a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
				time.Sleep(3500 * time.Millisecond)
				next, _ := a.worker.Heartbeat()
				a.runner.Heartbeat(t.Context(), next)
				time.Sleep(300 * time.Millisecond)
				p := a.leader.last()
				if len(p.EndedIncarnations) != 1 {
					t.Fatalf("ended incarnations are %+v, want %+v", p.EndedIncarnations, test.want)
				}
				p.EndedIncarnations[0].LastContactMillis = 0
				for i, run := range p.EndedIncarnations[0].Runs {
					p.EndedIncarnations[0].Runs[i].AgeMillis = run.AgeMillis / 100 * 100
				}
				if !reflect.DeepEqual(p.EndedIncarnations[0], test.want) {
					t.Errorf("the incarnation ended as %+v, want %+v", p.EndedIncarnations[0], test.want)
				}
			})
		})
	}
}

// TestLateHeartbeat checks that a late heartbeat of a crashed incarnation has no effect, even at an
// agent that started after that incarnation and does not know it.
func TestLateHeartbeat(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		a.workers.SetWork(time.Minute)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		present, _ := a.worker.Heartbeat()
		late := present
		late.ID = incarnation.ID{Instance: "an incarnation that the agent never knew"}
		if a.runner.Heartbeat(t.Context(), late) {
			t.Error("the late heartbeat was accepted")
		}
		time.Sleep(time.Second)
		p := a.leader.last()
		if p.State == nil || p.State.ID != present.ID || len(p.Runs) != 1 || len(p.EndedIncarnations) != 0 {
			t.Errorf("after the late heartbeat the agent polls %+v", p)
		}
		if !a.runner.Heartbeat(t.Context(), present) {
			t.Error("the next heartbeat of the present incarnation was rejected")
		}
	})
}
