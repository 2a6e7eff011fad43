package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

// SessionView is a session with its placement, as operators see it.
type SessionView struct {
	ledger.Session
	// Placement is nil while the session waits.
	Placement *ledger.Placement `json:"placement,omitempty"`
}

// TeamView is a team with the usage of its guarantees and the number of its unfinished sessions.
type TeamView struct {
	ledger.Team
	Entitlements []placement.Entitlement `json:"entitlements"`
	Sessions     int                     `json:"sessions"`
}

// ConfigPut is the body of a request to change a configuration entry.
type ConfigPut struct {
	Value    json.RawMessage `json:"value"`
	Revision int64           `json:"revision"`
	Author   string          `json:"author"`
}

// PutAnswer is the response to an accepted configuration change.
type PutAnswer struct {
	Revision int64 `json:"revision"`
}

// Explanation explains why a session runs or waits.
type Explanation struct {
	Session ledger.Session `json:"session"`
	Lines   []string       `json:"lines"`
}

// Status is the status of all known entries.
type Status struct {
	Entries []membership.EntryStatus `json:"entries"`
	// Shortfall lists the guarantees that cannot be met at present.
	Shortfall []placement.Entitlement `json:"shortfall"`
}

func (e *Entry) serveSessions(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	state := e.replica.State()
	views := []SessionView{}
	for _, s := range state.Sessions() {
		views = append(views, sessionView(state, s))
	}
	jsonhttp.Write(w, http.StatusOK, views)
}

func sessionView(state ledger.State, s ledger.Session) SessionView {
	v := SessionView{Session: s}
	if p, found := state.Placement(s.Token); found {
		v.Placement = &p
	}
	return v
}

func (e *Entry) serveSession(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	state := e.replica.State()
	s, found := state.Session(ps.ByName("name"))
	if !found {
		jsonhttp.WriteError(w, notFound("session", ps.ByName("name")))
		return
	}
	jsonhttp.Write(w, http.StatusOK, sessionView(state, s))
}

func notFound(kind, name string) error {
	return &jsonhttp.StatusError{
		Status:  http.StatusNotFound,
		Message: "no " + kind + " " + strconv.Quote(name),
		Field:   "name",
	}
}

// serveCreateSession creates a session and responds after it is in the ledger. Creating an
// identical session again is not an error.
func (e *Entry) serveCreateSession(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var spec ledger.SessionSpec
	if err := jsonhttp.Read(w, r, &spec); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	spec = spec.Defaults()
	if err := spec.Validate(); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if allowed, name := e.policies.Load().set.Allowed(sessionSubject(spec)); !allowed {
		jsonhttp.WriteError(w, &jsonhttp.StatusError{
			Status:  http.StatusForbidden,
			Message: "policy " + name + " does not allow it",
		})
		return
	}
	create := ledger.CreateSession{Spec: spec, Trace: e.deps.Telemetry.TraceOf(r.Context())}
	_, err := e.propose(r.Context(), ledger.Record{Create: &create})
	state := e.replica.State()
	created, found := state.Session(spec.Name)
	if err != nil && !(found && created.SessionSpec == spec) {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusCreated, sessionView(state, created))
}

func (e *Entry) serveCancelSession(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	name := ps.ByName("name")
	if _, found := e.replica.State().Session(name); !found {
		jsonhttp.WriteError(w, notFound("session", name))
		return
	}
	if _, err := e.propose(r.Context(), ledger.Record{Cancel: &ledger.CancelSession{Session: name}}); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	state := e.replica.State()
	s, _ := state.Session(name)
	jsonhttp.Write(w, http.StatusOK, sessionView(state, s))
}

func (e *Entry) serveExplain(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	state := e.replica.State()
	s, found := state.Session(ps.ByName("name"))
	if !found {
		jsonhttp.WriteError(w, notFound("session", ps.ByName("name")))
		return
	}
	jsonhttp.Write(w, http.StatusOK, Explanation{Session: s, Lines: e.explain(state, s)})
}

func (e *Entry) serveTeams(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	state := e.replica.State()
	views := []TeamView{}
	for _, t := range state.Teams() {
		views = append(views, teamView(state, t))
	}
	jsonhttp.Write(w, http.StatusOK, views)
}

func (e *Entry) serveTeam(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	state := e.replica.State()
	t, found := state.Team(ps.ByName("name"))
	if !found {
		jsonhttp.WriteError(w, notFound("team", ps.ByName("name")))
		return
	}
	jsonhttp.Write(w, http.StatusOK, teamView(state, t))
}

func teamView(state ledger.State, t ledger.Team) TeamView {
	v := TeamView{Team: t}
	for _, en := range state.Entitlements() {
		if en.Team == t.Name {
			v.Entitlements = append(v.Entitlements, en)
		}
	}
	for _, s := range state.Sessions() {
		if s.Team == t.Name && !s.Ended() {
			v.Sessions++
		}
	}
	return v
}

func (e *Entry) serveWorkers(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	jsonhttp.Write(w, http.StatusOK, e.replica.State().Workers())
}

func (e *Entry) serveConfigs(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	entries := e.replica.State().Config()
	for i := range entries {
		entries[i].History = nil
	}
	jsonhttp.Write(w, http.StatusOK, entries)
}

func (e *Entry) serveConfig(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	key := configKey(ps)
	entry, found := e.replica.State().ConfigEntry(key)
	if !found {
		jsonhttp.WriteError(w, notFound("configuration", key))
		return
	}
	jsonhttp.Write(w, http.StatusOK, entry)
}

// configKey returns the configuration key in the path. Keys may contain slashes.
func configKey(ps httprouter.Params) string { return strings.TrimPrefix(ps.ByName("key"), "/") }

// servePutConfig changes one configuration entry. It rejects a change that is not based on the
// current revision of that entry.
func (e *Entry) servePutConfig(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var in ConfigPut
	if err := jsonhttp.Read(w, r, &in); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	key := configKey(ps)
	if err := ledger.ValidateConfig(key, in.Value); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	put := ledger.PutConfig{Key: key, Value: in.Value, Revision: in.Revision, Author: in.Author}
	v, err := e.propose(r.Context(), ledger.Record{Config: &put})
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, PutAnswer{Revision: v.Offset})
}

// serveCheckPolicy validates and compiles a policy without storing it.
func (e *Entry) serveCheckPolicy(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var p policy.Policy
	if err := jsonhttp.Read(w, r, &p); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if err := p.Validate(); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, p)
}

// statusTimeout bounds the status call to one peer.
const statusTimeout = time.Second

// serveStatus returns the status of this entry and of all known peers.
func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	addresses := e.peers.addresses()
	statuses := make([]membership.EntryStatus, len(addresses)+1)
	statuses[0] = e.ownStatus()
	client := *e.deps.Client
	client.Timeout = statusTimeout
	var wg conc.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			s := &statuses[i+1]
			err := jsonhttp.Call(r.Context(), &client, "entry.status", http.MethodGet, address, "/internal/status", nil, s)
			if err != nil {
				*s = membership.EntryStatus{EntryInfo: membership.EntryInfo{Address: address}, Error: err.Error()}
			}
		})
	}
	wg.Wait()
	jsonhttp.Write(w, http.StatusOK, Status{Entries: statuses, Shortfall: e.replica.State().Shortfall()})
}

func queryNumber(r *http.Request, name string) (int64, error) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0, fault.BadField(name, "want a number of at least 0, got %q", r.URL.Query().Get(name))
	}
	return n, nil
}
