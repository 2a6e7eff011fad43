package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// agentFunc is a fake agent. It answers a request, or returns an error to abort the connection.
type agentFunc func(hop request.AgentRequest) (request.Answer, error)

func succeed(hop request.AgentRequest) (request.Answer, error) {
	return request.Answer{ID: hop.ID, Outcome: request.Done, Body: "whole", Digest: request.DigestOf("whole")}, nil
}

func refuse(hop request.AgentRequest) (request.Answer, error) {
	return request.NotRunAnswer(hop.ID, "full", 1), nil
}

func reset(request.AgentRequest) (request.Answer, error) {
	return request.Answer{}, http.ErrAbortHandler
}

// newRoutedEntry returns an entry with one worker per agent, and a function that returns the number
// of calls of each agent. A nil agent does not listen. Requests go to the first candidate.
func newRoutedEntry(t *testing.T, agents ...agentFunc) (e *Entry, called func() []int) {
	t.Helper()
	e = New(Settings{Name: "e"}, Dependencies{
		Platform:  standin.New(),
		Client:    http.DefaultClient,
		Telemetry: telemetry.Discard(),
		Random:    func(int) int { return 0 },
	})
	calls := make([]int, len(agents))
	var mu sync.Mutex
	var records []hosting.Record
	add := func(r ledger.Record) {
		r.ID = fmt.Sprint(len(records))
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, hosting.Record{Offset: int64(len(records) + 1), Data: data})
	}
	for i, agent := range agents {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			calls[i]++
			mu.Unlock()
			var hop request.AgentRequest
			if err := jsonhttp.Read(w, r, &hop); err != nil {
				t.Error(err)
			}
			answer, err := agent(hop)
			if err != nil {
				panic(err)
			}
			jsonhttp.Write(w, http.StatusOK, answer)
		}))
		t.Cleanup(server.Close)
		if agent == nil {
			server.Close()
		}
		add(ledger.Record{Join: &ledger.JoinWorker{Worker: ledger.Worker{
			Name: fmt.Sprintf("w%d", i), Zone: "z", Rack: "r", Service: "s", Address: server.URL, Incarnation: "one", Slots: 8,
		}}})
	}
	value, _ := json.Marshal(ledger.Team{Name: "a", Share: 1})
	add(ledger.Record{Config: &ledger.PutConfig{Key: "team/a", Value: value}})
	e.replica.Apply(records)
	e.ready.Store(true)
	return e, func() []int {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(calls)
	}
}

func TestRouter(t *testing.T) {
	mismatched := func(hop request.AgentRequest) (request.Answer, error) {
		hop.ID = "another"
		return succeed(hop)
	}
	truncated := func(hop request.AgentRequest) (request.Answer, error) {
		a, _ := succeed(hop)
		a.Body = "whol"
		return a, nil
	}
	leaving := func(hop request.AgentRequest) (request.Answer, error) {
		a, _ := refuse(hop)
		a.Leaving = true
		return a, nil
	}
	tests := []struct {
		name   string
		key    bool
		agents []agentFunc
		want   request.Outcome
		calls  string
	}{
		{"one that answers", false, []agentFunc{succeed, succeed}, request.Done, "[1 0]"},
		{"a refusal is tried elsewhere", false, []agentFunc{refuse, succeed}, request.Done, "[1 1]"},
		{"a lost connection is tried elsewhere", false, []agentFunc{reset, succeed}, request.Done, "[1 1]"},
		{"all refuse", false, []agentFunc{refuse, refuse}, request.NotRun, "[1 1]"},
		{"none listens", false, []agentFunc{nil, nil}, request.NotRun, "[0 0]"},
		{"an attempt that may have run, then a refusal", false, []agentFunc{reset, refuse}, request.Unknown, "[1 1]"},
		{"a refusal, then an attempt that may have run", false, []agentFunc{refuse, reset}, request.Unknown, "[1 1]"},
		{"a crossed answer is dropped", false, []agentFunc{mismatched, succeed}, request.Done, "[1 1]"},
		{"a cut answer is dropped", false, []agentFunc{truncated, truncated}, request.Unknown, "[1 1]"},
		{"a leaving agent gets no more", false, []agentFunc{leaving, succeed}, request.Done, "[1 1]"},
		{"no target", false, nil, request.NotRun, "[]"},
		{"a key goes to its own agent only", true, []agentFunc{refuse, succeed}, request.NotRun, "[1 0]"},
		{"a key whose agent is lost is not tried elsewhere", true, []agentFunc{reset, succeed}, request.Unknown, "[1 0]"},
		{
			"a key whose agent does not listen may have run through another entry",
			true,
			[]agentFunc{nil, succeed},
			request.Unknown,
			"[0 0]",
		},
		{"a crossed answer to a key is dropped", true, []agentFunc{mismatched, succeed}, request.Unknown, "[1 0]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, called := newRoutedEntry(t, tt.agents...)
			call := request.Call{Service: "s", Team: "a", DeadlineMillis: 5000, Body: "x"}
			if tt.key {
				key, err := request.NewKey("w0", "one")
				if err != nil {
					t.Fatal(err)
				}
				call.Key = key.String()
			}
			answer := e.router.route(t.Context(), call)
			if answer.Outcome != tt.want || fmt.Sprint(called()) != tt.calls {
				t.Errorf("got %+v after calls %v, want %s after %s", answer, called(), tt.want, tt.calls)
			}
			if answer.Outcome != request.Done && answer.RetryAfterMillis == 0 {
				t.Errorf("no retry delay: %+v", answer)
			}
		})
	}
}

