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

// Limits of the router.
const (
	// noTargetRetry is the retry delay returned if no target can take a request, or if the agent
	// did not answer.
	noTargetRetry = time.Second
	// maxMargin bounds the time that is reserved before the caller's deadline, so that the agent's
	// answer still reaches the caller.
	maxMargin = 20 * time.Millisecond
	// maxRetryBudget is the largest number of unused retries that can accumulate.
	maxRetryBudget = 50.0
)

// router sends requests to agents and retries them within a budget.
type router struct {
	entry     *Entry
	avoidance *avoidance

	mu sync.Mutex
	// inflight is the number of requests from this entry that each worker is handling.
	inflight map[string]int
	// retryBudget is the number of retries that may be made at present.
	retryBudget float64
}

func newRouter(e *Entry) *router {
	return &router{
		entry:       e,
		avoidance:   newAvoidance(),
		inflight:    make(map[string]int),
		retryBudget: maxRetryBudget,
	}
}

// newKey returns a key that is bound to an agent of the service that can take work.
func (r *router) newKey(service string) (request.Key, bool) {
	w, found := r.pick(service, "", nil)
	if !found {
		return request.Key{}, false
	}
	key, err := request.NewKey(w.Name, w.Incarnation)
	return key, err == nil
}

// pick returns the less utilized of two random candidates (power of two choices).
func (r *router) pick(service, team string, tried map[string]bool) (ledger.Worker, bool) {
	candidates := r.candidates(service, team, tried)
	if len(candidates) == 0 {
		return ledger.Worker{}, false
	}
	a := candidates[r.entry.deps.Random(len(candidates))]
	b := candidates[r.entry.deps.Random(len(candidates))]
	if r.utilization(b) < r.utilization(a) {
		return b, true
	}
	return a, true
}

// utilization returns the requests in flight at a worker relative to its slots.
func (r *router) utilization(w ledger.Worker) float64 {
	return float64(r.inflightAt(w)) / float64(max(w.Slots, 1))
}

func (r *router) inflightAt(w ledger.Worker) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inflight[w.Name]
}

// candidates returns the agents of the service that may take a request of the team: those in the
// entry's region or, if there are none, those in other regions. It returns suspects only if there
// is no other agent. In that case the failures are more likely due to short deadlines of the
// callers than to the agents.
func (r *router) candidates(service, team string, tried map[string]bool) []ledger.Worker {
	var local, remote, suspects []ledger.Worker
	for _, w := range r.entry.replica.State().Workers() {
		if w.Service != service || w.Leaving || tried[w.Name] {
			continue
		}
		ok, suspect := r.avoidance.eligible(incarnationOf(w), team, r.inflightAt(w))
		switch {
		case ok && suspect:
			suspects = append(suspects, w)
		case ok && w.Region == r.entry.settings.Region:
			local = append(local, w)
		case ok:
			remote = append(remote, w)
		}
	}
	if len(local) > 0 {
		return local
	}
	if len(remote) > 0 {
		return remote
	}
	return suspects
}

// addRetries adds the retries that one request allows to the budget.
func (r *router) addRetries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	percent := float64(r.entry.replica.State().Limits().RetryPercent)
	r.retryBudget = min(maxRetryBudget, r.retryBudget+percent/100)
}

// takeRetry takes one retry from the budget. It returns false if the budget is exhausted.
func (r *router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryBudget < 1 {
		return false
	}
	r.retryBudget--
	return true
}

// route sends a request to an agent and returns its outcome. Only a request without a key may be
// sent to more than one agent.
func (r *router) route(ctx context.Context, call request.Call) request.Answer {
	id := uuid.NewString()
	deadline := time.Now().Add(time.Duration(call.DeadlineMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r.addRetries()
	if call.Key != "" {
		return r.routeKey(ctx, id, call)
	}
	return r.routeWithRetries(ctx, id, call)
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
		// have sent a request with the same key.
		return request.UnknownAnswer(id, err.Error(), noTargetRetry)
	}
	return answer
}

// routeWithRetries tries agents until one answers with Done, no untried candidate or retry is left,
// or the deadline passes. The outcome is NotRun only if it is certain that no attempt has run.
func (r *router) routeWithRetries(ctx context.Context, id string, call request.Call) request.Answer {
	tried := make(map[string]bool)
	last := request.NotRunAnswer(id, "no target of the service can take it", noTargetRetry)
	mayHaveRun := false
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
		last, reached = attemptOutcome(id, answer, err)
		mayHaveRun = mayHaveRun || reached
		if ctx.Err() != nil || !r.takeRetry() {
			break
		}
	}
	if mayHaveRun && last.Outcome == request.NotRun {
		return request.UnknownAnswer(id, "an earlier attempt may have run; the last: "+last.Reason, noTargetRetry)
	}
	return last
}

// attemptOutcome returns the outcome of an attempt that did not end as Done, and whether the
// request may have run.
func attemptOutcome(id string, answer request.Answer, err error) (request.Answer, bool) {
	switch {
	case err == nil:
		return answer, answer.Outcome != request.NotRun
	case fault.IsNotSent(err):
		return request.NotRunAnswer(id, err.Error(), noTargetRetry), false
	}
	return request.UnknownAnswer(id, err.Error(), noTargetRetry), true
}

// errInvalidAnswer means that an agent's answer belongs to another request or is corrupt.
var errInvalidAnswer = errors.New("the agent's answer was crossed or cut")

// send sends the request to one agent once.
func (r *router) send(ctx context.Context, id string, call request.Call, w ledger.Worker) (request.Answer, error) {
	r.addInflight(w.Name, 1)
	defer r.addInflight(w.Name, -1)
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	margin := min(maxMargin, remaining/10)
	hop := request.AgentRequest{
		ID:         id,
		Service:    call.Service,
		Team:       call.Team,
		Key:        call.Key,
		LeftMillis: (remaining - margin).Milliseconds(),
		Body:       call.Body,
	}
	var answer request.Answer
	client := r.entry.deps.Client
	err := jsonhttp.Call(ctx, client, "entry.send", http.MethodPost, w.Address, "/internal/requests", hop, &answer)
	if err == nil && !answer.Intact(id) {
		err = errInvalidAnswer
	}
	r.recordOutcome(w, call.Team, answer, err)
	return answer, err
}

// recordOutcome updates avoidance with the result of an attempt. An Unknown outcome counts as a
// failure, because requests that time out are the only sign of a slow target.
func (r *router) recordOutcome(w ledger.Worker, team string, answer request.Answer, err error) {
	agent := incarnationOf(w)
	switch {
	case err == nil && answer.Leaving:
		r.avoidance.markLeaving(agent)
	case err == nil && answer.Outcome == request.NotRun:
		r.avoidance.markFull(agent, team, time.Duration(answer.RetryAfterMillis)*time.Millisecond)
	case err == nil && answer.Outcome == request.Done:
		r.avoidance.recordSuccess(agent)
	case err == nil:
		r.avoidance.recordFailure(agent)
	case !errors.Is(err, context.Canceled):
		r.avoidance.recordFailure(agent)
		r.entry.deps.Telemetry.Metrics.Counter("send_failures").Inc(1)
		r.entry.deps.Telemetry.Log.Warn().Str("step", "entry.send").Str("peer", w.Name).Err(err).
			Msg("no valid answer from the agent")
	}
}

func (r *router) addInflight(worker string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inflight[worker] += n
	if r.inflight[worker] == 0 {
		delete(r.inflight, worker)
	}
}
