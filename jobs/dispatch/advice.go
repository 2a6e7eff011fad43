package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/life"
)

// Ticket lets a step run on a life of a worker, for some time.
type Ticket struct {
	// Life is the worker's, Text what a start brings.
	Life life.ID
	Text string
}

// Adviser says which workers may run a step, on queues whose policy only it knows. What it says of a step and a life does
// not change; a ticket ends.
type Adviser interface {
	// Advise returns the tickets of those lives that may run the step, and how long they hold.
	Advise(ctx context.Context, step string, lives []life.ID) (tickets []Ticket, valid time.Duration, err error)
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
	adviser Adviser
	logger  zerolog.Logger
	answers chan Advised
	busy    bool
	// known holds for each step what was said of a life; a missing life was not asked about.
	known map[string]map[life.ID]word
}

// word is what was said of a life: no ticket is a no, which stays.
type word struct {
	text  string
	until time.Time
}

// Advised is the answer to a call to the adviser.
type Advised struct {
	step    string
	asked   []life.ID
	tickets []Ticket
	sent    time.Time
	valid   time.Duration
	err     error
}

func newAdvice(adviser Adviser, logger zerolog.Logger) *advice {
	return &advice{adviser: adviser, logger: logger, answers: make(chan Advised, 1), known: map[string]map[life.ID]word{}}
}

// ticket returns a ticket that still holds.
func (a *advice) ticket(step string, at life.ID, now time.Time) (string, bool) {
	w, ok := a.known[step][at]
	return w.text, ok && w.text != "" && now.Add(ticketMargin).Before(w.until)
}

// unasked returns those of the lives of which nothing is known, or whose ticket has ended.
func (a *advice) unasked(step string, lives []life.ID, now time.Time) []life.ID {
	var open []life.ID
	for _, id := range lives {
		w, ok := a.known[step][id]
		if !ok || w.text != "" && !now.Add(ticketMargin).Before(w.until) {
			open = append(open, id)
		}
	}
	return open
}

// ask asks about a step unless a call is under way.
func (a *advice) ask(ctx context.Context, step string, lives []life.ID) {
	if a.busy || a.adviser == nil || len(lives) == 0 {
		return
	}
	a.busy = true
	lives = lives[:min(len(lives), adviceBatch)]
	go func() {
		answer := Advised{step: step, asked: lives, sent: time.Now()}
		attempt, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		answer.tickets, answer.valid, answer.err = a.adviser.Advise(attempt, step, lives)
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
func (a *advice) take(answer Advised) {
	a.busy = false
	if answer.err != nil {
		a.logger.Warn().Str("step", "dispatch.advice").Str("about", answer.step).Err(answer.err).Msg("no advice")
		return
	}
	if a.known[answer.step] == nil {
		a.known[answer.step] = map[life.ID]word{}
	}
	words := a.known[answer.step]
	for _, id := range answer.asked {
		words[id] = word{}
	}
	for _, t := range answer.tickets {
		// The time is counted from before the call, which is the safe side.
		words[t.Life] = word{text: t.Text, until: answer.sent.Add(answer.valid)}
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
