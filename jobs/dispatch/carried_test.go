package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestCarriedOver: a run whose start was in flight when its worker crashed, and that the next
// incarnation carries out under the same id, is placed there with its run number and doesn't start
// elsewhere. A run that the next incarnation doesn't list is lost.
func TestCarriedOver(t *testing.T) {
	tests := []struct {
		name string
		gang bool
		// list adds the run to the next incarnation's poll.
		list   func(p *assignment.Poll, id assignment.RunID)
		run    int
		placed bool
		phase  job.Phase
	}{
		{"not listed", false, func(*assignment.Poll, assignment.RunID) {}, 2, true, job.Running},
		{
			"running", false,
			func(p *assignment.Poll, id assignment.RunID) { p.Runs = []assignment.Run{{RunID: id, Percent: 3}} },
			1, true, job.Running,
		},
		{"done", false, func(p *assignment.Poll, id assignment.RunID) {
			p.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndDone}}
		}, 1, false, job.Completed},
		{"failed for the last time", false, func(p *assignment.Poll, id assignment.RunID) {
			p.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndFailed}}
		}, 1, false, job.Failed},
		{"an older run, which takes the room until it has stopped", false, func(p *assignment.Poll, id assignment.RunID) {
			p.Runs = []assignment.Run{{RunID: assignment.RunID{Task: id.Task}, Percent: 3}}
		}, 1, false, job.Running},
		{
			"a member of a gang", true,
			func(p *assignment.Poll, id assignment.RunID) { p.Runs = []assignment.Run{{RunID: id, Percent: 3}} },
			1, true, job.Running,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 1)
			j := b.job(1, "other", job.Step{Tasks: 1, Gang: test.gang})
			j.job.MaxAttempts = 1
			b.plan(0)
			w, id, poll := b.reported(j)
			former := w.state.ID
			next := *w.state
			next.ID.StartMillis++
			poll.State, poll.EndedIncarnations = &next, []assignment.IncarnationEnd{{ID: former, Complete: true}}
			test.list(&poll, id)
			b.controller.ApplyPoll(b.now, poll)
			b.plan(10 * time.Millisecond)
			task := j.progress.Task(id.Task)
			if j.progress.Phase != test.phase || task.Run != test.run || task.Placed() != test.placed {
				t.Errorf(
					"the job is %v, its task in run %d, placed: %v; want %v, %d, %v",
					j.progress.Phase, task.Run, task.Placed(), test.phase, test.run, test.placed,
				)
			}
			if test.placed && task.Incarnation != next.ID {
				t.Errorf("the task is placed on %v, want %v", task.Incarnation, next.ID)
			}
			if stops := b.controller.TakeDesired(b.now)[w.name].Runs[id.Task].Stopping; stops != test.gang {
				t.Errorf("the run is stopping: %v, want %v", stops, test.gang)
			}
		})
	}
}

// TestNumbersOfStarts: ends are numbered from 1 for each start of a worker, also under the same id.
func TestNumbersOfStarts(t *testing.T) {
	b := newFixture(t, 1, 1)
	first := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, id, poll := b.reported(first)
	poll.Ends = []assignment.End{{RunID: id, Number: 9, Reason: job.EndDone}}
	b.controller.ApplyPoll(b.now, poll)
	if seen := b.controller.TakeDesired(b.now)[w.name].AckedEnd; seen != 9 {
		t.Fatalf("ends are acknowledged up to %d, want 9", seen)
	}
	next := *w.state
	next.ID.StartMillis++
	b.controller.ApplyPoll(b.now, assignment.Poll{Worker: w.name, State: &next, Complete: true})
	if want := b.controller.TakeDesired(b.now)[w.name]; want.AckedEnd != 0 || want.Incarnation != next.ID {
		t.Errorf("ends of %v are acknowledged up to %d, want none of %v", want.Incarnation, want.AckedEnd, next.ID)
	}
	second := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	_, id, poll = b.reported(second)
	poll.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndDone}}
	b.controller.ApplyPoll(b.now, poll)
	if second.progress.Phase != job.Completed {
		t.Errorf("the job is %v, want completed: its end has number 1", second.progress.Phase)
	}
}

