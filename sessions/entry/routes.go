package entry

import (
	"errors"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// Handler serves all routes of the entry.
func (e *Entry) Handler() http.Handler {
	r := httprouter.New()

	// Callers.
	r.POST("/v1/keys", e.whenReady(e.serveKey))
	r.POST("/v1/requests", e.whenReady(e.serveRequest))

	// Operators.
	r.GET("/v1/sessions", e.whenReady(e.serveSessions))
	r.POST("/v1/sessions", e.whenReady(e.serveCreateSession))
	r.GET("/v1/sessions/:name", e.whenReady(e.serveSession))
	r.DELETE("/v1/sessions/:name", e.whenReady(e.serveCancelSession))
	r.GET("/v1/sessions/:name/explain", e.whenReady(e.serveExplain))
	r.GET("/v1/teams", e.whenReady(e.serveTeams))
	r.GET("/v1/teams/:name", e.whenReady(e.serveTeam))
	r.GET("/v1/workers", e.whenReady(e.serveWorkers))
	r.GET("/v1/config", e.whenReady(e.serveConfigs))
	r.GET("/v1/config/*key", e.whenReady(e.serveConfig))
	r.PUT("/v1/config/*key", e.whenReady(e.servePutConfig))
	r.POST("/v1/policies/check", e.serveCheckPolicy)
	r.GET("/v1/status", e.serveStatus)

	// Agents and other entries.
	r.POST("/internal/join", e.whenReady(e.serveJoin))
	r.POST("/internal/poll", e.whenReady(e.servePoll))
	r.POST("/internal/leaving", e.serveLeaving)
	r.GET("/internal/ping", e.servePing)
	r.GET("/internal/state", e.serveState)
	r.GET("/internal/status", e.serveOwnStatus)

	// Health checks and metrics.
	r.GET("/health", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(w, http.StatusOK, membership.Health{Healthy: true})
	})
	r.GET("/ready", e.serveReady)
	r.Handler(http.MethodGet, "/metrics", e.deps.Telemetry.MetricsHandler)
	return e.deps.Telemetry.Handler(r)
}

// whenReady rejects requests until the entry has read the ledger once.
func (e *Entry) whenReady(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		if !e.ready.Load() {
			jsonhttp.WriteError(w, errNotReady)
			return
		}
		h(w, r, ps)
	}
}

// errNotReady is returned to clients with status 503 and a Retry-After header.
var errNotReady = errors.New("this entry has not read the ledger yet")

func (e *Entry) servePing(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.isLeaving() || !e.ready.Load() {
		jsonhttp.WriteError(w, errNotReady)
		return
	}
	jsonhttp.Write(w, http.StatusOK, membership.PingAnswer{EntryInfo: e.Info(), LogReachable: e.log.Load().reachable})
}

func (e *Entry) serveOwnStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	jsonhttp.Write(w, http.StatusOK, e.ownStatus())
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	ready := e.ready.Load() && !e.isLeaving()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	jsonhttp.Write(w, status, membership.Health{Healthy: ready})
}
