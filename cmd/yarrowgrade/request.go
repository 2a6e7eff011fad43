package main

import (
	"fmt"
	"io"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/request"
)

const requestUsage = `
A request gets exactly one of three outcomes: "done" with the whole answer, "not_run" with a time to come back, or
"unknown": it may have run and will not be run again.

With --not-repeatable the request runs at most once. It is sent under a key, which is printed; send again with --key to
ask for the outcome, never to run it twice.

Example:

  yarrowgrade request send --service parkpay --team plates --not-repeatable "pay 42"
`

type requestCommands struct {
	Send requestSend `cmd:"" help:"Send one request and print its outcome."`
}

// Help implements kong.HelpProvider.
func (*requestCommands) Help() string { return requestUsage }

type requestSend struct {
	Body          string        `arg:"" help:"Body of the request."`
	Service       string        `help:"Service that is to answer." required:""`
	Team          string        `help:"Team that asks." required:""`
	NotRepeatable bool          `help:"Run at most once."`
	Key           string        `help:"Key of an earlier request, to ask for its outcome."`
	Deadline      time.Duration `help:"How long to wait for the outcome." default:"5s"`
}

// Run implements the command.
func (c *requestSend) Run(s *env) error {
	if c.NotRepeatable && c.Key == "" {
		key, err := s.client.Key(s.ctx, c.Service)
		if err != nil {
			return err
		}
		c.Key = key
	}
	answer, err := s.client.Send(s.ctx, request.Call{
		Service:        c.Service,
		Team:           c.Team,
		Key:            c.Key,
		NotRepeatable:  c.NotRepeatable,
		DeadlineMillis: c.Deadline.Milliseconds(),
		Body:           c.Body,
	})
	if err != nil {
		return err
	}
	err = s.print(answer, func(w io.Writer) { printAnswer(w, c.Key, answer) })
	if err != nil {
		return err
	}
	return outcomeError(answer.Outcome)
}

func printAnswer(w io.Writer, key string, a request.Answer) {
	fmt.Fprintf(w, "outcome\t%s\n", a.Outcome)
	if key != "" {
		fmt.Fprintf(w, "key\t%s\n", key)
	}
	if a.Outcome == request.Done {
		fmt.Fprintf(w, "status\t%d from %s\nanswer\t%s\n", a.Status, a.Target, a.Body)
		return
	}
	fmt.Fprintf(w, "reason\t%s\ncome back\t%v\n", a.Reason, time.Duration(a.RetryAfterMillis)*time.Millisecond)
}

func outcomeError(o request.Outcome) error {
	switch o {
	case request.Done:
		return nil
	case request.NotRun:
		return exitError{code: exitNotRun}
	}
	return exitError{code: exitUnknown}
}
