package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
)

// TestOpenStartHoldsTask: a task starts nowhere else while an earlier start of it may still be
// carried out by a later incarnation of its worker.
//
// The late start ran concurrently with the task's next run.
func TestOpenStartHoldsTask(t *testing.T) {
	const open = 9 * time.Second
	tests := []struct {
		name string
		// end modifies the next poll such that it ends the run.
		end func(poll *assignment.Poll, id assignment.RunID)
		// reportsOpen says that the agent reports the open start.
		reportsOpen bool
		held        time.Duration
	}{
		{"refused, nothing open", func(p *assignment.Poll, id assignment.RunID) {
			p.Refused = []assignment.Refusal{{RunID: id, Reason: "stopped"}}
		}, false, 0},
		{"refused", func(p *assignment.Poll, id assignment.RunID) {
			p.Refused = []assignment.Refusal{{RunID: id, Reason: "stopped"}}
		}, true, open},
		{"failed", func(p *assignment.Poll, id assignment.RunID) {
			p.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndFailed}}
		}, true, open},
		{"lost with its incarnation", func(p *assignment.Poll, id assignment.RunID) {
			next := *p.State
			next.ID.StartMillis++
			p.EndedIncarnations = []assignment.IncarnationEnd{{ID: p.State.ID, Complete: true}}
			p.State = &next
		}, true, open},
		{"lost with its incarnation and the agent", func(p *assignment.Poll, id assignment.RunID) {
			next := *p.State
			next.ID.StartMillis++
			p.Agent, p.State = "agent/2", &next
		}, false, assignment.MaxOrderDelay},
		{"its worker has another instance", func(p *assignment.Poll, id assignment.RunID) {
			next := *p.State
			next.ID.Instance = "other"
			p.Agent, p.State = "agent/2", &next
		}, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 2)
			j := b.job(1, "other", job.Step{Tasks: 1})
			b.plan(0)
			_, id, poll := b.reported(j)
			poll.Agent = "agent/1"
			if test.reportsOpen {
				poll.OpenStarts = []assignment.OpenStart{{RunID: id, OpenMillis: open.Milliseconds()}}
			}
			b.controller.ApplyPoll(b.now, poll)
			test.end(&poll, id)
			b.controller.ApplyPoll(b.now, poll)
			b.plan(0)
			task := j.progress.Task(id.Task)
			if test.held > 0 && task.Placed() {
				t.Fatalf("run %d is placed on %s while a start of run %d is open", task.Run, task.Worker, id.Run)
			}
			b.plan(test.held - time.Second)
			if test.held > 0 && task.Placed() {
				t.Errorf("run %d is placed a second too early", task.Run)
			}
			b.plan(2 * time.Second)
			if !test.reportsOpen {
				b.controller.ApplyPoll(b.now, poll)
				b.plan(0)
			}
			if task.Run != 2 || !task.Placed() {
				t.Errorf("the task is in run %d, placed: %v; want run 2, placed", task.Run, task.Placed())
			}
		})
	}
}

// TestUnseenStartHoldsTask: a start may be open if no agent has reported the run when its worker's
// lease expires.
func TestUnseenStartHoldsTask(t *testing.T) {
	b := newFixture(t, 1, 2)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, id, _ := b.reported(j)
	b.controller.ExpireLeases(map[string]bool{w.name: true})
	b.plan(openStartLimit - time.Second)
	task := j.progress.Task(id.Task)
	if task.Placed() {
		t.Errorf("run %d is placed on %s while a start of run %d may be open", task.Run, task.Worker, id.Run)
	}
	b.plan(2 * time.Second)
	if task.Run != 2 || !task.Placed() {
		t.Errorf("the task is in run %d, placed: %v; want run 2, placed", task.Run, task.Placed())
	}
}