// TestSlowTarget checks that only the first request goes to a target that does not answer in time,
// and the others go elsewhere. If it is the only target, it still gets all requests.
func TestSlowTarget(t *testing.T) {
	timeOut := func(hop request.AgentRequest) (request.Answer, error) {
		return request.UnknownAnswer(hop.ID, "no answer in time", 0), nil
	}
	send := func(e *Entry, n int) {
		for range n {
			e.router.route(t.Context(), request.Call{Service: "s", Team: "a", DeadlineMillis: 5000})
		}
	}
	e, called := newRoutedEntry(t, timeOut, succeed)
	send(e, 10)
	if got := fmt.Sprint(called()); got != "[1 10]" {
		t.Errorf("the slow and the healthy target got %s calls, want [1 10]: one attempt at the slow one, then none", got)
	}
	e, called = newRoutedEntry(t, timeOut)
	send(e, 10)
	if got := called()[0]; got != 10 {
		t.Errorf("the only target got %d of 10 requests", got)
	}
}

// TestLeavingAgent checks that an agent that answers that it is leaving gets no further request
// from this entry.
func TestLeavingAgent(t *testing.T) {
	leaving := func(hop request.AgentRequest) (request.Answer, error) {
		return request.Answer{ID: hop.ID, Outcome: request.NotRun, Leaving: true}, nil
	}
	e, called := newRoutedEntry(t, leaving, succeed)
	for range 10 {
		e.router.route(t.Context(), request.Call{Service: "s", Team: "a", DeadlineMillis: 5000})
	}
	if got := fmt.Sprint(called()); got != "[1 10]" {
		t.Errorf("the leaving agent and the other one got %s calls, want [1 10]", got)
	}
}

// TestRegion checks that a request goes to an agent in the entry's region, and to an agent in
// another region only if the local one does not take it.
func TestRegion(t *testing.T) {
	for _, tt := range []struct {
		local agentFunc
		want  string
	}{{succeed, "[0 1]"}, {refuse, "[1 1]"}, {nil, "[1 0]"}} {
		e, called := newRoutedEntry(t, succeed, tt.local)
		e.settings.Region = "north"
		w, _ := e.replica.State().Worker("w1")
		w.Region, w.Leaving = "north", false
		data, _ := ledger.Record{ID: "moved", Join: &ledger.JoinWorker{Worker: w}}.Encode()
		e.replica.Apply([]hosting.Record{{Offset: e.replica.State().Revision() + 1, Data: data}})
		if answer := e.router.route(t.Context(), request.Call{
			Service:        "s",
			Team:           "a",
			DeadlineMillis: 5000,
		}); answer.Outcome != request.Done {
			t.Errorf("got %+v", answer)
		}
		if got := fmt.Sprint(called()); got != tt.want {
			t.Errorf("the remote and the local agent got %s calls, want %s", got, tt.want)
		}
	}
}

// TestRetryBudget checks that retries stay a bounded share of the requests if all agents refuse.
func TestRetryBudget(t *testing.T) {
	// The refusals have no retry delay, so the agents are not avoided between requests.
	refuseNow := func(hop request.AgentRequest) (request.Answer, error) {
		return request.NotRunAnswer(hop.ID, "full", 0), nil
	}
	e, called := newRoutedEntry(t, refuseNow, refuseNow)
	const requests = 1000
	for range requests {
		e.router.route(t.Context(), request.Call{Service: "s", Team: "a", DeadlineMillis: 5000})
	}
	retries := called()[0] + called()[1] - requests
	if limit := int(maxRetryBudget) + requests/10; retries > limit || retries < requests/20 {
		t.Errorf("%d retries for %d requests, want at most %d, and at least one per 20 requests", retries, requests, limit)
	}
}

