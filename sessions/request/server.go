package request

import (
	"context"
	"errors"
	"time"
)

// Target runs requests. Each agent has one target.
type Target interface {
	// Run sends the request and returns the complete answer. The error is a *NotSentError if
	// the request certainly did not reach the target; after any other error it may have run.
	Run(ctx context.Context, hop Hop) (status int, body string, err error)
}

// NotSentError means that the request did not reach its target.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "the target can't be reached: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// targetRetry is the Retry-After of a request whose target could not be reached.
const targetRetry = 500 * time.Millisecond

// uncertainRetry is the Retry-After of an Unknown outcome that may become known later.
const uncertainRetry = time.Second

// Server runs the requests that entries send to an agent.
type Server struct {
	worker      string
	incarnation string
	target      Target
	admission   *Admission
	memory      *Memory
}

// NewServer returns the server of one incarnation of an agent.
func NewServer(worker, incarnation string, target Target, admission *Admission, memory *Memory) *Server {
	return &Server{
		worker:      worker,
		incarnation: incarnation,
		target:      target,
		admission:   admission,
		memory:      memory,
	}
}

// Serve returns the outcome of a request. ctx ends with the entry's connection.
func (s *Server) Serve(ctx context.Context, hop Hop) Answer {
	left := time.Duration(hop.LeftMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	var answer Answer
	if hop.Key == "" {
		answer = s.run(ctx, hop)
	} else {
		answer = s.serveKey(ctx, hop)
	}
	answer.Target = s.worker
	return answer.WithID(hop.ID)
}

// serveKey runs a request if its key is new. Otherwise it waits for the outcome of the first one.
func (s *Server) serveKey(ctx context.Context, hop Hop) Answer {
	key, err := ParseKey(hop.Key)
	if err != nil {
		return Refusal(hop.ID, err.Error(), 0)
	}
	if key.Worker != s.worker || key.Incarnation != s.incarnation {
		return Uncertain(hop.ID, "the agent that the key names has been replaced", 0)
	}
	status, record := s.memory.Claim(key, DigestOf(hop.Body))
	switch status {
	case First:
		s.settle(hop, record)
	case OtherBody:
		return Uncertain(hop.ID, "key: it came with another body before; this body was not run", 0)
	case Forgotten:
		return Uncertain(hop.ID, "the key is too old to be remembered", 0)
	case TooNew:
		return Refusal(hop.ID, "key: its time is far in the future", 0)
	}
	select {
	case <-record.Done():
		return s.memory.Answer(record)
	case <-ctx.Done():
		return Uncertain(hop.ID, "it has not ended yet", uncertainRetry)
	}
}

// settle runs the request independently of the connection that brought it, because other
// connections may wait for the same outcome.
func (s *Server) settle(hop Hop, record *Record) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(hop.LeftMillis)*time.Millisecond)
		defer cancel()
		s.memory.Settle(record, s.run(ctx, hop))
	}()
}

// run waits for a slot and sends the request to the target once.
func (s *Server) run(ctx context.Context, hop Hop) Answer {
	deadline, _ := ctx.Deadline()
	if err := s.admission.Acquire(ctx, hop.Team, time.Until(deadline)); err != nil {
		return refused(hop.ID, err)
	}
	began := time.Now()
	defer func() { s.admission.Release(hop.Team, time.Since(began)) }()
	// A pause of the process may have delayed the slot past the deadline.
	if !began.Before(deadline) {
		return Refusal(hop.ID, "its deadline passed while it waited", minRetry)
	}
	status, body, err := s.target.Run(ctx, hop)
	if err != nil {
		return failed(hop.ID, err)
	}
	return Answer{ID: hop.ID, Outcome: Done, Status: status, Body: body, Digest: DigestOf(body)}
}

func refused(id string, err error) Answer {
	answer := Refusal(id, err.Error(), minRetry)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		answer = Refusal(id, refusal.Reason, refusal.RetryAfter)
		answer.Leaving = refusal.Leaving
	}
	return answer
}

func failed(id string, err error) Answer {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return Refusal(id, err.Error(), targetRetry)
	}
	return Uncertain(id, err.Error(), uncertainRetry)
}
