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
	adviceTimeout = 8 * time.Second
	advicePause   = 300 * time.Millisecond
	adviceBatch   = 30
	// ticketMargin is how long before its end a ticket is not used any more: an order takes its way.
	ticketMargin = time.Second
)

// stepOf names a step of one round as workers and the advice service know it.
func stepOf(name job.TaskName) string {
	return fmt.Sprintf("%s.%d.%d", name.Job, name.Round, name.Step)
}

// advice is what the adviser has said. The control goroutine owns it; calls are made beside it.
type advice struct {
	adviser PermitIssuer
	logger  zerolog.Logger
	answers chan PermitResult
	busy    bool
	// known holds for each step what was said of a life; a missing life was not asked about.
	known map[string]map[incarnation.ID]word
}

// word is what was said of a life: no ticket is a no, which stays.
type word struct {
	text  string
	until time.Time
}

// PermitResult is the answer to a call to the adviser.
type PermitResult struct {
	step    string
	asked   []incarnation.ID
	tickets []Permit
	sent    time.Time
	valid   time.Duration
	err     error
}

func newAdvice(adviser PermitIssuer, logger zerolog.Logger) *advice {
	return &advice{adviser: adviser, logger: logger, answers: make(chan PermitResult, 1), known: map[string]map[incarnation.ID]word{}}
}

// ticket returns a ticket that still holds.
func (a *advice) ticket(step string, at incarnation.ID, now time.Time) (string, bool) {
	w, ok := a.known[step][at]
	return w.text, ok && w.text != "" && now.Add(ticketMargin).Before(w.until)
}

// unasked returns those of the lives of which nothing is known, or whose ticket has ended.
func (a *advice) unasked(step string, lives []incarnation.ID, now time.Time) []incarnation.ID {
	var open []incarnation.ID
	for _, id := range lives {
		w, ok := a.known[step][id]
		if !ok || w.text != "" && !now.Add(ticketMargin).Before(w.until) {
			open = append(open, id)
		}
	}
	return open
}

// ask asks about a step unless a call is under way.
func (a *advice) ask(ctx context.Context, step string, lives []incarnation.ID) {
	if a.busy || a.adviser == nil || len(lives) == 0 {
		return
	}
	a.busy = true
	lives = lives[:min(len(lives), adviceBatch)]
	go func() {
		answer := PermitResult{step: step, asked: lives, sent: time.Now()}
		attempt, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		answer.tickets, answer.valid, answer.err = a.adviser.Issue(attempt, step, lives)
		if answer.err != nil && !errors.Is(answer.err, context.Canceled) {
			// Others may be waiting for the service too.
			select {
			case <-time.After(advicePause):
			case <-ctx.Done():
			}
		}
		a.answers <- answer
	}()
}

// take takes an answer over.
func (a *advice) take(answer PermitResult) {
	a.busy = false
	if answer.err != nil {
		a.logger.Warn().Str("step", "dispatch.advice").Str("about", answer.step).Err(answer.err).Msg("no advice")
		return
	}
	if a.known[answer.step] == nil {
		a.known[answer.step] = map[incarnation.ID]word{}
	}
	words := a.known[answer.step]
	for _, id := range answer.asked {
		words[id] = word{}
	}
	for _, t := range answer.tickets {
		// The time is counted from before the call, which is the safe side.
		words[t.Incarnation] = word{text: t.Token, until: answer.sent.Add(answer.valid)}
	}
	a.logger.Info().Str("step", "dispatch.advice").Str("about", answer.step).Int("asked", len(answer.asked)).
		Int("tickets", len(answer.tickets)).Msg("advice")
}

// forget drops what was said of a job's steps.
func (a *advice) forget(id job.ID) {
	for step := range a.known {
		if len(step) > len(id) && step[:len(id)] == string(id) {
			delete(a.known, step)
		}
	}
}
