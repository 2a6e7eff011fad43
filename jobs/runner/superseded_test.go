package runner_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// TestSupersededGivesWay checks that a superseded agent sends nothing to its worker and reports
// nothing about it. When it is accepted again, it rebuilds its view from the worker's list and
// reports that starts of another process may be open.
func TestSupersededGivesWay(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		a.workers.SetWork(time.Minute)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(assignment.MaxOpenStartTime)
		a.leader.reject(&runner.SupersededError{Term: 1})
		time.Sleep(time.Second)
		supersededAt := time.Now()
		a.beat(t)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(3 * lease)
		a.beat(t)
		if calls := a.recorder.calls(supersededAt); len(calls) != 0 {
			t.Errorf("the superseded agent made %d syncs", len(calls))
		}
		if last := a.leader.last(); last.State != nil || len(last.Runs)+len(last.Refused)+len(last.EndedIncarnations) != 0 {
			t.Errorf("the superseded agent polls %+v, want nothing about the worker", last)
		}
		a.want()
		a.leader.reject(nil)
		time.Sleep(time.Second)
		a.beat(t)
		time.Sleep(time.Second)
		last := a.leader.last()
		if !last.Complete || len(last.Runs) != 0 {
			t.Errorf("after resuming the agent polls %+v, want the worker's list without runs", last)
		}
		if last.AgentMillis == 0 {
			t.Error("after resuming the agent does not report that starts of another process may be open")
		}
	})
}

// TestSupersededByFormerLeader checks that a leader that is no longer followed cannot supersede an
// agent.
func TestSupersededByFormerLeader(t *testing.T) {
	withSharedInstance(t, func(t *testing.T, a *restartingAgent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Term = 5 })
		time.Sleep(time.Second)
		a.leader.reject(&runner.SupersededError{Term: 4})
		rejected := time.Now()
		time.Sleep(3 * time.Second)
		if len(a.recorder.calls(rejected.Add(time.Second))) == 0 {
			t.Error("the agent has stood down for a former leader")
		}
	})
}

// TestSupersededAnswer checks that a 409 answer from a leader that accepts a newer process is
// distinguished from a 409 answer of an entry that does not lead.
func TestSupersededAnswer(t *testing.T) {
	tests := []struct {
		name, body string
		superseded bool
	}{
		{"superseded", `{"term":3,"address":"leader","self":"e/1","superseded":true}`, true},
		{"not leading", `{"term":3,"address":"leader","self":"e/1"}`, false},
		{"no redirect", `none`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := directory.NewDirectory(jobtest.NewLog(1).Client("a"), zerolog.Nop())
				entries.ObserveLeader(directory.Leader{Term: 3, Address: "leader"})
				client := &http.Client{Transport: conflictTransport(test.body)}
				_, err := runner.NewLeaderClient(entries, client).Poll(t.Context(), assignment.Poll{})
				var superseded *runner.SupersededError
				if got := errors.As(err, &superseded); got != test.superseded || err == nil {
					t.Errorf("the error is %v, superseded %t, want %t", err, got, test.superseded)
				}
				if superseded != nil && superseded.Term != 3 {
					t.Errorf("the error names term %d, want 3", superseded.Term)
				}
			})
		})
	}
}

// conflictTransport answers every request with status 409 and a fixed body.
type conflictTransport string

func (a conflictTransport) RoundTrip(*http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	w.WriteHeader(http.StatusConflict)
	_, _ = strings.NewReader(string(a)).WriteTo(w)
	return w.Result(), nil
}
