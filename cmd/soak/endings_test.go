package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
	"yarrowgrade.example/yarrowgrade/platform/standin"
)

// TestMayBeForgotten: a job that is not known counts as lost unless an entry has told its end, and
// callers may no longer ask for it.
func TestMayBeForgotten(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		told time.Duration
		want bool
	}{
		{"its end was never told", 0, false},
		{"told a moment ago", time.Second, false},
		{"told a second less than callers may ask", statusRetention - time.Second, false},
		{"told long ago", statusRetention, true},
	}
	for _, test := range tests {
		e := endings{}
		if test.told > 0 {
			e.note("a", "completed", now.Add(-test.told))
			e.note("a", "completed", now)
		}
		if got := e.mayBeForgotten("a", now); got != test.want {
			t.Errorf("%s: it may be forgotten: %v, want %v", test.name, got, test.want)
		}
	}
}

// said is what an entry says of each job: a state, or that it knows none.
type said string

const unknown said = ""

func (s said) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s == unknown {
		w.WriteHeader(statusUnknownJob)
		return
	}
	fmt.Fprintf(w, `{"state": %q}`, string(s))
}

// TestRealLossesAreCaught: that an entry may forget a job whose end was told long ago hides no job
// that it has forgotten too early, or never knew, or takes back.
func TestRealLossesAreCaught(t *testing.T) {
	const id = job.ID("0000000000000001")
	tests := []struct {
		name string
		// told is how long ago the end was told; zero if it was not.
		told    time.Duration
		entries []said
		lost    int
	}{
		{"forgotten everywhere before its end was told", 0, []said{unknown, unknown}, 2},
		{"forgotten everywhere a second too early", statusRetention - time.Second, []said{unknown, unknown}, 2},
		{"never known at one entry", 0, []said{"completed", unknown}, 1},
		{"taken back long after its end was told", statusRetention, []said{"running", unknown}, 1},
		{"queued for good", 0, []said{"queued", "queued"}, 2},
		{"forgotten when it may be", statusRetention, []said{unknown, unknown}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &cluster{platform: standin.New(1)}
			c.platform.Workers.Expect(&job.Job{ID: id, Steps: []job.Step{{Tasks: 1}}})
			for _, s := range test.entries {
				server := httptest.NewServer(s)
				defer server.Close()
				c.entries = append(c.entries, &box{callers: server.Listener.Addr().String()})
			}
			d := &day{cluster: c, callers: newCallers(c, nil, false, nil), endings: endings{}}
			d.callers.accepted[id] = true
			if test.told > 0 {
				d.endings.note(id, "completed", time.Now().Add(-test.told))
			}
			if lost := d.unsettled(t.Context()); len(lost) != test.lost {
				t.Errorf("%d lost, want %d: %v", len(lost), test.lost, lost)
			}
		})
	}
}

// TestForgottenBeforeAsked: a job that every entry has forgotten before its end was told counts as kept
// only if the workers' own record says that it ended long enough ago.
func TestForgottenBeforeAsked(t *testing.T) {
	tests := []struct {
		name string
		// tasks is how many tasks the job has; runs is how many of them run on the worker.
		tasks, runs int
		fails       bool
		cancelled   bool
		since       time.Duration
		kept        bool
	}{
		{"all tasks done long ago", 2, 2, false, false, statusRetention, true},
		{"all tasks done a second too late", 2, 2, false, false, statusRetention - time.Second, false},
		{"a task never ran", 2, 1, false, false, statusRetention, false},
		{"nothing ever ran", 2, 0, false, false, statusRetention, false},
		{"a task failed once and was not run again", 1, 1, true, false, statusRetention, false},
		{"cancelled long ago, nothing ever ran", 2, 0, false, true, statusRetention, true},
		{"cancelled a second too late", 2, 0, false, true, statusRetention - time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const id = job.ID("0000000000000001")
				workers := jobtest.NewWorkers(1)
				workers.Work = time.Second
				if test.fails {
					workers.FailureShare = 1
				}
				workers.Expect(&job.Job{ID: id, Service: service, MaxAttempts: 4, Steps: []job.Step{{Tasks: test.tasks}}})
				w := workers.Add("worker", service, "zone", "rack", capacity)
				ctx, stop := context.WithCancel(t.Context())
				go workers.Run(ctx)
				d := &day{
					cluster: &cluster{platform: &standin.Platform{Workers: workers}},
					callers: newCallers(&cluster{}, nil, false, nil),
				}
				state, _ := w.Beat()
				for i := range test.runs {
					run := assignment.Start{RunID: assignment.RunID{Task: job.TaskName{Job: id, Index: i}, Run: 1}}
					if _, err := w.Start(ctx, runner.Order{Incarnation: state.ID, Fence: 1}, run, time.Minute.Milliseconds()); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * time.Second)
				ended, _ := workers.EndedAt(id)
				if test.cancelled {
					ended = time.Now()
					d.callers.cancelledAt[id] = ended
				}
				if ended.IsZero() {
					ended = time.Now()
				}
				if kept := d.endedLongAgo(id, ended.Add(test.since)); kept != test.kept {
					t.Errorf("it counts as kept: %v, want %v", kept, test.kept)
				}
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}