// TestClosedStartReleasesTask: a task starts again as soon as its open start is closed, regardless
// of the limit, unless another start of it is open.
func TestClosedStartReleasesTask(t *testing.T) {
	b := newFixture(t, 1, 2)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	_, id, poll := b.reported(j)
	poll.OpenStarts = []assignment.OpenStart{{RunID: id, OpenMillis: 9000}}
	poll.Refused = []assignment.Refusal{{RunID: id, Reason: "stopped"}}
	b.controller.ApplyPoll(b.now, poll)
	b.plan(time.Second)
	task := j.progress.Task(id.Task)
	if task.Placed() {
		t.Fatal("the task is placed while its start is open")
	}
	poll.OpenStarts = nil
	b.controller.ApplyPoll(b.now, poll)
	b.plan(0)
	if task.Run != 2 || !task.Placed() || !task.HeldUntil.IsZero() {
		t.Errorf("the task is in run %d, placed: %v, held until %v", task.Run, task.Placed(), task.HeldUntil)
	}
}

// TestNextLeaderHoldsTask: the next leader holds a task too, and for no longer than a start can be
// open, whatever the clock of the previous leader was.
func TestNextLeaderHoldsTask(t *testing.T) {
	b := newFixture(t, 1, 2)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	_, id, poll := b.reported(j)
	poll.OpenStarts = []assignment.OpenStart{{RunID: id, OpenMillis: time.Hour.Milliseconds()}}
	poll.Refused = []assignment.Refusal{{RunID: id, Reason: "stopped"}}
	b.controller.ApplyPoll(b.now, poll)
	next := newFixture(t, 1, 2)
	reopened := next.reopen(j)
	next.plan(time.Second)
	if reopened.progress.Task(id.Task).Placed() {
		t.Error("the next leader places the task while its start is open")
	}
	next.plan(openStartLimit)
	if !reopened.progress.Task(id.Task).Placed() {
		t.Error("the next leader holds the task for longer than a start can be open")
	}
}

// TestNoStartsWhileForgetIsOpen: nothing is placed on a worker whose agent sends no starts.
func TestNoStartsWhileForgetIsOpen(t *testing.T) {
	b := newFixture(t, 1, 1)
	for _, w := range b.controller.workers {
		b.controller.ApplyPoll(b.now, assignment.Poll{Worker: w.name, State: w.state, Complete: true, NoStartsMillis: 5000})
	}
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	if at := b.workersOf(j); len(at) != 0 {
		t.Errorf("the job is placed on %v, whose agent sends no starts", at)
	}
	b.plan(6 * time.Second)
	if at := b.workersOf(j); len(at) != 1 {
		t.Errorf("the job is placed on %v, want the worker", at)
	}
}

// reopen applies a job from the store, as written by another leader.
func (b *fixture) reopen(t *trackedJob) *trackedJob {
	b.t.Helper()
	submission, err := t.job.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	progress, err := t.progress.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	b.controller.ApplyJob(jobstore.StoredJob{ID: t.job.ID, Submission: submission, Progress: progress})
	return b.controller.jobs[t.job.ID]
}

// TestNextLeaderHoldsForFormerAgent: if a worker has a new agent that the next leader hears from
// first, a task that was placed there waits for the starts that the previous agent may have sent.
//
// Neither the new agent nor the new leader knew of the open start: the task started elsewhere at
// once, and the late start ran concurrently.
func TestNextLeaderHoldsForFormerAgent(t *testing.T) {
	const age = 2 * time.Second
	tests := []struct {
		name string
		// age is the age that the agent reports; instance is that of the worker's next incarnation,
		// if it has a new one.
		age      time.Duration
		instance string
		held     bool
	}{
		{"a new agent", age, "", true},
		{"an agent of the version before, which does not tell its age", 0, "", false},
		{"the worker has another instance", age, "other", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 2)
			j := b.job(1, "other", job.Step{Tasks: 1})
			b.plan(0)
			_, id, poll := b.reported(j)
			next := newFixture(t, 1, 2)
			task := next.reopen(j).progress.Task(id.Task)
			poll.Agent, poll.State, poll.AgentMillis = "agent/2", restarted(poll.State), test.age.Milliseconds()
			if test.instance != "" {
				poll.State.ID.Instance = test.instance
			}
			next.controller.ApplyPoll(next.now, poll)
			next.plan(0)
			if held := !task.Placed(); held != test.held {
				t.Fatalf("the task waits: %v, want %v", held, test.held)
			}
			next.controller.ApplyPoll(next.now, poll)
			next.plan(assignment.MaxOrderDelay - age - time.Second)
			next.controller.ApplyPoll(next.now, poll)
			next.plan(0)
			if held := !task.Placed(); held != test.held {
				t.Errorf("the task waits until a second before the last order can arrive: %v, want %v", held, test.held)
			}
			next.plan(2 * time.Second)
			next.controller.ApplyPoll(next.now, poll)
			next.plan(0)
			if !task.Placed() {
				t.Error("the task still waits after the last order of the previous agent can have arrived")
			}
		})
	}
}

