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

// reported returns a poll of the worker on which the only task of a job is placed.
func (b *fixture) reported(t *trackedJob) (w *worker, id assignment.RunID, poll assignment.Poll) {
	name := job.TaskName{Job: t.job.ID}
	task := t.progress.Task(name)
	w = b.controller.workers[task.Worker]
	return w, assignment.RunID{Task: name, Run: task.Run}, assignment.Poll{Worker: w.name, State: w.state, Complete: true}
}

// TestEndsBeforeOver: a successful run counts, even if the same poll reports the end of its
// incarnation.
func TestEndsBeforeOver(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, id, poll := b.reported(j)
	poll.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndDone}}
	poll.EndedIncarnations = []assignment.IncarnationEnd{{ID: w.state.ID}}
	b.controller.ApplyPoll(b.now, poll)
	if j.progress.Phase != job.Completed {
		t.Errorf("the job is %v, want completed", j.progress.Phase)
	}
}

// TestLateRefusal: a refusal of a run that has ended is ignored, and doesn't quarantine its worker.
func TestLateRefusal(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, id, poll := b.reported(j)
	poll.Ends = []assignment.End{{RunID: id, Number: 1, Reason: job.EndDone}}
	poll.Refused = []assignment.Refusal{{RunID: id, Reason: "over"}}
	b.controller.ApplyPoll(b.now, poll)
	if j.progress.Phase != job.Completed || w.health.Quarantined(b.now) {
		t.Errorf("the job is %v, the worker is quarantined: %v; want completed, not quarantined",
			j.progress.Phase, w.health.Quarantined(b.now))
	}
}

// nextIncarnation differs from all incarnations of a fixture.
var nextIncarnation = incarnation.ID{Instance: "next", StartMillis: 2}

// TestNewLifeLosesRuns: runs of a former incarnation of a worker are placed again.
func TestNewLifeLosesRuns(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, _, poll := b.reported(j)
	next := *w.state
	next.ID = nextIncarnation
	poll.State = &next
	b.controller.ApplyPoll(b.now, poll)
	if got := b.workersOf(j); len(got) != 0 {
		t.Fatalf("the task is still placed on %v", got)
	}
	b.plan(0)
	if task := j.progress.Task(job.TaskName{Job: j.job.ID}); task.Run != 2 || task.Incarnation != nextIncarnation {
		t.Errorf("run %d on %s, want run 2 on the next incarnation", task.Run, task.Incarnation)
	}
}

// TestNothingOnALifeThatIsOver: nothing is placed on a worker between two of its incarnations.
func TestNothingOnALifeThatIsOver(t *testing.T) {
	b := newFixture(t, 1, 1)
	j := b.job(1, "other", job.Step{Tasks: 1})
	b.plan(0)
	w, _, poll := b.reported(j)
	over := w.state.ID
	poll.State, poll.Complete, poll.EndedIncarnations = nil, false, []assignment.IncarnationEnd{{ID: over}}
	for range 3 {
		b.controller.ApplyPoll(b.now, poll)
		b.plan(10 * time.Millisecond)
	}
	if got := b.workersOf(j); len(got) != 0 {
		t.Errorf("the task is placed on %v, whose incarnation is over", got)
	}
	next := &assignment.WorkerState{
		ID:       nextIncarnation,
		Service:  service,
		Rack:     "r0",
		Capacity: job.Resources{CPU: 64_000, Memory: 128_000, Accelerators: 8},
	}
	b.controller.ApplyPoll(
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
		t.Errorf("run %d is on incarnation %v, want run 2 on the next one", task.Run, task.Incarnation)
	}
}

// TestUnreadableProgress: if the stored progress of a job can't be read, none of its tasks starts,
// and its runs are left alone. Other jobs continue, and so does this one once its progress can be
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
	b.controller.ApplyJob(view)
	b.plan(0)
	if b.controller.jobs[held.ID] != nil || len(b.workersOf(other)) != 1 {
		t.Errorf("the unreadable job is %v, the other one is placed on %v; want nil and one worker",
			b.controller.jobs[held.ID], b.workersOf(other))
	}
	if got := b.controller.TakeDesired(b.now)["w0-0"]; !got.UnreadableJobs[held.ID] || got.UnreadableJobs[other.job.ID] {
		t.Errorf("the unreadable jobs are %v, want the job that can't be read and not the other one", got.UnreadableJobs)
	}
	progress := job.NewProgress()
	name := job.TaskName{Job: held.ID}
	progress.Assign(b.now, name, 1, "w0-0", b.controller.workers["w0-0"].state.ID)
	if view.Progress, err = progress.Encode(); err != nil {
		t.Fatal(err)
	}
	b.controller.ApplyJob(view)
	b.plan(0)
	task := b.controller.jobs[held.ID].progress.Task(name)
	if task.Run != 1 || b.controller.TakeDesired(b.now)["w0-0"].UnreadableJobs[held.ID] {
		t.Errorf("once the job can be read its task is in run %d, want 1", task.Run)
	}
}
