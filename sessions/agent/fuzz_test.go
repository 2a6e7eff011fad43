package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// okTarget answers every request with status 200.
type okTarget struct{}

func (okTarget) Run(context.Context, request.AgentRequest) (int, string, error) {
	return http.StatusOK, "ok", nil
}

func newFuzzedAgent() *Agent {
	return New(Settings{
		Worker: ledger.Worker{
			Name:         "w0",
			Zone:         "z",
			Rack:         "r",
			Accelerators: 4,
			Address:      "http://w0",
			Incarnation:  "one",
			Slots:        2,
		},
		Entries: []string{"http://e"}, Timing: gang.DefaultTiming(),
	}, Dependencies{
		Target: okTarget{}, Platform: standin.New(), Client: memnet.New().Client("http://w0"),
		Telemetry: telemetry.Discard(), Random: func(int) int { return 0 },
	})
}

// FuzzHandler sends arbitrary bodies to the agent's routes. The agent must neither panic nor hang,
// and a valid request must get exactly one outcome.
func FuzzHandler(f *testing.F) {
	f.Add("/internal/requests", `{"id":"1","team":"a","left_ms":50,"body":"x"}`)
	f.Add("/internal/requests", `{"id":"1","team":"a","left_ms":50,"body":"x","key":"w0~one~0000"}`)
	f.Add("/internal/beat", `{"token":1,"worker":"w1","status":"ready","progress_ns":1}`)
	f.Fuzz(func(t *testing.T, path, body string) {
		r, err := http.NewRequest(http.MethodPost, "http://w0"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return // not a valid request
		}
		synctest.Test(t, func(t *testing.T) {
			w := httptest.NewRecorder()
			newFuzzedAgent().Handler().ServeHTTP(w, r.WithContext(t.Context()))
			if path != "/internal/requests" || w.Code != http.StatusOK {
				return
			}
			var answer request.Answer
			err := json.Unmarshal(w.Body.Bytes(), &answer)
			known := answer.Outcome == request.Done || answer.Outcome == request.NotRun || answer.Outcome == request.Unknown
			if err != nil || !known || !answer.Intact(answer.ID) {
				t.Errorf("%q was answered with %s, %v", body, w.Body, err)
			}
		})
	})
}

// FuzzView gives an agent arbitrary views. The agent must not panic, and its configuration must not
// revert to an older revision.
func FuzzView(f *testing.F) {
	f.Add(`{"revision":3,"config_revision":2,"config":[{"key":"limits","revision":2,"value":{"queue_length":4}}]}`)
	f.Add(`{"revision":9,"assignments":[{"token":9,"session":"s","phase":"running","accelerators":[0,1],` +
		`"members":[{"worker":"w0","address":"http://w0"}]}],"entries":[{"name":"e","address":"http://e"}]}`)
	f.Add(`{"revision":9,"assignments":[{"token":9,"phase":"stopping","accelerators":[-1,99],"members":[]}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var v membership.View
		if json.Unmarshal([]byte(text), &v) != nil {
			return // not a view
		}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			a := newFuzzedAgent()
			before := a.ConfigRevision()
			var wg conc.WaitGroup
			wg.Go(func() { a.control(ctx) })
			(&poller{agent: a}).apply(ctx, v)
			time.Sleep(20 * time.Second)
			if a.ConfigRevision() < before {
				t.Errorf("the configuration reverted from revision %d to %d", before, a.ConfigRevision())
			}
			cancel()
			wg.Wait()
		})
	})
}
