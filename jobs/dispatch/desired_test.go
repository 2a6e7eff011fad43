package dispatch

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// allDesired returns what each worker should run, derived from all workers and all jobs.
func (c *Controller) allDesired(now time.Time) map[string]DesiredState {
	all := map[string]DesiredState{}
	for name, w := range c.workers {
		all[name] = DesiredState{}
		if w.state != nil {
			all[name] = DesiredState{
				Incarnation:    w.state.ID,
				Runs:           map[job.TaskName]DesiredRun{},
				UnreadableJobs: maps.Clone(c.unreadable),
				AckedEnd:       w.ackedEnd,
			}
		}
	}
	for _, t := range c.jobs {
		t.progress.EachPlaced(t.job.ID, func(name job.TaskName, task *job.Task) {
			if want := all[task.Worker]; want.Runs != nil && want.Incarnation == task.Incarnation {
				want.Runs[name] = c.desiredRun(t, name, task, now)
			}
		})
	}
	return all
}

// TestWantsAreKept draws jobs, decisions, ends, cancellations, stops, incarnations and expired
// leases, and checks that the changes add up to what each worker should run.
func TestWantsAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newFixture(t, 2, 3)
		sent := map[string]DesiredState{}
		born := int64(1)
		for range rapid.IntRange(3, 25).Draw(rt, "events") {
			rack, number := rapid.IntRange(0, 1).Draw(rt, "rack"), rapid.IntRange(0, 2).Draw(rt, "worker")
			w := b.controller.workers[fmt.Sprintf("w%d-%d", rack, number)]
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0, 1:
				b.job(rapid.IntRange(0, 2).Draw(rt, "priority"), "other", job.Step{
					Tasks:      rapid.IntRange(1, 4).Draw(rt, "tasks"),
					Gang:       rapid.Bool().Draw(rt, "gang"),
					BestEffort: rapid.IntRange(0, 4).Draw(rt, "fills") == 0,
					Resources: job.Resources{
						CPU:          8000,
						Memory:       1000,
						Accelerators: rapid.IntRange(1, 8).Draw(rt, "accelerators"),
					},
					Checkpoint: rapid.Bool().Draw(rt, "checkpoint"),
				})
			case 2:
				b.endOne(rt, w)
			case 3:
				born++
				l := *w.state
				l.ID = incarnation.ID{Instance: w.name, StartMillis: born}
				b.controller.ApplyPoll(b.now, assignment.Poll{Worker: w.name, State: &l, Complete: true})
			case 4:
				b.controller.ExpireLeases(map[string]bool{w.name: true})
			case 5:
				for _, t := range b.controller.active {
					t.progress.Cancel()
					b.controller.touch(t)
					break
				}
			}
			b.plan(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			if _, err := b.controller.TakeRecords(b.now); err != nil {
				rt.Fatal(err)
			}
			maps.Copy(sent, b.controller.TakeDesired(b.now))
			for name, want := range b.controller.allDesired(b.now) {
				got := sent[name]
				sameRuns := reflect.DeepEqual(got.Runs, want.Runs) || len(got.Runs)+len(want.Runs) == 0
				if got.Incarnation != want.Incarnation || got.AckedEnd != want.AckedEnd || !sameRuns {
					rt.Fatalf("the changes for %s add up to %+v, want %+v", name, got, want)
				}
			}
		}
	})
}

// endOne reports the end of one of the worker's runs, if it has any.
func (b *fixture) endOne(rt *rapid.T, w *worker) {
	poll := assignment.Poll{Worker: w.name, State: w.state, Complete: true}
	for _, t := range b.controller.active {
		t.progress.EachPlaced(t.job.ID, func(name job.TaskName, task *job.Task) {
			if task.Worker == w.name && task.Incarnation == w.state.ID && len(poll.Ends) == 0 {
				how := rapid.SampledFrom([]job.EndReason{job.EndDone, job.EndFailed, job.EndStopped}).Draw(rt, "how")
				poll.Ends = []assignment.End{
					{RunID: assignment.RunID{Task: name, Run: task.Run}, Number: w.ackedEnd + 1, Reason: how},
				}
			}
		})
	}
	b.controller.ApplyPoll(b.now, poll)
}

// TestWantsCostWhatChanges: the cost of one more job doesn't grow with the number of workers. It
// did when the desired state of all workers was derived at each decision and sent to all of their
// agents.
func TestWantsCostWhatChanges(t *testing.T) {
	cost := func(racks int) (updated int, allocations float64) {
		b := newFixture(t, racks, 8)
		small := job.Resources{CPU: 4000, Memory: 1000, Accelerators: 1}
		for range 8 * racks {
			b.job(1, "other", job.Step{Tasks: 4, Resources: small, Estimate: time.Hour})
		}
		b.plan(0)
		b.controller.TakeDesired(b.now)
		next := b.job(1, "other", job.Step{Tasks: 2, Resources: small, Estimate: time.Hour})
		b.plan(0)
		updated = len(b.controller.TakeDesired(b.now))
		allocations = testing.AllocsPerRun(10, func() {
			b.controller.desired.markJob(next)
			b.controller.TakeDesired(b.now)
		})
		return updated, allocations
	}
	updated, allocations := cost(10)
	updatedTwice, allocationsTwice := cost(20)
	if updated > 2 || updatedTwice > 2 {
		t.Errorf("%d and %d workers were updated for a job of two tasks, want at most 2", updated, updatedTwice)
	}
	if allocationsTwice > allocations+1 {
		t.Errorf("%.0f allocations with 80 workers, %.0f with 160, want the same number", allocations, allocationsTwice)
	}
}

// TestEndedJobsAreOutOfTheWay: a decision only visits jobs that have not ended. Jobs stay known for
// three minutes after their end, and each decision visited all of them.
func TestEndedJobsAreOutOfTheWay(t *testing.T) {
	for _, n := range []int{50, 100} {
		b := newFixture(t, 2, 8)
		for range n {
			ended := b.job(1, "other", job.Step{Tasks: 1})
			b.plan(0)
			b.finish(ended, job.EndDone)
			if _, err := b.controller.TakeRecords(b.now); err != nil {
				t.Fatal(err)
			}
		}
		b.job(1, "other", job.Step{Tasks: 1})
		b.plan(0)
		if len(b.controller.jobs) != n+1 || len(b.controller.active) != 1 {
			t.Errorf("%d jobs are known and %d are active, want %d and 1", len(b.controller.jobs), len(b.controller.active), n+1)
		}
		records, err := b.controller.TakeRecords(b.now.Add(b.controller.settings.EndedRetention + time.Second))
		if err != nil || len(b.controller.jobs) != 1 || len(records) < n {
			t.Errorf(
				"after the retention %d jobs are known, %d records drop the others (%v), want 1 and at least %d",
				len(b.controller.jobs), len(records), err, n,
			)
		}
	}
}

// TestStopIsTold: a stop for an urgent job is sent to the worker, although the progress of the
// stopped job has not changed.
func TestStopIsTold(t *testing.T) {
	b := newFixture(t, 1, 1)
	preempted := b.job(1, "other", job.Step{Tasks: 1, Checkpoint: true, Estimate: time.Minute})
	b.plan(0)
	b.controller.TakeDesired(b.now)
	b.job(0, "sure", job.Step{Tasks: 1, Estimate: time.Second})
	b.plan(guaranteedMaxWait + time.Second)
	for task, run := range b.controller.TakeDesired(b.now)["w0-0"].Runs {
		if task.Job == preempted.job.ID && run.Stopping {
			return
		}
	}
	t.Error("the preempted run is not requested to stop")
}
