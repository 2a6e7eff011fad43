package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// serveJoin records an agent's incarnation in the ledger. The call is idempotent.
func (e *Entry) serveJoin(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var worker ledger.Worker
	if err := jsonhttp.Read(w, r, &worker); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if err := worker.Validate(); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	known, found := e.replica.State().Worker(worker.Name)
	if found && known.Incarnation == worker.Incarnation && !known.Leaving {
		jsonhttp.Write(w, http.StatusOK, membership.JoinAnswer{Joined: known.Joined})
		return
	}
	v, err := e.propose(r.Context(), ledger.Record{Join: &ledger.JoinWorker{Worker: worker}})
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	e.deps.Telemetry.Log.Info().Str("step", "entry.join").Str("worker", worker.Name).Int64("offset", v.Offset).
		Msg("agent joined")
	jsonhttp.Write(w, http.StatusOK, membership.JoinAnswer{Joined: v.Offset})
}

// propose appends a record on behalf of a waiting caller. It returns a rejection as an error with
// status 409.
func (e *Entry) propose(ctx context.Context, r ledger.Record) (ledger.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	v, err := e.proposer.Propose(ctx, r)
	if err != nil {
		return v, err
	}
	if v.Status != ledger.Accepted {
		return v, &jsonhttp.StatusError{Status: http.StatusConflict, Message: v.Reason}
	}
	return v, nil
}

// servePoll passes an agent's report to the control goroutine, and responds as soon as there is a
// newer view for the agent.
func (e *Entry) servePoll(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in membership.PollRequest
	if err := jsonhttp.Read(w, r, &in); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	select {
	case e.polls <- in:
	case <-r.Context().Done():
		return
	}
	state := e.replica.State()
	if err := e.refusePoll(state, in); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	stop := jsonhttp.KeepAlive(w, membership.KeepAliveInterval)
	v := e.awaitView(r.Context(), in)
	stop()
	// KeepAlive has already sent the status, so an error can no longer be reported to the agent.
	_ = json.NewEncoder(w).Encode(v)
}

// refusePoll returns an error if the agent is not the worker's current incarnation or if this entry
// cannot serve it.
func (e *Entry) refusePoll(state ledger.State, in membership.PollRequest) error {
	worker, known := state.Worker(in.Worker)
	switch {
	case e.isLeaving():
		return &jsonhttp.StatusError{Status: http.StatusServiceUnavailable, Message: "this entry is leaving"}
	case known && worker.Incarnation == in.Incarnation:
		return nil
	case state.Revision() < in.Revision:
		return &jsonhttp.StatusError{Status: http.StatusServiceUnavailable, Message: "this entry is behind"}
	case !known:
		return &jsonhttp.StatusError{Status: http.StatusGone, Message: "the worker is not known; join again"}
	}
	return &jsonhttp.StatusError{Status: http.StatusConflict, Message: "another incarnation has replaced this one"}
}

// awaitView waits up to membership.PollWait for a view that is newer than the revisions in the
// poll. If there is none, or if the agent has been replaced, it returns a view without changes.
func (e *Entry) awaitView(ctx context.Context, in membership.PollRequest) membership.View {
	ctx, cancel := context.WithTimeout(ctx, membership.PollWait)
	defer cancel()
	defer context.AfterFunc(e.openPolls.Load().ctx, cancel)()
	state, err := e.replica.WaitWorker(ctx, in.Worker, func(s ledger.State) bool {
		worker, known := s.Worker(in.Worker)
		replaced := !known || worker.Incarnation != in.Incarnation
		return replaced || worker.Revision > in.Revision || s.ConfigRevision() > in.ConfigRevision
	})
	worker, known := state.Worker(in.Worker)
	if err != nil || !known || worker.Incarnation != in.Incarnation {
		return membership.View{Revision: in.Revision, ConfigRevision: in.ConfigRevision, Entries: e.entries()}
	}
	return membership.NewView(state, worker, in.ConfigRevision, e.entries())
}

// entries returns the entries that an agent should poll: all live entries, including this one
// unless it is leaving. If this entry cannot reach the log and others can, it returns only those
// others.
func (e *Entry) entries() []membership.EntryInfo {
	if e.isLeaving() {
		return e.peers.alive()
	}
	if others := e.peers.withLog(); !e.log.Load().reachable && len(others) > 0 {
		return others
	}
	return append([]membership.EntryInfo{e.Info()}, e.peers.alive()...)
}

// pollWindow is a period during which the entry holds polls open. At its end all open polls are
// answered. It ends when the entry redirects its agents (see redirectIfCutOff) or starts to leave.
type pollWindow struct {
	ctx context.Context
	end context.CancelFunc
}

func (e *Entry) newPollWindow() *pollWindow {
	ctx, end := context.WithCancel(e.leavingCtx)
	return &pollWindow{ctx: ctx, end: end}
}

// redirectIfCutOff answers all open polls when this entry loses the log while other entries reach
// it. This entry could not record the agents' reports, so ready gangs would not start and finished
// gangs would not be released. The responses list only the other entries. Agents that still poll
// this entry, because they reach no other, are served as usual.
func (e *Entry) redirectIfCutOff() {
	cutOff := e.ready.Load() && !e.log.Load().reachable && len(e.peers.withLog()) > 0
	if cutOff && !e.redirecting {
		e.deps.Telemetry.Log.Warn().Str("step", "entry.stepBack").
			Msg("cannot reach the log; redirecting agents to entries that can")
		e.openPolls.Swap(e.newPollWindow()).end()
	}
	e.redirecting = cutOff
}

// serveLeaving handles the leaving notice of an agent: the entry stops routing requests to it. The
// ledger is updated only after the agent's next poll, which reports the same.
func (e *Entry) serveLeaving(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var in membership.LeavingNotice
	if err := jsonhttp.Read(w, r, &in); err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	if in.Worker == "" {
		jsonhttp.WriteError(w, fault.BadField("worker", "must not be empty"))
		return
	}
	e.router.avoidance.markLeaving(incarnation{worker: in.Worker, id: in.Incarnation})
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

// serveState returns the complete state to a peer that cannot read the log, or status 204 if the
// peer's state is at least as new.
func (e *Entry) serveState(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	newerThan, err := queryNumber(r, "newer_than")
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	state := e.replica.State()
	if state.Revision() <= newerThan {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	data, err := ledger.EncodeState(state)
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(data)
}

// ownStatus returns the status of this entry.
func (e *Entry) ownStatus() membership.EntryStatus {
	state := e.replica.State()
	health := e.log.Load()
	s := membership.EntryStatus{
		EntryInfo:      e.Info(),
		Revision:       state.Revision(),
		ConfigRevision: state.ConfigRevision(),
		LogReachable:   health.reachable,
		SinceLogMillis: time.Since(health.lastRead).Milliseconds(),
		Leaving:        e.isLeaving(),
	}
	for _, a := range e.agents.list() {
		s.Agents = append(s.Agents, membership.AgentStatus{
			Worker:          a.Worker,
			Incarnation:     a.Incarnation,
			ConfigRevision:  a.ConfigRevision,
			Leaving:         a.Leaving,
			SinceViewMillis: time.Since(a.at).Milliseconds(),
		})
	}
	return s
}