// TestBadInput checks that invalid requests are rejected with the name of the field at fault.
func TestBadInput(t *testing.T) {
	e, _ := newRoutedEntry(t, succeed)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	tests := []struct {
		method, path, body string
		status             int
		field              string
	}{
		{"POST", "/v1/requests", `{`, 400, "body"},
		{"POST", "/v1/requests", `{"service":1}`, 400, "service"},
		{"POST", "/v1/requests", `{"servise":"s"}`, 400, "servise"},
		{"POST", "/v1/requests", `{"":"s"}`, 400, "body"},
		{"POST", "/v1/requests", `{"team":"a","deadline_ms":5}`, 400, "service"},
		{"POST", "/v1/requests", `{"service":"s","team":"a"}`, 400, "deadline_ms"},
		{"POST", "/v1/requests", `{"service":"s","team":"a","deadline_ms":99999999}`, 400, "deadline_ms"},
		{"POST", "/v1/requests", `{"service":"s","team":"b","deadline_ms":5}`, 400, "team"},
		{"POST", "/v1/requests", `{"service":"s","team":"a","deadline_ms":5,"key":"wrong"}`, 400, "key"},
		{"POST", "/v1/requests", `{"service":"s","team":"a","deadline_ms":5,"not_repeatable":true}`, 400, "key"},
		{
			"POST",
			"/v1/requests",
			`{"service":"s","team":"a","deadline_ms":5,"body":"` + strings.Repeat("x", request.MaxBody+1) + `"}`,
			400,
			"body",
		},
		{"POST", "/v1/requests", strings.Repeat("x", jsonhttp.MaxRequestBytes+1), 400, "body"},
		{"POST", "/v1/requests", `{} {}`, 400, "body"},
		{"POST", "/v1/keys", `{}`, 400, "service"},
		{"POST", "/v1/keys", `{"service":"nobody"}`, 503, ""},
		{"POST", "/v1/sessions", `{"name":"UPPER"}`, 400, "name"},
		{"POST", "/v1/sessions", `{"name":"s","team":"a","shape":{"accelerators":65}}`, 400, "shape.accelerators"},
		{
			"POST",
			"/v1/sessions",
			`{"name":"s","team":"a","shape":{"accelerators":1,"adjacency":"near"}}`,
			400,
			"shape.adjacency",
		},
		{"POST", "/v1/sessions", `{"name":"s","team":"a","shape":{"accelerators":1},"work_seconds":-1}`, 400, "work_seconds"},
		{"GET", "/v1/sessions/none", ``, 404, "name"},
		{"DELETE", "/v1/sessions/none", ``, 404, "name"},
		{"GET", "/v1/teams/none", ``, 404, "name"},
		{"GET", "/v1/config/team/none", ``, 404, "name"},
		{"PUT", "/v1/config/other", `{"value":{}}`, 400, "key"},
		{"PUT", "/v1/config/limits", `{"value":{"queue":1}}`, 400, "queue"},
		{"PUT", "/v1/config/limits", `{"value":{"queue_length":-1}}`, 400, "queue_length"},
		{"PUT", "/v1/config/team/b", `{"value":{"name":"a"}}`, 400, "name"},
		{"PUT", "/v1/config/policy/p", `{"value":{"name":"p","decides":"allow","source":"team =="}}`, 400, "source"},
		{"POST", "/v1/policies/check", `{"name":"p","decides":"maybe","source":"true"}`, 400, "decides"},
		{"POST", "/internal/join", `{"name":"w"}`, 400, "worker.zone"},
		{"POST", "/internal/leaving", `{}`, 400, "worker"},
		{"GET", "/internal/state?newer_than=x", ``, 400, "newer_than"},
	}
	for _, tt := range tests {
		r, _ := http.NewRequest(tt.method, server.URL+tt.path, strings.NewReader(tt.body))
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Errorf("%s %s: %v", tt.method, tt.path, err)
			continue
		}
		var body jsonhttp.ErrorBody
		err = json.NewDecoder(response.Body).Decode(&body)
		response.Body.Close()
		if err != nil || response.StatusCode != tt.status || body.Field != tt.field || body.Error == "" {
			t.Errorf(
				"%s %s %.60s: %d %+v, want %d for %q",
				tt.method,
				tt.path,
				tt.body,
				response.StatusCode,
				body,
				tt.status,
				tt.field,
			)
		}
	}
}