// TestNextLeaderReleasesTask: a task held by an earlier leader starts again as soon as the next
// leader learns that its start is closed, as it would under the earlier one.
//
// It waited until the end of the hold, 20 s, even if its worker's list showed after 12 s that the
// start had not been carried out.
func TestNextLeaderReleasesTask(t *testing.T) {
	tests := []struct {
		name string
		// change modifies the polls that the next leader receives.
		change func(p *assignment.Poll)
		// fromOlder says that the previous leader has not stored where the starts are open.
		fromOlder bool
		released  time.Duration
	}{
		{"the agent tells of no open start", func(p *assignment.Poll) { p.AgentMillis = 0 }, false, 0},
		{"the agent is new", func(*assignment.Poll) {}, false, assignment.MaxOrderDelay - time.Second},
		{"the start is open", func(p *assignment.Poll) {
			p.AgentMillis = 0
			p.OpenStarts = []assignment.OpenStart{{RunID: assignment.RunID{Task: p.Runs[0].Task, Run: 1}, OpenMillis: 60_000}}
		}, false, openStartLimit},
		{"the worker is not listed", func(p *assignment.Poll) {
			p.AgentMillis, p.Complete = 0, false
		}, false, openStartLimit},
		{"the worker's list omits ends", func(p *assignment.Poll) {
			p.AgentMillis, p.Partial = 0, true
		}, false, openStartLimit},
		{"the worker gives no answer", func(p *assignment.Poll) {
			p.AgentMillis, p.FailingMillis = 0, 200
		}, false, openStartLimit},
		{"another worker", func(p *assignment.Poll) { p.AgentMillis, p.Worker = 0, "w0-1" }, false, openStartLimit},
		{"the version before has stored the hold", func(p *assignment.Poll) { p.AgentMillis = 0 }, true, openStartLimit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t, 1, 2)
				j := b.job(1, "other", job.Step{Tasks: 1})
				b.plan(0)
				w, id, poll := b.reported(j)
				b.controller.ExpireLeases(map[string]bool{w.name: true})
				if test.fromOlder {
					j.progress.Task(id.Task).HeldOn = nil
				}
				next := newFixture(t, 1, 2)
				task := next.reopen(j).progress.Task(id.Task)
				for waited := time.Duration(0); !task.Placed(); waited += 500 * time.Millisecond {
					if waited > openStartLimit+time.Second {
						t.Fatal("the task is held for longer than a start can be open")
					}
					p := poll
					p.Agent, p.AgentMillis, p.Runs = "agent/2", (time.Second + waited).Milliseconds(), []assignment.Run{{RunID: id}}
					test.change(&p)
					p.Runs = nil
					next.controller.ApplyPoll(next.now, p)
					next.plan(0)
					if early := test.released - waited; task.Placed() && early > 0 {
						t.Fatalf("the task is placed %v too early", early)
					}
					if late := waited - test.released; !task.Placed() && late > time.Second {
						t.Fatalf("the task still waits %v after its start is closed", late)
					}
					time.Sleep(500 * time.Millisecond)
					next.plan(500 * time.Millisecond)
				}
			})
		})
	}
}
