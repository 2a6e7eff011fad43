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

// TestMayBeForgotten checks that an unknown job counts as lost unless an entry has reported its
// final state and the status retention is over.
func TestMayBeForgotten(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		reported time.Duration
		want     bool
	}{
		{"its end was never told", 0, false},
		{"told a moment ago", time.Second, false},
		{"told a second less than callers may ask", statusRetention - time.Second, false},
		{"told long ago", statusRetention, true},
	}
	for _, test := range tests {
		e := finalStates{}
		if test.reported > 0 {
			e.record("a", "completed", now.Add(-test.reported))
			e.record("a", "completed", now)
		}
		if got := e.retentionOver("a", now); got != test.want {
			t.Errorf("%s: retention over: %v, want %v", test.name, got, test.want)
		}
	}
}

// fixedState is the state that an entry answers for each job, or unknown.
type fixedState string

const unknown fixedState = ""

func (s fixedState) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s == unknown {
		w.WriteHeader(statusUnknownJob)
		return
	}
	fmt.Fprintf(w, `{"state": %q}`, string(s))
}

// TestRealLossesAreCaught checks that the exception for ended jobs, which entries may forget after
// the retention, does not hide an entry that forgets a job too early, never knew it, or reports an
// earlier state again.
func TestRealLossesAreCaught(t *testing.T) {
	const id = job.ID("0000000000000001")
	tests := []struct {
		name string
		// reported is how long ago the final state was reported; zero if it was not.
		reported time.Duration
		entries  []fixedState
		lost     int
	}{
		{"forgotten everywhere before its end was told", 0, []fixedState{unknown, unknown}, 2},
		{"forgotten everywhere a second too early", statusRetention - time.Second, []fixedState{unknown, unknown}, 2},
		{"never known at one entry", 0, []fixedState{"completed", unknown}, 1},
		{"taken back long after its end was told", statusRetention, []fixedState{"running", unknown}, 1},
		{"queued for good", 0, []fixedState{"queued", "queued"}, 2},
		{"forgotten when it may be", statusRetention, []fixedState{unknown, unknown}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &cluster{platform: standin.New(1)}
			c.platform.Workers.Expect(&job.Job{ID: id, Steps: []job.Step{{Tasks: 1}}})
			for _, s := range test.entries {
				server := httptest.NewServer(s)
				defer server.Close()
				c.entries = append(c.entries, &box{callerAddress: server.Listener.Addr().String()})
			}
			sc := &scenario{cluster: c, callers: newCallers(c, nil, false, nil), finalStates: finalStates{}}
			sc.callers.accepted[id] = true
			if test.reported > 0 {
				sc.finalStates.record(id, "completed", time.Now().Add(-test.reported))
			}
			if lost := sc.unfinishedJobs(t.Context()); len(lost) != test.lost {
				t.Errorf("got %d lost jobs, want %d: %v", len(lost), test.lost, lost)
			}
		})
	}
}

// TestForgottenBeforeAsked checks jobs that every entry has forgotten before it reported their
// final state. They count as kept only if the workers' own records show that they ended long enough
// ago.
func TestForgottenBeforeAsked(t *testing.T) {
	tests := []struct {
		name string
		// tasks is the number of tasks of the job, and runs the number of them that run on the
		// worker.
		tasks, runs int
		fails       bool
		cancelled   bool
		since       time.Duration
		expired     bool
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
				sc := &scenario{
					cluster: &cluster{platform: &standin.Platform{Workers: workers}},
					callers: newCallers(&cluster{}, nil, false, nil),
				}
				state, _ := w.Heartbeat()
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
					sc.callers.cancelledAt[id] = ended
				}
				if ended.IsZero() {
					ended = time.Now()
				}
				if expired := sc.endedBeyondRetention(id, ended.Add(test.since)); expired != test.expired {
					t.Errorf("ended beyond the retention: %v, want %v", expired, test.expired)
				}
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}
