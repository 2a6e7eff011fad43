package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// TestGoldenRequests compares the method, path and body of each call with the golden record.
func TestGoldenRequests(t *testing.T) {
	var out bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(&out, "%s %s %s\n", r.Method, r.RequestURI, body)
		w.WriteHeader(http.StatusTeapot)
	}))
	defer server.Close()
	c, ctx := New(server.URL, server.Client()), t.Context()
	calls(ctx, c)
	goldentest.Bytes(t, "requests.txt", out.Bytes())
}

// calls makes each call once. The server rejects all of them, so the errors are ignored.
func calls(ctx context.Context, c *Client) {
	_, _ = c.Sessions(ctx)
	_, _ = c.Session(ctx, "session 1")
	_, _ = c.CreateSession(ctx, ledger.SessionSpec{
		Name: "session-1", Team: "plates", Shape: placement.Shape{Accelerators: 2, Adjacency: placement.SameRack},
		Urgent: true, Work: 3600,
	})
	_, _ = c.CancelSession(ctx, "session-1")
	_, _ = c.Explain(ctx, "session-1")
	_, _ = c.Teams(ctx)
	_, _ = c.Team(ctx, "plates")
	_, _ = c.Workers(ctx)
	_, _ = c.Jobs(ctx)
	_, _ = c.Job(ctx, "7b1f7d2030478d63")
	_, _ = c.JobsStatus(ctx)
	_, _ = c.JobWorkers(ctx)
	_, _ = c.Status(ctx)
	_, _ = c.Configs(ctx)
	_, _ = c.Config(ctx, "team/plates")
	_, _ = c.PutConfig(ctx, "team/plates", map[string]int{"share": 3}, 4, "ada")
	_, _ = c.PutConfigWhenReady(ctx, "placement", map[string]string{"profile": "completion"}, "ada")
	_ = c.CheckPolicy(ctx, policy.Policy{Name: "no-plates", Decides: policy.Allow, Source: `team != "plates"`})
	_, _ = c.Key(ctx, "parkpay")
	_, _ = c.Send(ctx, request.Call{
		Service: "parkpay", Team: "plates", Key: "key", NotRepeatable: true, DeadlineMillis: 5000, Body: "pay 42",
	})
}