// TestClosingLife: nothing is placed on an incarnation that is over, even before its end is
// reported.
//
// A run was given up on a silent worker, whose crash should have counted once the worker was back.
// Its agent knew that the incarnation was over but had not reported it yet, so the task's next run
// was placed there and given up too. It replaced the first one: the crash under the first run was
// never counted, and the task got one start too many (soak with --same-ids, seed 9217).
func TestClosingLife(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	w := b.controller.workers["w0-0"]
	poll := assignment.Poll{Worker: w.name, ClosingIncarnations: []incarnation.ID{w.state.ID}}
	b.controller.ApplyPoll(b.now, poll)
	b.plan(0)
	if got := b.workersOf(j); len(got) != 0 {
		t.Errorf("the task is placed on %v, whose incarnation is over", got)
	}
	next := *w.state
	next.ID.StartMillis++
	poll.ClosingIncarnations, poll.State, poll.Complete = nil, &next, true
	poll.EndedIncarnations = []assignment.IncarnationEnd{{ID: w.state.ID}}
	b.controller.ApplyPoll(b.now, poll)
	b.plan(10 * time.Millisecond)
	if got := b.workersOf(j); len(got) != 1 {
		t.Errorf("the task is placed on %v, want the next incarnation of the worker", got)
	}
}

// TestStrayTakesRoom: a run that a worker lists but that is not placed there occupies capacity
// until it is gone.
//
// An order that reached a new incarnation under the same id late was executed there without the
// scheduler knowing. A worker that doesn't check its capacity would then be overcommitted (soak
// with --same-ids, seed 9214).
func TestStrayTakesRoom(t *testing.T) {
	b := newFixture(t, 1, 1)
	whole := job.Step{Tasks: 1, Resources: job.Resources{CPU: 1000, Memory: 1000, Accelerators: 8}}
	former := b.job(1, "other", whole)
	b.plan(0)
	w, stray, _ := b.reported(former)
	b.finish(former, job.EndLost)
	b.plan(0)
	if task := former.progress.Task(stray.Task); task.Run != 2 {
		t.Fatalf("the task is in run %d, want 2", task.Run)
	}
	b.finish(former, job.EndDone)
	next := b.job(1, "other", whole)
	poll := assignment.Poll{
		Worker:   w.name,
		State:    w.state,
		Complete: true,
		Runs:     []assignment.Run{{RunID: stray, Percent: 3}},
	}
	b.controller.ApplyPoll(b.now, poll)
	b.plan(0)
	if got := b.workersOf(next); len(got) != 0 {
		t.Errorf("the job is placed on %v, where a stray run uses all accelerators", got)
	}
	poll.Runs = nil
	b.controller.ApplyPoll(b.now, poll)
	b.plan(10 * time.Millisecond)
	if got := b.workersOf(next); len(got) != 1 {
		t.Errorf("once the stray run is gone the job is placed on %v, want the worker", got)
	}
}

// TestLateEnd: a successful end completes the task, even if the run was given up and placed
// elsewhere meanwhile, and a failure counts.
//
// A worker fell silent, its run was given up when its lease expired, and its task started
// elsewhere. Then the worker responded again and listed the end, which was ignored: the task was
// executed twice (drawn days with starts under one id, seed 3031: an order that arrived late, after
// a second start).
func TestLateEnd(t *testing.T) {
	tests := []struct {
		name     string
		how      job.EndReason
		phase    job.Phase
		failures int
		stops    bool
	}{
		{"done", job.EndDone, job.Completed, 0, true},
		{"failed", job.EndFailed, job.Running, 1, false},
		{"stopped", job.EndStopped, job.Running, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 2)
			j := b.job(1, "other", job.Step{Tasks: 1})
			b.plan(0)
			w, id, poll := b.reported(j)
			poll.Runs = []assignment.Run{{RunID: id, Percent: 3}}
			b.controller.ApplyPoll(b.now, poll)
			b.controller.ExpireLeases(map[string]bool{w.name: true})
			b.plan(0)
			task := j.progress.Task(id.Task)
			if task.Run != 2 {
				t.Fatalf("the task is in run %d, want 2", task.Run)
			}
			poll.Runs, poll.Ends = nil, []assignment.End{{RunID: id, Number: 1, Reason: test.how}}
			for range 2 {
				// A new leader reads an end again that was stored but not dropped.
				b.controller.ApplyPoll(b.now, poll)
				w.ackedEnd = 0
			}
			if j.progress.Phase != test.phase || task.Failures != test.failures {
				t.Errorf(
					"the job is %v with %d failures, want %v with %d",
					j.progress.Phase, task.Failures, test.phase, test.failures,
				)
			}
			if stops := b.controller.TakeDesired(b.now)[task.Worker].Runs[id.Task].Stopping; stops != test.stops {
				t.Errorf("run 2 is stopping: %v, want %v", stops, test.stops)
			}
		})
	}
}
