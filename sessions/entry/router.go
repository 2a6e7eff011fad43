package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// Constants of the router.
const (
	// noTargetRetry is the Retry-After if no target can take a request or its agent did not answer.
	noTargetRetry = time.Second
	// maxMargin is how much earlier than the caller's deadline an agent must answer, so that the
	// answer still reaches the caller.
	maxMargin = 20 * time.Millisecond
	// budgetCap is the most retries that can be saved up.
	budgetCap = 50.0
)

// router sends requests to agents and retries them within a budget.
type router struct {
	entry     *Entry
	avoidance *avoidance

	mu sync.Mutex
	// inflight counts the requests of this entry that each worker is handling.
	inflight map[string]int
	// budget is the number of retries that are allowed now.
	budget float64
}

func newRouter(e *Entry) *router {
	return &router{
		entry:     e,
		avoidance: newAvoidance(),
		inflight:  make(map[string]int),
		budget:    budgetCap,
	}
}

// newKey returns a key for an agent of the service that can take work.
func (r *router) newKey(service string) (request.Key, bool) {
	w, found := r.pick(service, "", nil)
	if !found {
		return request.Key{}, false
	}
	key, err := request.NewKey(w.Name, w.Incarnation)
	return key, err == nil
}

// pick picks two random candidates and returns the one with the smaller share of its slots in use.
func (r *router) pick(service, team string, tried map[string]bool) (ledger.Worker, bool) {
	candidates := r.candidates(service, team, tried)
	if len(candidates) == 0 {
		return ledger.Worker{}, false
	}
	a := candidates[r.entry.parts.Random(len(candidates))]
	b := candidates[r.entry.parts.Random(len(candidates))]
	if r.load(b) < r.load(a) {
		return b, true
	}
	return a, true
}

func (r *router) load(w ledger.Worker) float64 {
	return float64(r.inflightAt(w)) / float64(max(w.Slots, 1))
}

func (r *router) inflightAt(w ledger.Worker) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inflight[w.Name]
}

// candidates returns the agents of the service that may take a request of the team: those of the
// entry's region or, if there are none, those of other regions. Suspects are returned only if there
// is no other agent; then the callers' deadlines are a likelier cause than the agents.
func (r *router) candidates(service, team string, tried map[string]bool) []ledger.Worker {
	var near, far, suspects []ledger.Worker
	for _, w := range r.entry.replica.State().Workers() {
		if w.Service != service || w.Leaving || tried[w.Name] {
			continue
		}
		ok, suspect := r.avoidance.usable(incarnationOf(w), team, r.inflightAt(w))
		switch {
		case ok && suspect:
			suspects = append(suspects, w)
		case ok && w.Region == r.entry.settings.Region:
			near = append(near, w)
		case ok:
			far = append(far, w)
		}
	}
	if len(near) > 0 {
		return near
	}
	if len(far) > 0 {
		return far
	}
	return suspects
}

// earn adds the retries earned by one request to the budget.
func (r *router) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	percent := float64(r.entry.replica.State().Limits().RetryPercent)
	r.budget = min(budgetCap, r.budget+percent/100)
}

// spend takes one retry from the budget and reports whether there was one.
func (r *router) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

