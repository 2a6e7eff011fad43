package dispatch

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// reported is a poll of the worker on which the only task of a job is placed.
func (b *fixture) reported(t *trackedJob) (w *worker, id assignment.RunID, poll assignment.Poll) {
	name := job.TaskName{Job: t.job.ID}
	task := t.progress.Task(name)
	w = b.control.workers[task.Worker]
	return w, assignment.RunID{Task: name, Run: task.Run}, assignment.Poll{Worker: w.name, State: w.state, Complete: true}
}

// TestEndsBeforeOver: what has succeeded is done, even if the same poll says that its
// incarnation is over.
func TestEndsBeforeOver(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, id, poll := b.reported(j)
	poll.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndDone}}
	poll.EndedIncarnations = []assignment.IncarnationEnd{{ID: w.state.ID}}
	b.control.ApplyPoll(b.now, poll)
	if j.progress.Phase != job.Completed {
		t.Errorf("the job is %v, want completed", j.progress.Phase)
	}
}

// TestLateRefusal: a refusal of a run that has ended is ignored, and its worker is not
// quarantined for it.
func TestLateRefusal(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, id, poll := b.reported(j)
	poll.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndDone}}
	poll.Refused = []assignment.Refusal{{RunID: id, Reason: "over"}}
	b.control.ApplyPoll(b.now, poll)
	if j.progress.Phase != job.Completed || w.health.Quarantined(b.now) {
		t.Errorf("the job is %v, the worker rests: %v", j.progress.Phase, w.health.Quarantined(b.now))
	}
}

// nextIncarnation is none of a fixture's.
var nextIncarnation = incarnation.ID{Instance: "next", StartMillis: 2}

// TestNewLifeLosesRuns: what ran on a former incarnation of a worker is placed again.
func TestNewLifeLosesRuns(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, _, poll := b.reported(j)
	next := *w.state
	next.ID = nextIncarnation
	poll.State = &next
	b.control.ApplyPoll(b.now, poll)
	if got := b.at(j); len(got) != 0 {
		t.Fatalf("it is still placed on %v", got)
	}
	b.plan(0)
	if task := j.progress.Task(job.TaskName{Job: j.job.ID}); task.Run != 2 || task.Incarnation != nextIncarnation {
		t.Errorf("run %d on %s, want run 2 on the next life", task.Run, task.Incarnation)
	}
}

// TestNothingOnALifeThatIsOver: between two incarnations of a worker nothing is placed on it.
func TestNothingOnALifeThatIsOver(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, _, poll := b.reported(j)
	over := w.state.ID
	poll.State, poll.Complete, poll.EndedIncarnations = nil, false, []assignment.IncarnationEnd{{ID: over}}
	for range 3 {
		b.control.ApplyPoll(b.now, poll)
		b.plan(10 * time.Millisecond)
	}
	if got := b.at(j); len(got) != 0 {
		t.Errorf("it is placed on %v, whose life is over", got)
	}
	next := &assignment.WorkerState{
		ID:       nextIncarnation,
		Service:  service,
		Rack:     "r0",
		Capacity: job.Resources{CPU: 64_000, Memory: 128_000, Accelerators: 8},
	}
	b.control.ApplyPoll(
		b.now,
		assignment.Poll{
			Worker:            w.name,
			State:             next,
			Complete:          true,
			EndedIncarnations: []assignment.IncarnationEnd{{ID: over}},
		},
	)
	b.plan(0)
	if task := j.progress.Task(job.TaskName{Job: j.job.ID}); task.Incarnation != nextIncarnation || task.Run != 2 {
		t.Errorf("run %d is on life %v, want run 2 on the next one", task.Run, task.Incarnation)
	}
}

// TestUnreadableProgress: of a job whose stored progress can't be read nothing starts, and what
// runs of it is left alone. Other jobs go on, and so does this one once its progress can be
// read.
func TestUnreadableProgress(t *testing.T) {
	b := newFixture(t, 1, 1)
	other := b.job(1, "other", job.Step{Tasks: 1})
	held := &job.Job{
		ID:          "00000000000000ff",
		Service:     service,
		Team:        "other",
		Priority:    1,
		MaxAttempts: 3,
		Accepted:    b.now,
		Steps:       []job.Step{{Tasks: 2, Estimate: time.Second}},
	}
	submission, err := held.Encode()
	if err != nil {
		t.Fatal(err)
	}
	view := jobstore.StoredJob{ID: held.ID, Submission: submission, Progress: topic.CorruptValue}
	b.control.ApplyJob(view)
	b.plan(0)
	if b.control.jobs[held.ID] != nil || len(b.at(other)) != 1 {
		t.Errorf("the held job is %v, the other one is placed on %v", b.control.jobs[held.ID], b.at(other))
	}
	if want := b.control.TakeDesired(b.now)["w0-0"]; !want.Held[held.ID] || want.Held[other.job.ID] {
		t.Errorf("held are %v", want.Held)
	}
	progress := job.NewProgress()
	name := job.TaskName{Job: held.ID}
	progress.Assign(b.now, name, 1, "w0-0", b.control.workers["w0-0"].state.ID)
	if view.Progress, err = progress.Encode(); err != nil {
		t.Fatal(err)
	}
	b.control.ApplyJob(view)
	b.plan(0)
	task := b.control.jobs[held.ID].progress.Task(name)
	if task.Run != 1 || b.control.TakeDesired(b.now)["w0-0"].Held[held.ID] {
		t.Errorf("once it can be read its task is in run %d, want 1", task.Run)
	}
}
