// Package client calls an entry's interfaces for operators and callers.
//
// # Usage
//
//	c := client.New("http://127.0.0.1:7100", http.DefaultClient)
//	sessions, err := c.Sessions(ctx)
//
// Its errors are *fault.Error with the step and the peer; an answer that refuses holds a *jsonhttp.StatusError.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/leader"
	"yarrowgrade.example/yarrowgrade/sessions/entry"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// DefaultAddress is where `yarrowgraded dev` listens.
const DefaultAddress = "127.0.0.1:7100"

// Client calls one entry.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client for the entry at the base URL.
func New(address string, c *http.Client) *Client { return &Client{address: address, client: c} }

func (c *Client) call(ctx context.Context, step, method, path string, in, out any) error {
	return jsonhttp.Call(ctx, c.client, "client."+step, method, c.address, path, in, out)
}

// Sessions lists all sessions.
func (c *Client) Sessions(ctx context.Context) ([]entry.SessionView, error) {
	var list []entry.SessionView
	return list, c.call(ctx, "Sessions", http.MethodGet, "/v1/sessions", nil, &list)
}

// Session returns one session.
func (c *Client) Session(ctx context.Context, name string) (entry.SessionView, error) {
	var v entry.SessionView
	return v, c.call(ctx, "Session", http.MethodGet, "/v1/sessions/"+url.PathEscape(name), nil, &v)
}

// CreateSession creates a session. Once it returns without an error the session is never dropped.
func (c *Client) CreateSession(ctx context.Context, spec ledger.SessionSpec) (entry.SessionView, error) {
	var v entry.SessionView
	return v, c.call(ctx, "CreateSession", http.MethodPost, "/v1/sessions", spec, &v)
}

// CancelSession ends a session.
func (c *Client) CancelSession(ctx context.Context, name string) (entry.SessionView, error) {
	var v entry.SessionView
	return v, c.call(ctx, "CancelSession", http.MethodDelete, "/v1/sessions/"+url.PathEscape(name), nil, &v)
}

// Explain says why a session waits.
func (c *Client) Explain(ctx context.Context, name string) (entry.Explanation, error) {
	var v entry.Explanation
	return v, c.call(ctx, "Explain", http.MethodGet, "/v1/sessions/"+url.PathEscape(name)+"/explain", nil, &v)
}

// Teams lists all teams.
func (c *Client) Teams(ctx context.Context) ([]entry.TeamView, error) {
	var list []entry.TeamView
	return list, c.call(ctx, "Teams", http.MethodGet, "/v1/teams", nil, &list)
}

// Team returns one team.
func (c *Client) Team(ctx context.Context, name string) (entry.TeamView, error) {
	var v entry.TeamView
	return v, c.call(ctx, "Team", http.MethodGet, "/v1/teams/"+url.PathEscape(name), nil, &v)
}

// Workers lists all workers.
func (c *Client) Workers(ctx context.Context) ([]ledger.Worker, error) {
	var list []ledger.Worker
	return list, c.call(ctx, "Workers", http.MethodGet, "/v1/workers", nil, &list)
}

// Jobs lists the jobs that a job entry knows.
func (c *Client) Jobs(ctx context.Context) ([]admission.JobSummary, error) {
	var list []admission.JobSummary
	return list, c.call(ctx, "Jobs", http.MethodGet, "/v1/jobs", nil, &list)
}

// Job returns a job with its tasks.
func (c *Client) Job(ctx context.Context, id string) (admission.JobDetail, error) {
	var v admission.JobDetail
	return v, c.call(ctx, "Job", http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &v)
}

// JobsStatus returns what a job entry knows of what operators have put in force.
func (c *Client) JobsStatus(ctx context.Context) (admission.JobsStatus, error) {
	var v admission.JobsStatus
	return v, c.call(ctx, "JobsStatus", http.MethodGet, "/v1/status", nil, &v)
}

// JobWorkers lists the workers that run jobs. Only the job entry that leads knows them.
func (c *Client) JobWorkers(ctx context.Context) ([]leader.WorkerStatus, error) {
	var list []leader.WorkerStatus
	return list, c.call(ctx, "JobWorkers", http.MethodGet, leader.WorkersPath, nil, &list)
}

// Status returns what all entries tell.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	var v entry.Status
	return v, c.call(ctx, "Status", http.MethodGet, "/v1/status", nil, &v)
}

// Configs lists the configuration.
func (c *Client) Configs(ctx context.Context) ([]ledger.ConfigEntry, error) {
	var list []ledger.ConfigEntry
	return list, c.call(ctx, "Configs", http.MethodGet, "/v1/config", nil, &list)
}

// Config returns one entry of the configuration with its history.
func (c *Client) Config(ctx context.Context, key string) (ledger.ConfigEntry, error) {
	var v ledger.ConfigEntry
	return v, c.call(ctx, "Config", http.MethodGet, "/v1/config/"+key, nil, &v)
}

// PutConfig replaces an entry of the configuration if it is still at the given revision; zero means that it is new.
func (c *Client) PutConfig(ctx context.Context, key string, value any, revision int64, author string) (entry.PutAnswer, error) {
	var answer entry.PutAnswer
	raw, err := json.Marshal(value)
	if err != nil {
		return answer, fault.New("client.PutConfig", "", err)
	}
	in := entry.ConfigPut{Value: raw, Revision: revision, Author: author}
	return answer, c.call(ctx, "PutConfig", http.MethodPut, "/v1/config/"+key, in, &answer)
}

// readyRetry is the pause of PutConfigWhenReady between two tries.
const readyRetry = 50 * time.Millisecond

// PutConfigWhenReady puts a new entry, and waits while the entry it calls has not read the ledger yet.
func (c *Client) PutConfigWhenReady(ctx context.Context, key string, value any, author string) (entry.PutAnswer, error) {
	for {
		answer, err := c.PutConfig(ctx, key, value, 0, author)
		var status *jsonhttp.StatusError
		if err == nil || (errors.As(err, &status) && status.Status != http.StatusServiceUnavailable) {
			return answer, err
		}
		select {
		case <-time.After(readyRetry):
		case <-ctx.Done():
			return answer, err
		}
	}
}

// CheckPolicy compiles a policy without putting it in force.
func (c *Client) CheckPolicy(ctx context.Context, p policy.Policy) error {
	return c.call(ctx, "CheckPolicy", http.MethodPost, "/v1/policies/check", p, nil)
}

// Key returns a key for one request that must not be repeated.
func (c *Client) Key(ctx context.Context, service string) (string, error) {
	var answer entry.KeyAnswer
	err := c.call(ctx, "Key", http.MethodPost, "/v1/keys", entry.KeyRequest{Service: service}, &answer)
	return answer.Key, err
}

// Send sends a request and returns its outcome. An error says that no outcome came back.
func (c *Client) Send(ctx context.Context, call request.Call) (request.Answer, error) {
	var answer request.Answer
	err := jsonhttp.CallAny(ctx, c.client, "client.Send", http.MethodPost, c.address, "/v1/requests", call, &answer)
	if err == nil && answer.Outcome == "" {
		err = fault.New("client.Send", c.address, errors.New("the answer has no outcome"))
	}
	return answer, err
}
