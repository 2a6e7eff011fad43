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

// TestSupersededGivesWay: an agent whose leader hears a newer process sends its worker nothing and
// says nothing of it, and when it is heard again it starts from the worker's list and says that
// another process's starts may be open.
func TestSupersededGivesWay(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		a.workers.SetWork(time.Minute)
		a.want(assignment.Start{RunID: id(1)})
		time.Sleep(assignment.MaxOpenTime)
		a.leader.reject(&runner.SupersededError{Term: 1})
		time.Sleep(time.Second)
		told := time.Now()
		a.beat(t)
		a.worker.CrashProcess(100 * time.Millisecond)
		time.Sleep(3 * lease)
		a.beat(t)
		if calls := a.recorder.calls(told); len(calls) != 0 {
			t.Errorf("it makes %d syncs", len(calls))
		}
		if last := a.leader.last(); last.State != nil || len(last.Runs)+len(last.Refused)+len(last.EndedIncarnations) != 0 {
			t.Errorf("it polls %+v, want nothing of the worker", last)
		}
		a.want()
		a.leader.reject(nil)
		time.Sleep(time.Second)
		a.beat(t)
		time.Sleep(time.Second)
		last := a.leader.last()
		if !last.Complete || len(last.Runs) != 0 {
			t.Errorf("when it is back it polls %+v, want the worker's list", last)
		}
		if last.AgentMillis == 0 {
			t.Error("when it is back it does not say that starts of another process may be open")
		}
	})
}

// TestSupersededByFormerLeader: a leader that is no longer followed can't say that an agent is
// superseded.
func TestSupersededByFormerLeader(t *testing.T) {
	withRestarts(t, func(t *testing.T, a *restarting) {
		a.leader.set(func(answer *assignment.Answer) { answer.Term = 5 })
		time.Sleep(time.Second)
		a.leader.reject(&runner.SupersededError{Term: 4})
		rejected := time.Now()
		time.Sleep(3 * time.Second)
		if len(a.recorder.calls(rejected.Add(time.Second))) == 0 {
			t.Error("the agent has given way")
		}
	})
}

// TestSupersededAnswer: a 409 of the leader that hears a newer process is told from one of an entry
// that does not lead.
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
				client := &http.Client{Transport: answering(test.body)}
				_, err := runner.NewLeaderClient(entries, client).Poll(t.Context(), assignment.Poll{})
				var superseded *runner.SupersededError
				if got := errors.As(err, &superseded); got != test.superseded || err == nil {
					t.Errorf("the error is %v, superseded %t, want %t", err, got, test.superseded)
				}
				if superseded != nil && superseded.Term != 3 {
					t.Errorf("it names term %d, want 3", superseded.Term)
				}
			})
		})
	}
}

// answering answers each request 409 with a body.
type answering string

func (a answering) RoundTrip(*http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	w.WriteHeader(http.StatusConflict)
	_, _ = strings.NewReader(string(a)).WriteTo(w)
	return w.Result(), nil
}
