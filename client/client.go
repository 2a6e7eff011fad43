// Package client calls the HTTP interfaces that entries offer to operators and callers.
//
// A Client calls one entry. Most methods are for entries of the session scheduler; Jobs, Job,
// JobsStatus and JobWorkers are for entries of the job scheduler. A Client holds no state other
// than the address, and only PutConfigWhenReady retries.
//
// # Usage
//
//	c := client.New("http://127.0.0.1:7100", http.DefaultClient)
//	sessions, err := c.Sessions(ctx)
//
// Errors are of type *fault.Error and hold the step and the entry's address. If the entry responded
// with an error status, they wrap a *jsonhttp.StatusError.
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
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/leader"
	"yarrowgrade.example/yarrowgrade/sessions/entry"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// DefaultAddress is the address on which `yarrowgraded dev` listens.
const DefaultAddress = "127.0.0.1:7100"

// Client calls one entry. It is safe for concurrent use if its HTTP client is.
type Client struct {
	address string
	client  *http.Client
}

// New returns a client for the entry at the base URL address.
func New(address string, c *http.Client) *Client { return &Client{address: address, client: c} }

// call sends one request and decodes the response.
func call[T any](ctx context.Context, c *Client, step, method, path string, in any) (T, error) {
	var out T
	err := jsonhttp.Call(ctx, c.client, "client."+step, method, c.address, path, in, &out)
	return out, err
}

// Sessions lists all sessions.
func (c *Client) Sessions(ctx context.Context) ([]entry.SessionView, error) {
	return call[[]entry.SessionView](ctx, c, "Sessions", http.MethodGet, "/v1/sessions", nil)
}

// Session returns one session.
func (c *Client) Session(ctx context.Context, name string) (entry.SessionView, error) {
	return call[entry.SessionView](ctx, c, "Session", http.MethodGet, sessionPath(name), nil)
}

// CreateSession creates a session. Once it has returned without an error, the session is never
// dropped.
func (c *Client) CreateSession(ctx context.Context, spec ledger.SessionSpec) (entry.SessionView, error) {
	return call[entry.SessionView](ctx, c, "CreateSession", http.MethodPost, "/v1/sessions", spec)
}

// CancelSession ends a session.
func (c *Client) CancelSession(ctx context.Context, name string) (entry.SessionView, error) {
	return call[entry.SessionView](ctx, c, "CancelSession", http.MethodDelete, sessionPath(name), nil)
}

// Explain returns the reason why a session is waiting.
func (c *Client) Explain(ctx context.Context, name string) (entry.Explanation, error) {
	return call[entry.Explanation](ctx, c, "Explain", http.MethodGet, sessionPath(name)+"/explain", nil)
}

func sessionPath(name string) string { return "/v1/sessions/" + url.PathEscape(name) }

// Teams lists all teams.
func (c *Client) Teams(ctx context.Context) ([]entry.TeamView, error) {
	return call[[]entry.TeamView](ctx, c, "Teams", http.MethodGet, "/v1/teams", nil)
}

// Team returns one team.
func (c *Client) Team(ctx context.Context, name string) (entry.TeamView, error) {
	return call[entry.TeamView](ctx, c, "Team", http.MethodGet, "/v1/teams/"+url.PathEscape(name), nil)
}

// Workers lists the workers that run sessions.
func (c *Client) Workers(ctx context.Context) ([]ledger.Worker, error) {
	return call[[]ledger.Worker](ctx, c, "Workers", http.MethodGet, "/v1/workers", nil)
}

// Jobs lists the jobs known to a job entry.
func (c *Client) Jobs(ctx context.Context) ([]admission.JobSummary, error) {
	return call[[]admission.JobSummary](ctx, c, "Jobs", http.MethodGet, "/v1/jobs", nil)
}

// Job returns a job and its tasks.
func (c *Client) Job(ctx context.Context, id string) (admission.JobDetail, error) {
	return call[admission.JobDetail](ctx, c, "Job", http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// JobsStatus returns the configuration, leader and cordons known to a job entry.
func (c *Client) JobsStatus(ctx context.Context) (admission.JobsStatus, error) {
	return call[admission.JobsStatus](ctx, c, "JobsStatus", http.MethodGet, "/v1/status", nil)
}

// JobWorkers lists the workers that run jobs. Only the leading entry can list them.
func (c *Client) JobWorkers(ctx context.Context) ([]leader.WorkerStatus, error) {
	return call[[]leader.WorkerStatus](ctx, c, "JobWorkers", http.MethodGet, leader.WorkersPath, nil)
}

// Status returns the state of all session entries and of the agents that poll them.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	return call[entry.Status](ctx, c, "Status", http.MethodGet, "/v1/status", nil)
}

// Configs lists all configuration entries.
func (c *Client) Configs(ctx context.Context) ([]ledger.ConfigEntry, error) {
	return call[[]ledger.ConfigEntry](ctx, c, "Configs", http.MethodGet, "/v1/config", nil)
}

// Config returns one configuration entry and its history.
func (c *Client) Config(ctx context.Context, key string) (ledger.ConfigEntry, error) {
	return call[ledger.ConfigEntry](ctx, c, "Config", http.MethodGet, "/v1/config/"+key, nil)
}

// PutConfig replaces a configuration entry if it is still at the given revision. A revision of zero
// creates the entry.
func (c *Client) PutConfig(
	ctx context.Context, key string, value any, revision int64, author string,
) (entry.PutAnswer, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return entry.PutAnswer{}, fault.New("client.PutConfig", "", err)
	}
	in := entry.ConfigPut{Value: raw, Revision: revision, Author: author}
	return call[entry.PutAnswer](ctx, c, "PutConfig", http.MethodPut, "/v1/config/"+key, in)
}

// readyRetryDelay is the delay between two attempts of PutConfigWhenReady.
const readyRetryDelay = 50 * time.Millisecond

// PutConfigWhenReady creates a configuration entry. While the called scheduler entry can't be
// reached or has not read its log yet, it retries until ctx ends.
func (c *Client) PutConfigWhenReady(
	ctx context.Context, key string, value any, author string,
) (entry.PutAnswer, error) {
	for {
		response, err := c.PutConfig(ctx, key, value, 0, author)
		var status *jsonhttp.StatusError
		if err == nil || errors.As(err, &status) && status.Status != http.StatusServiceUnavailable {
			return response, err
		}
		if !pause.For(ctx, readyRetryDelay) {
			return response, err
		}
	}
}

// CheckPolicy compiles a policy without applying it.
func (c *Client) CheckPolicy(ctx context.Context, p policy.Policy) error {
	const step, path = "client.CheckPolicy", "/v1/policies/check"
	return jsonhttp.Call(ctx, c.client, step, http.MethodPost, c.address, path, p, nil)
}

// Key returns an idempotency key for one request that must not be repeated.
func (c *Client) Key(ctx context.Context, service string) (string, error) {
	response, err := call[entry.KeyAnswer](ctx, c, "Key", http.MethodPost, "/v1/keys", entry.KeyRequest{Service: service})
	return response.Key, err
}

// Send sends a request and returns its outcome. If it returns an error, the outcome is unknown.
func (c *Client) Send(ctx context.Context, r request.Call) (request.Answer, error) {
	var response request.Answer
	err := jsonhttp.CallAnyStatus(ctx, c.client, "client.Send", http.MethodPost, c.address, "/v1/requests", r, &response)
	if err == nil && response.Outcome == "" {
		err = fault.New("client.Send", c.address, errors.New("the response has no outcome"))
	}
	return response, err
}
