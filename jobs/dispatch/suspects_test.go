package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// crash ends the first task of a job with its worker, where nothing else was, and the worker
// comes back.
func (b *fixture) crash(t *trackedJob) {
	b.t.Helper()
	name := job.TaskName{Job: t.job.ID}
	placed := t.progress.Task(name)
	if placed == nil || !placed.Placed() {
		b.t.Fatalf("task %v is not placed", name)
	}
	b.control.loseRun(t, name, placed, incarnationOver, job.RunLoss{Verdict: job.Crashed, Sole: true})
}

// TestSuspectOnTrial: a task that one more crash may give up gets a worker of its own, and
// nothing joins it there for a while. Other tasks are placed as always.
func TestSuspectOnTrial(t *testing.T) {
	b := newFixture(t, 1, 4)
	small := job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}
	beside := b.job(1, "", job.Step{Tasks: 3, Resources: small, Estimate: time.Minute})
	suspect := b.job(1, "", job.Step{Tasks: 1, Resources: small, Estimate: time.Minute})
	for range 2 {
		b.plan(time.Second)
		b.crash(suspect)
	}
	b.plan(time.Second)
	others := map[string]bool{}
	for _, name := range b.at(beside) {
		others[name] = true
	}
	if len(others) != 1 || len(b.at(suspect)) != 1 || others[b.at(suspect)[0]] {
		t.Fatalf("the suspect is at %v, the others are at %v", b.at(suspect), b.at(beside))
	}
	joining := b.job(
		1, "",
		job.Step{Tasks: 4, Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: 5}, Estimate: time.Minute},
	)
	b.plan(time.Second)
	if got := len(b.at(joining)); got != 3 {
		t.Errorf("%d tasks are placed while the suspect has a worker of its own, want 3", got)
	}
	b.observe(suspect, b.now, 1)
	b.plan(trialTime)
	if got := len(b.at(joining)); got != 4 {
		t.Errorf("%d tasks are placed after its trial, want 4", got)
	}
}

// TestSuspectAvoidsSilentWorker: a task under which a worker has crashed is not placed on a worker
// that gives no answer. Others are.
//
// The start got no answer, the worker had crashed before it, and that counted as one more crash
// under the task: sound jobs were given up.
func TestSuspectAvoidsSilentWorker(t *testing.T) {
	b := newFixture(t, 1, 1)
	small := job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}
	suspect := b.job(1, "", job.Step{Tasks: 1, Resources: small})
	b.plan(0)
	b.crash(suspect)
	trusted := b.job(1, "", job.Step{Tasks: 1, Resources: small})
	w := b.control.workers["w0-0"]
	poll := assignment.Poll{Worker: w.name, State: w.state, Complete: true, FailingMillis: 100}
	b.control.ApplyPoll(b.now, poll)
	b.plan(0)
	if len(b.at(suspect)) != 0 || len(b.at(trusted)) != 1 {
		t.Errorf("the suspect is at %v, the other at %v; want only the other placed", b.at(suspect), b.at(trusted))
	}
	poll.FailingMillis = 0
	b.control.ApplyPoll(b.now, poll)
	b.plan(0)
	if len(b.at(suspect)) != 1 {
		t.Error("the suspect is not placed on the worker that answers again")
	}
}

// TestClearedBySoundness: a long-running task is not given up for crashes of its workers long ago.
func TestClearedBySoundness(t *testing.T) {
	b := newFixture(t, 1, 4)
	lasting := b.job(
		1, "",
		job.Step{Tasks: 1, Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}, LongRunning: true},
	)
	for range 10 {
		b.plan(2 * time.Second)
		b.observe(lasting, b.now, 0)
		b.plan(soundAfter)
		b.crash(lasting)
	}
	if lasting.progress.Phase != job.Running {
		t.Errorf("the job is %v after ten crashes, each after a minute of work", lasting.progress.Phase)
	}
}

// TestSuspectIsTold: the agent is told that workers have crashed under the task that it is to start.
func TestSuspectIsTold(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "", job.Step{Tasks: 1})
	for _, want := range []bool{false, true} {
		b.plan(recentCrash)
		name := job.TaskName{Job: j.job.ID}
		told := b.control.TakeDesired(b.now)["w0-0"].Runs[name].Start
		if told.Run == 0 || told.Suspect != want {
			t.Errorf("told: %+v, want suspect: %v", told, want)
		}
		b.crash(j)
	}
}
