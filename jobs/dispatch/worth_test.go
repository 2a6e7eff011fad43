package dispatch

import (
	"math"
	"strings"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestChance: the probability of being on time decreases with the delay and with the slowness of
// the workers, and increases with the duration of the work.
func TestChance(t *testing.T) {
	tests := []struct {
		name     string
		length   time.Duration
		delay    time.Duration
		slowness float64
		from, to float64
	}{
		{"at once", 2 * time.Second, 0, 0, 1, 1},
		{"short, after a stop", 500 * time.Millisecond, 600 * time.Millisecond, 0, 0, 0.2},
		{"long, after a stop", 4 * time.Second, 600 * time.Millisecond, 0, 0.95, 1},
		{"long, after a stop, on slow workers", 2 * time.Second, 600 * time.Millisecond, 0.22, 0.3, 0.7},
		{"long, after a stop, on fast workers", 2 * time.Second, 600 * time.Millisecond, -0.22, 0.95, 1},
		{"on workers as slow as the stretch allows", 2 * time.Second, 0, math.Log(1.6), 0, 0},
		{"much too late", 2 * time.Second, time.Minute, 0, 0, 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t, 1, 1)
			tracked := b.job(0, "sure", job.Step{Tasks: 1})
			tracked.job.ObjectiveFactor, tracked.job.ObjectiveSlack, tracked.job.Accepted = 1.5, 250*time.Millisecond, b.now
			p := &plan{c: b.controller, now: b.now}
			got := p.probabilityOnTime(
				waitingUnit{tracked: tracked, duration: test.length}, b.now.Add(test.delay), test.slowness,
			)
			if got < test.from || got > test.to {
				t.Errorf("the probability is %.3f, want %.2f to %.2f", got, test.from, test.to)
			}
		})
	}
}

// TestStopsOnFasterWorkers: work is stopped on workers that are not slow, even if a stop on slow
// ones would cost less; if all are slow, on these.
func TestStopsOnFasterWorkers(t *testing.T) {
	for _, allSlow := range []bool{false, true} {
		b := newFixture(t, 1, 2)
		first := b.job(2, "other", job.Step{Tasks: 1, Estimate: time.Minute})
		second := b.job(2, "other", job.Step{Tasks: 1, Estimate: time.Minute})
		b.plan(0)
		began := b.now
		b.now = b.now.Add(time.Second)
		b.observe(first, began, 1)
		// Stopping the second loses less.
		b.observe(second, began.Add(500*time.Millisecond), 1)
		b.controller.workers[b.workersOf(second)[0]].speed = speedAfter(3, 4*0.25/3)
		if allSlow {
			b.controller.workers[b.workersOf(first)[0]].speed = speedAfter(3, 4*0.25/3)
		}
		urgent := b.job(0, "other", job.Step{Tasks: 1, Estimate: 2 * time.Second})
		urgent.job.ObjectiveFactor, urgent.job.ObjectiveSlack, urgent.job.Accepted = 1.5, 250*time.Millisecond, b.now
		b.plan(50 * time.Millisecond)
		stopped := first
		if allSlow {
			stopped = second
		}
		if len(stopped.stops) != 1 || len(first.stops)+len(second.stops) != 1 {
			t.Errorf(
				"all slow %v: %d runs are requested to stop on the faster worker, %d on the slow one",
				allSlow, len(first.stops), len(second.stops),
			)
		}
	}
}

// TestNominalLengths: the learnt durations of a queue don't depend on the speed of the workers on
// which it happened to run; a gang takes as long as its slowest member.
func TestNominalLengths(t *testing.T) {
	for _, gang := range []bool{false, true} {
		b := newFixture(t, 1, 2)
		tracked := b.job(0, "sure", job.Step{Tasks: 2, Gang: gang, Estimate: 2 * time.Second})
		b.plan(0)
		at := b.workersOf(tracked)
		slow := b.controller.workers[at[1]]
		slow.speed = speedAfter(1, 2*0.25)
		other := b.controller.workers[at[0]]
		took := 2 * time.Second
		want := took
		if gang {
			want = time.Duration(float64(took) / math.Exp(0.25))
		}
		name := job.TaskName{Job: tracked.job.ID}
		poll := assignment.Poll{
			Worker: other.name, State: other.state, Complete: true,
			Ends: []assignment.End{
				{RunID: assignment.RunID{Task: name, Run: 1}, Number: 1, Reason: job.EndDone, TookMillis: took.Milliseconds()},
			},
		}
		b.controller.ApplyPoll(b.now, poll)
		if got := tracked.durations[0]; (got - want).Abs() > 10*time.Millisecond {
			t.Errorf(
				"gang %v: %s took %v on %s, recorded as %v, want %v",
				gang, name, took, strings.Join(at, ", "), got, want,
			)
		}
	}
}
