package agent

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// Handler serves requests from entries, heartbeats from gang members, and the agent's status.
func (a *Agent) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/internal/requests", a.serveRequest)
	r.POST("/internal/beat", a.serveHeartbeat)
	r.GET("/status", a.serveStatus)
	r.GET("/health", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		jsonhttp.Write(w, http.StatusOK, membership.Health{Healthy: true})
	})
	r.GET("/ready", a.serveReady)
	r.Handler(http.MethodGet, "/metrics", a.deps.Telemetry.MetricsHandler)
	return a.deps.Telemetry.Handler(r)
}

func (a *Agent) serveRequest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var hop request.AgentRequest
	if err := jsonhttp.Read(w, r, &hop); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	answer := a.server.Serve(r.Context(), hop)
	a.deps.Telemetry.Metrics.Tagged(map[string]string{"outcome": string(answer.Outcome)}).Counter("requests").Inc(1)
	a.deps.Telemetry.Log.Debug().Str("step", "agent.request").Str("request", hop.ID).Str("team", hop.Team).
		Str("outcome", string(answer.Outcome)).Str("reason", answer.Reason).Msg("answered")
	jsonhttp.Write(w, http.StatusOK, answer)
}

func (a *Agent) serveHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var h gang.Heartbeat
	if err := jsonhttp.Read(w, r, &h); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	leader, found := a.gangs.Load().leaders[h.Token]
	if !found {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{Status: http.StatusNotFound, Message: errNoLeader.Error()})
		return
	}
	jsonhttp.Write(w, http.StatusOK, leader.Heartbeat(r.Context(), h))
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status := http.StatusOK
	ready := a.joined.Load() != 0 && !a.leaving.Load()
	if !ready {
		status = http.StatusServiceUnavailable
	}
	jsonhttp.Write(w, status, membership.Health{Healthy: ready})
}

func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	running, waiting := a.admission.Load()
	jsonhttp.Write(w, http.StatusOK, membership.AgentStatus{
		Worker:          a.settings.Worker.Name,
		Incarnation:     a.settings.Worker.Incarnation,
		ConfigRevision:  a.config.Load().revision,
		Leaving:         a.leaving.Load(),
		SinceViewMillis: a.sinceView().Milliseconds(),
		Running:         running,
		Waiting:         waiting,
	})
}
