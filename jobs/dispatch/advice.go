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

// Permit lets a step run on a life of a worker, for some time.
type Permit struct {
	// Incarnation is the worker's, Text what a start brings.
	Incarnation incarnation.ID
	Token       string
}

// PermitIssuer says which workers may run a step, on queues whose policy only it knows. What it says of a step and a life does
// not change; a ticket ends.
type PermitIssuer interface {
	// Issue returns the tickets of those lives that may run the step, and how long they hold.
	Issue(ctx context.Context, step string, lives []incarnation.ID) (tickets []Permit, valid time.Duration, err error)
}

// Bounds of advice. The service works on one call of a machine at a time and takes time for each worker that it is asked
// about, so a call names a few, and one call is under way.
const (
	permitTimeout    = 8 * time.Second
	permitRetryDelay = 300 * time.Millisecond
	permitBatch      = 30
	// permitMargin is how long before its end a ticket is not used any more: an order takes its way.
	permitMargin = time.Second
)

// stepKey names a step of one round as workers and the advice service know it.
func stepKey(name job.TaskName) string {
	return fmt.Sprintf("%s.%d.%d", name.Job, name.Round, name.Step)
}

// permitCache is what the adviser has said. The control goroutine owns it; calls are made beside it.
type permitCache struct {
	issuer     PermitIssuer
	logger     zerolog.Logger
	results    chan PermitResult
	requesting bool
	// byStep holds for each step what was said of a life; a missing life was not asked about.
	byStep map[string]map[incarnation.ID]permitAnswer
}

// permitAnswer is what was said of a life: no ticket is a no, which stays.
type permitAnswer struct {
	token      string
	validUntil time.Time
}

// PermitResult is the answer to a call to the adviser.
type PermitResult struct {
	step     string
	asked    []incarnation.ID
	permits  []Permit
	sentAt   time.Time
	validFor time.Duration
	err      error
}

func newPermitCache(adviser PermitIssuer, logger zerolog.Logger) *permitCache {
	return &permitCache{issuer: adviser, logger: logger, results: make(chan PermitResult, 1), byStep: map[string]map[incarnation.ID]permitAnswer{}}
}

// permit returns a ticket that still holds.
func (a *permitCache) permit(step string, at incarnation.ID, now time.Time) (string, bool) {
	w, ok := a.byStep[step][at]
	return w.token, ok && w.token != "" && now.Add(permitMargin).Before(w.validUntil)
}

// missing returns those of the lives of which nothing is known, or whose ticket has ended.
func (a *permitCache) missing(step string, lives []incarnation.ID, now time.Time) []incarnation.ID {
	var open []incarnation.ID
	for _, id := range lives {
		w, ok := a.byStep[step][id]
		if !ok || w.token != "" && !now.Add(permitMargin).Before(w.validUntil) {
			open = append(open, id)
		}
	}
	return open
}

// request asks about a step unless a call is under way.
func (a *permitCache) request(ctx context.Context, step string, lives []incarnation.ID) {
	if a.requesting || a.issuer == nil || len(lives) == 0 {
		return
	}
	a.requesting = true
	lives = lives[:min(len(lives), permitBatch)]
	go func() {
		answer := PermitResult{step: step, asked: lives, sentAt: time.Now()}
		attempt, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		answer.permits, answer.validFor, answer.err = a.issuer.Issue(attempt, step, lives)
		if answer.err != nil && !errors.Is(answer.err, context.Canceled) {
			// Others may be waiting for the service too.
			select {
			case <-time.After(permitRetryDelay):
			case <-ctx.Done():
			}
		}
		a.results <- answer
	}()
}

// apply takes an answer over.
func (a *permitCache) apply(answer PermitResult) {
	a.requesting = false
	if answer.err != nil {
		a.logger.Warn().Str("step", "dispatch.advice").Str("about", answer.step).Err(answer.err).Msg("no advice")
		return
	}
	if a.byStep[answer.step] == nil {
		a.byStep[answer.step] = map[incarnation.ID]permitAnswer{}
	}
	words := a.byStep[answer.step]
	for _, id := range answer.asked {
		words[id] = permitAnswer{}
	}
	for _, t := range answer.permits {
		// The time is counted from before the call, which is the safe side.
		words[t.Incarnation] = permitAnswer{token: t.Token, validUntil: answer.sentAt.Add(answer.validFor)}
	}
	a.logger.Info().Str("step", "dispatch.advice").Str("about", answer.step).Int("asked", len(answer.asked)).
		Int("tickets", len(answer.permits)).Msg("advice")
}

// dropJob drops what was said of a job's steps.
func (a *permitCache) dropJob(id job.ID) {
	for step := range a.byStep {
		if len(step) > len(id) && step[:len(id)] == string(id) {
			delete(a.byStep, step)
		}
	}
}