// route sends a request and returns its outcome. Only a request without a key may be sent to more
// than one agent.
func (r *router) route(ctx context.Context, call request.Call) request.Answer {
	id := uuid.NewString()
	deadline := time.Now().Add(time.Duration(call.DeadlineMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r.earn()
	if call.Key != "" {
		return r.routeKey(ctx, id, call)
	}
	return r.routeAnywhere(ctx, id, call)
}

// routeKey sends the request to the incarnation that its key names.
func (r *router) routeKey(ctx context.Context, id string, call request.Call) request.Answer {
	key, err := request.ParseKey(call.Key)
	if err != nil {
		return request.NotRunAnswer(id, err.Error(), 0)
	}
	w, found := r.entry.replica.State().Worker(key.Worker)
	if !found || w.Incarnation != key.Incarnation {
		return request.UnknownAnswer(id, "the agent that the key names has been replaced or is not known here", 0)
	}
	answer, err := r.send(ctx, id, call, w)
	if err != nil {
		// The outcome is not NotRun even if the agent was not reached, because another entry may
		// have sent the same key.
		return request.UnknownAnswer(id, err.Error(), noTargetRetry)
	}
	return answer
}

// routeAnywhere tries agents until one answers with Done, the budget is spent, or the deadline
// passes. The outcome is NotRun only if no attempt may have run.
func (r *router) routeAnywhere(ctx context.Context, id string, call request.Call) request.Answer {
	tried := make(map[string]bool)
	last := request.NotRunAnswer(id, "no target of the service can take it", noTargetRetry)
	ran := false
	for {
		w, found := r.pick(call.Service, call.Team, tried)
		if !found {
			break
		}
		tried[w.Name] = true
		answer, err := r.send(ctx, id, call, w)
		if err == nil && answer.Outcome == request.Done {
			return answer
		}
		var reached bool
		last, reached = attempted(id, answer, err)
		ran = ran || reached
		if ctx.Err() != nil || !r.spend() {
			break
		}
	}
	if ran && last.Outcome == request.NotRun {
		return request.UnknownAnswer(id, "an earlier attempt may have run; the last: "+last.Reason, noTargetRetry)
	}
	return last
}

// attempted returns the outcome of an attempt that did not end as Done, and whether it may have
// run.
func attempted(id string, answer request.Answer, err error) (request.Answer, bool) {
	switch {
	case err == nil:
		return answer, answer.Outcome != request.NotRun
	case fault.IsNotSent(err):
		return request.NotRunAnswer(id, err.Error(), noTargetRetry), false
	}
	return request.UnknownAnswer(id, err.Error(), noTargetRetry), true
}

// errBadAnswer means that an agent's answer belongs to another request or is corrupt.
var errBadAnswer = errors.New("the agent's answer was crossed or cut")

// send makes one attempt at one agent.
func (r *router) send(ctx context.Context, id string, call request.Call, w ledger.Worker) (request.Answer, error) {
	r.count(w.Name, 1)
	defer r.count(w.Name, -1)
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	margin := min(maxMargin, left/10)
	hop := request.AgentRequest{
		ID:         id,
		Service:    call.Service,
		Team:       call.Team,
		Key:        call.Key,
		LeftMillis: (left - margin).Milliseconds(),
		Body:       call.Body,
	}
	var answer request.Answer
	client := r.entry.parts.Client
	err := jsonhttp.Call(ctx, client, "entry.send", http.MethodPost, w.Address, "/internal/requests", hop, &answer)
	if err == nil && !answer.Intact(id) {
		err = errBadAnswer
	}
	r.recordOutcome(w, call.Team, answer, err)
	return answer, err
}

// recordOutcome tells avoidance how an attempt ended. An Unknown outcome counts as a failure,
// because a slow target is otherwise noticed by nothing but requests that time out.
func (r *router) recordOutcome(w ledger.Worker, team string, answer request.Answer, err error) {
	agent := incarnationOf(w)
	switch {
	case err == nil && answer.Leaving:
		r.avoidance.leave(agent)
	case err == nil && answer.Outcome == request.NotRun:
		r.avoidance.refuse(agent, team, time.Duration(answer.RetryAfterMillis)*time.Millisecond)
	case err == nil && answer.Outcome == request.Done:
		r.avoidance.succeed(agent)
	case err == nil:
		r.avoidance.fail(agent)
	case !errors.Is(err, context.Canceled):
		r.avoidance.fail(agent)
		r.entry.parts.Telemetry.Metrics.Counter("send_failures").Inc(1)
		r.entry.parts.Telemetry.Log.Warn().Str("step", "entry.send").Str("peer", w.Name).Err(err).Msg("agent did not answer")
	}
}

func (r *router) count(worker string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inflight[worker] += n
	if r.inflight[worker] == 0 {
		delete(r.inflight, worker)
	}
}
