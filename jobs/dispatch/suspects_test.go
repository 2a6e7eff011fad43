package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// crash ends the first task of a job with a crash of its worker, on which it was alone. The worker
// restarts.
func (b *fixture) crash(t *trackedJob) {
	b.t.Helper()
	name := job.TaskName{Job: t.job.ID}
	placed := t.progress.Task(name)
	if placed == nil || !placed.Placed() {
		b.t.Fatalf("task %v is not placed", name)
	}
	b.controller.loseRun(t, name, placed, incarnationEnded, job.RunLoss{Verdict: job.Crashed, SoleSuspect: true})
}

// TestSuspectOnTrial: a task that may be given up at the next crash gets a worker of its own, where
// nothing else is placed for a while. Other tasks are placed as usual.
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
	for _, name := range b.workersOf(beside) {
		others[name] = true
	}
	if len(others) != 1 || len(b.workersOf(suspect)) != 1 || others[b.workersOf(suspect)[0]] {
		t.Fatalf("the suspect is placed on %v, the others on %v; want the others on one worker and the suspect on another",
			b.workersOf(suspect), b.workersOf(beside))
	}
	joining := b.job(
		1, "",
		job.Step{Tasks: 4, Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: 5}, Estimate: time.Minute},
	)
	b.plan(time.Second)
	if got := len(b.workersOf(joining)); got != 3 {
		t.Errorf("%d tasks are placed while the suspect is on trial, want 3", got)
	}
	b.observe(suspect, b.now, 1)
	b.plan(trialTime)
	if got := len(b.workersOf(joining)); got != 4 {
		t.Errorf("%d tasks are placed after the trial, want 4", got)
	}
}

// TestSuspectAvoidsSilentWorker: a task that a worker crashed under is not placed on a worker that
// doesn't respond. Other tasks are.
//
// The start was not answered because the worker had crashed before it, and that counted as one more
// crash of the task: healthy jobs were given up.
func TestSuspectAvoidsSilentWorker(t *testing.T) {
	b := newFixture(t, 1, 1)
	small := job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}
	suspect := b.job(1, "", job.Step{Tasks: 1, Resources: small})
	b.plan(0)
	b.crash(suspect)
	trusted := b.job(1, "", job.Step{Tasks: 1, Resources: small})
	w := b.controller.workers["w0-0"]
	poll := assignment.Poll{Worker: w.name, State: w.state, Complete: true, FailingMillis: 100}
	b.controller.ApplyPoll(b.now, poll)
	b.plan(0)
	if len(b.workersOf(suspect)) != 0 || len(b.workersOf(trusted)) != 1 {
		t.Errorf("the suspect is placed on %v, the other task on %v; want only the other placed",
			b.workersOf(suspect), b.workersOf(trusted))
	}
	poll.FailingMillis = 0
	b.controller.ApplyPoll(b.now, poll)
	b.plan(0)
	if len(b.workersOf(suspect)) != 1 {
		t.Error("the suspect is not placed on the worker that responds again")
	}
}

// TestClearedBySoundness: a long-running task is not given up for worker crashes that happened long
// ago.
func TestClearedBySoundness(t *testing.T) {
	b := newFixture(t, 1, 4)
	longRunning := b.job(
		1, "",
		job.Step{Tasks: 1, Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}, LongRunning: true},
	)
	for range 10 {
		b.plan(2 * time.Second)
		b.observe(longRunning, b.now, 0)
		b.plan(clearCrashesAfter)
		b.crash(longRunning)
	}
	if longRunning.progress.Phase != job.Running {
		t.Errorf("the job is %v after ten crashes, each after a minute of work", longRunning.progress.Phase)
	}
}

// TestSuspectIsTold: the agent learns that workers have crashed under the task that it should
// start.
func TestSuspectIsTold(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "", job.Step{Tasks: 1})
	for _, want := range []bool{false, true} {
		b.plan(recentCrash)
		name := job.TaskName{Job: j.job.ID}
		start := b.controller.TakeDesired(b.now)["w0-0"].Runs[name].Start
		if start.Run == 0 || start.Suspect != want {
			t.Errorf("the start is %+v, want suspect: %v", start, want)
		}
		b.crash(j)
	}
}
