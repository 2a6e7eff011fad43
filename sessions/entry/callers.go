package entry

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// KeyRequest is the body of a request for a key.
type KeyRequest struct {
	Service string `json:"service"`
}

// KeyAnswer contains a key for one request that must not be repeated.
type KeyAnswer struct {
	Key string `json:"key"`
}

// serveKey returns a key that is bound to an agent of the service that can take work.
func (e *Entry) serveKey(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in KeyRequest
	if err := jsonhttp.Read(w, r, &in); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if in.Service == "" {
		jsonhttp.WriteError(w, fault.BadField("service", "must not be empty"))
		return
	}
	key, found := e.router.newKey(in.Service)
	if !found {
		jsonhttp.WriteError(w, errors.New("no target of the service can take work"))
		return
	}
	jsonhttp.Write(w, http.StatusOK, KeyAnswer{Key: key.String()})
}

// serveRequest routes a caller's request to an agent and returns the outcome.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var call request.Call
	if err := jsonhttp.Read(w, r, &call); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if err := e.checkCall(call); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	subject := policy.Subject{Kind: policy.RequestKind, Team: call.Team, Service: call.Service, Bytes: len(call.Body)}
	set := e.policies.Load().set
	if allowed, name := set.Allowed(subject); !allowed {
		writeAnswer(w, http.StatusForbidden, request.NotRunAnswer("", "policy "+name+" does not allow it", 0))
		return
	}
	if once, name := set.NotRepeatable(subject); once && call.Key == "" {
		jsonhttp.WriteError(w, fault.BadField("key",
			"policy %s does not allow repeating this request, so it needs a key; get one with POST /v1/keys", name))
		return
	}
	answer := e.router.route(r.Context(), call)
	e.deps.Telemetry.Metrics.Tagged(map[string]string{"outcome": string(answer.Outcome)}).Counter("requests").Inc(1)
	e.deps.Telemetry.Log.Debug().Str("step", "entry.request").Str("request", answer.ID).Str("team", call.Team).
		Str("peer", answer.Target).Str("outcome", string(answer.Outcome)).Str("reason", answer.Reason).Msg("answered")
	writeAnswer(w, statusOf(answer.Outcome), answer)
}

func (e *Entry) checkCall(call request.Call) error {
	state := e.replica.State()
	if err := call.Validate(state.Limits().MaxDeadlineMillis); err != nil {
		return err
	}
	if len(call.Body) > request.MaxBody {
		return fault.BadField("body", "want at most %d bytes, got %d", request.MaxBody, len(call.Body))
	}
	if _, found := state.Team(call.Team); !found {
		return fault.BadField("team", "%q is not known", call.Team)
	}
	return nil
}

// statusOf returns the HTTP status for an outcome.
func statusOf(o request.Outcome) int {
	switch o {
	case request.Done:
		return http.StatusOK
	case request.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func writeAnswer(w http.ResponseWriter, status int, answer request.Answer) {
	if answer.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((answer.RetryAfterMillis+999)/1000, 10))
	}
	jsonhttp.Write(w, status, answer)
}
