package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// FuzzHandler sends arbitrary bodies to the routes of a running entry. The entry must neither panic
// nor hang, and it must explain each rejection: a 400 names a field, and a 503 has a retry delay.
func FuzzHandler(f *testing.F) {
	for _, seed := range []struct{ method, path, body string }{
		{"POST", "/v1/requests", `{"service":"s","team":"a","deadline_ms":5,"body":"x"}`},
		{"POST", "/v1/keys", `{"service":"s"}`},
		{"POST", "/v1/sessions", `{"name":"s","team":"a","shape":{"accelerators":2,"adjacency":"rack"},"work_seconds":9}`},
		{"GET", "/v1/sessions/s/explain", ``},
		{"DELETE", "/v1/sessions/s", ``},
		{
			"PUT",
			"/v1/config/team/a",
			`{"revision":2,"value":{"name":"a","share":1,` +
				`"guarantees":[{"shape":{"accelerators":2,"adjacency":"worker"},"count":1}]},"author":"f"}`,
		},
		{"PUT", "/v1/config/policy/p", `{"value":{"name":"p","decides":"allow","source":"team == \"a\""}}`},
		{"PUT", "/v1/config/placement", `{"value":{"profile":"completion"}}`},
		{"POST", "/v1/policies/check", `{"name":"p","decides":"yield","source":"accelerators"}`},
		{
			"POST",
			"/internal/join",
			`{"name":"w1","zone":"z","rack":"r","accelerators":2,"address":"http://w1","incarnation":"i","slots":1}`,
		},
		{
			"POST",
			"/internal/poll",
			`{"worker":"w0","incarnation":"one","revision":1,"gangs":[{"token":1,"ready":true}],"stopped":[{"token":1}]}`,
		},
		{"POST", "/internal/leaving", `{"worker":"w0","incarnation":"one"}`},
		{"GET", "/internal/state?newer_than=1", ``},
	} {
		f.Add(seed.method, seed.path, seed.body)
	}
	f.Fuzz(func(t *testing.T, method, path, body string) {
		r, err := http.NewRequest(method, "http://e"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return // not a valid request
		}
		synctest.Test(t, func(t *testing.T) { fuzzRequest(t, r) })
	})
}

func fuzzRequest(t *testing.T, r *http.Request) {
	ctx, cancel := context.WithCancel(t.Context())
	network := memnet.New()
	settings := DefaultSettings()
	settings.Name, settings.Zone, settings.Address = "e", "z", "http://e"
	e := New(settings, Dependencies{
		Platform:  standin.New(),
		Client:    network.Client("http://e"),
		Telemetry: telemetry.Discard(),
		Random:    func(int) int { return 0 },
	})
	var wg sync.WaitGroup
	wg.Go(func() { e.Run(ctx) })
	for !e.ready.Load() {
		time.Sleep(time.Millisecond)
	}
	worker := ledger.Worker{
		Name:         "w0",
		Zone:         "z",
		Rack:         "r",
		Service:      "s",
		Accelerators: 4,
		Address:      "http://w0",
		Incarnation:  "one",
		Slots:        8,
	}
	value, _ := json.Marshal(ledger.Team{Name: "a", Share: 1})
	for _, record := range []ledger.Record{
		{Join: &ledger.JoinWorker{Worker: worker}},
		{Config: &ledger.PutConfig{Key: "team/a", Value: value}},
	} {
		if _, err := e.propose(ctx, record); err != nil {
			t.Fatal(err)
		}
	}
	short, stop := context.WithTimeout(ctx, 10*time.Second)
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r.WithContext(short))
	stop()
	checkRefusal(t, r, w)
	time.Sleep(30 * time.Second)
	cancel()
	wg.Wait()
	time.Sleep(2 * time.Minute)
}

// checkRefusal checks that a 400 names a field and that a 503 has a retry delay.
func checkRefusal(t *testing.T, r *http.Request, w *httptest.ResponseRecorder) {
	t.Helper()
	if w.Code != http.StatusBadRequest && w.Code != http.StatusServiceUnavailable {
		return
	}
	var body struct {
		jsonhttp.ErrorBody
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Errorf("%s %s: %d without a JSON body: %s", r.Method, r.URL, w.Code, w.Body)
	}
	if w.Code == http.StatusBadRequest && (body.Field == "" || body.Error == "") {
		t.Errorf("%s %s: a 400 that names no field: %s", r.Method, r.URL, w.Body)
	}
	if w.Code == http.StatusServiceUnavailable && body.RetryAfterMillis == 0 {
		t.Errorf("%s %s: a 503 without a retry delay: %s", r.Method, r.URL, w.Body)
	}
}
