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

// Settings of the router.
const (
	// noTargetRetry is when to come back where no target can take the request.
	noTargetRetry = time.Second
	// maxMargin is taken off the time that an agent gets, so that its answer is back before the
	// caller's deadline.
	maxMargin = 20 * time.Millisecond
	// budgetCap is how many retries can be saved up.
	budgetCap = 50.0
)

// router sends requests to agents.
type router struct {
	entry     *Entry
	avoidance *avoidance

	mu sync.Mutex
	// inflight counts this entry's requests at each worker.
	inflight map[string]int
	// budget is the number of retries that may be made now.
	budget float64
}

func newRouter(e *Entry) *router {
	return &router{entry: e, avoidance: newAvoidance(), inflight: make(map[string]int), budget: budgetCap}
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

// pick chooses between two random agents of the service the one with the smaller share of its
// slots in use.
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

// candidates lists the agents of the service that may take a request of the team: those of the
// entry's own region, or else those of the others. Suspects count only where there is no other:
// if all are suspect, the cause is more likely the callers' deadlines than the agents.
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

// earn adds to the retry budget for one first attempt.
func (r *router) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	percent := float64(r.entry.replica.State().Limits().RetryPercent)
	r.budget = min(budgetCap, r.budget+percent/100)
}

// spend takes one retry from the budget, if there is one.
func (r *router) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

// route sends a request and returns its outcome. Only a request without a key is tried at more
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

// routeKey sends the request to the one incarnation that may run it.
func (r *router) routeKey(ctx context.Context, id string, call request.Call) request.Answer {
	key, err := request.ParseKey(call.Key)
	if err != nil {
		return request.Refusal(id, err.Error(), 0)
	}
	w, found := r.entry.replica.State().Worker(key.Worker)
	if !found || w.Incarnation != key.Incarnation {
		return request.Uncertain(id, "the agent that the key names has been replaced or is not known here", 0)
	}
	answer, err := r.send(ctx, id, call, w)
	if err != nil {
		// Another entry may have sent the same key, so even an agent that was not reached does
		// not make this NotRun.
		return request.Uncertain(id, err.Error(), noTargetRetry)
	}
	return answer
}

// routeAnywhere tries agents until one gives a final answer, the budget is spent, or the
// deadline passes.
func (r *router) routeAnywhere(ctx context.Context, id string, call request.Call) request.Answer {
	tried := make(map[string]bool)
	last := request.Refusal(id, "no target of the service can take it", noTargetRetry)
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
		return request.Uncertain(id, "an earlier attempt may have run; the last: "+last.Reason, noTargetRetry)
	}
	return last
}

// attempted turns an attempt without a Done answer into an outcome, and reports whether it may
// have run.
func attempted(id string, answer request.Answer, err error) (request.Answer, bool) {
	switch {
	case err == nil:
		return answer, answer.Outcome != request.NotRun
	case fault.NotReached(err):
		return request.Refusal(id, err.Error(), noTargetRetry), false
	}
	return request.Uncertain(id, err.Error(), noTargetRetry), true
}

// errBadAnswer says that an agent's answer was that of another request, or harmed. It is dropped.
var errBadAnswer = errors.New("the agent's answer was crossed or cut")

// send makes one attempt at one agent.
func (r *router) send(ctx context.Context, id string, call request.Call, w ledger.Worker) (request.Answer, error) {
	r.count(w.Name, 1)
	defer r.count(w.Name, -1)
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	margin := min(maxMargin, left/10)
	hop := request.Hop{
		ID: id, Service: call.Service, Team: call.Team, Key: call.Key,
		LeftMillis: (left - margin).Milliseconds(), Body: call.Body,
	}
	var answer request.Answer
	err := jsonhttp.Call(ctx, r.entry.parts.Client, "entry.send", http.MethodPost, w.Address, "/internal/requests", hop, &answer)
	if err == nil && !answer.Whole(id) {
		err = errBadAnswer
	}
	r.recordOutcome(w, call.Team, answer, err)
	return answer, err
}

// recordOutcome keeps new work away from agents that leave, have no room or do not answer, and from
// targets that do not answer in time: a slow target looks like a good one until its requests
// time out.
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
