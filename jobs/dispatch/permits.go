package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Permit allows a step to run on an incarnation of a worker for a limited time.
type Permit struct {
	Incarnation incarnation.ID
	// Token is sent with each start of the step's tasks there.
	Token string
}

// PermitIssuer decides which workers may run a step, for queues whose policy is known only to it.
// Its answer for a step and an incarnation never changes, but a permit expires.
type PermitIssuer interface {
	// Issue returns permits for those of the incarnations that may run the step, and how long they
	// are valid.
	Issue(ctx context.Context, step string, on []incarnation.ID) (permits []Permit, valid time.Duration, err error)
}

// The issuer is called sequentially: it answers one call per box at a time, and its latency grows
// with the number of workers in the call.
const (
	permitTimeout = 8 * time.Second
	// permitRetryDelay is the delay after a failed call, since other clients may be waiting for the
	// issuer too.
	permitRetryDelay = 300 * time.Millisecond
	// permitBatch is the maximum number of workers in a call.
	permitBatch = 30
	// permitMargin is how long before its expiry a permit is no longer used, since a start takes
	// time to reach its worker.
	permitMargin = time.Second
)

// stepKey returns the key of a step of one round that workers and the issuer use.
func stepKey(name job.TaskName) string {
	return fmt.Sprintf("%s.%d.%d", name.Job, name.Round, name.Step)
}

// permitCache caches the issuer's answers. The controller's goroutine owns it; calls are made in
// other goroutines.
type permitCache struct {
	issuer     PermitIssuer
	logger     zerolog.Logger
	results    chan PermitResult
	requesting bool
	// byStep holds the answer for each incarnation that was asked about.
	byStep map[string]map[incarnation.ID]permitAnswer
}

// permitAnswer is the answer for an incarnation: without a token it may never run the step.
type permitAnswer struct {
	token      string
	validUntil time.Time
}

// usable reports whether the answer is a permit that is still valid.
func (a permitAnswer) usable(now time.Time) bool {
	return a.token != "" && now.Add(permitMargin).Before(a.validUntil)
}

// PermitResult is the result of a call to the issuer.
type PermitResult struct {
	step     string
	asked    []incarnation.ID
	permits  []Permit
	sentAt   time.Time
	validFor time.Duration
	err      error
}

func newPermitCache(issuer PermitIssuer, logger zerolog.Logger) *permitCache {
	return &permitCache{
		issuer:  issuer,
		logger:  logger,
		results: make(chan PermitResult, 1),
		byStep:  map[string]map[incarnation.ID]permitAnswer{},
	}
}

// permit returns the token of a permit that is still valid.
func (p *permitCache) permit(step string, on incarnation.ID, now time.Time) (token string, ok bool) {
	answer := p.byStep[step][on]
	return answer.token, answer.usable(now)
}

// missing returns those of the incarnations that were never asked about, or whose permit has
// expired.
func (p *permitCache) missing(step string, on []incarnation.ID, now time.Time) []incarnation.ID {
	var missing []incarnation.ID
	for _, id := range on {
		answer, known := p.byStep[step][id]
		if !known || answer.token != "" && !answer.usable(now) {
			missing = append(missing, id)
		}
	}
	return missing
}

// request calls the issuer for a step unless a call is in flight.
func (p *permitCache) request(ctx context.Context, step string, on []incarnation.ID) {
	if p.requesting || p.issuer == nil || len(on) == 0 {
		return
	}
	p.requesting = true
	on = on[:min(len(on), permitBatch)]
	go func() {
		result := PermitResult{step: step, asked: on, sentAt: time.Now()}
		attempt, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		result.permits, result.validFor, result.err = p.issuer.Issue(attempt, step, on)
		if result.err != nil && !errors.Is(result.err, context.Canceled) {
			select {
			case <-time.After(permitRetryDelay):
			case <-ctx.Done():
			}
		}
		p.results <- result
	}()
}

// apply applies the result of a call.
func (p *permitCache) apply(r PermitResult) {
	p.requesting = false
	if r.err != nil {
		p.logger.Warn().Str("step", "dispatch.advice").Str("about", r.step).Err(r.err).Msg("no advice")
		return
	}
	answers := p.byStep[r.step]
	if answers == nil {
		answers = map[incarnation.ID]permitAnswer{}
		p.byStep[r.step] = answers
	}
	for _, id := range r.asked {
		answers[id] = permitAnswer{}
	}
	for _, permit := range r.permits {
		// The validity is counted from before the call, which errs on the safe side.
		answers[permit.Incarnation] = permitAnswer{token: permit.Token, validUntil: r.sentAt.Add(r.validFor)}
	}
	p.logger.Info().Str("step", "dispatch.advice").Str("about", r.step).Int("asked", len(r.asked)).
		Int("tickets", len(r.permits)).Msg("advice")
}

// dropJob drops the answers for a job's steps.
func (p *permitCache) dropJob(id job.ID) {
	for step := range p.byStep {
		if len(step) > len(id) && step[:len(id)] == string(id) {
			delete(p.byStep, step)
		}
	}
}
