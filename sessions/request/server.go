package request

import (
	"context"
	"errors"
	"time"
)

// Target runs requests. Each agent has one target.
type Target interface {
	// Run sends the request and returns the complete answer. The error is a *NotSentError if the
	// request certainly did not reach the target. After any other error the request may have run.
	Run(ctx context.Context, req AgentRequest) (status int, body string, err error)
}

// NotSentError means that the request did not reach its target.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "cannot reach the target: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// unreachableRetry is the Retry-After of a request whose target could not be reached.
const unreachableRetry = 500 * time.Millisecond

// unknownRetry is the Retry-After of an Unknown outcome that may become known later.
const unknownRetry = time.Second

// Server runs the requests that entries send to an agent.
type Server struct {
	worker      string
	incarnation string
	target      Target
	admission   *Admission
	dedup       *DedupTable
}

// NewServer returns the server of one incarnation of an agent.
func NewServer(worker, incarnation string, target Target, admission *Admission, dedup *DedupTable) *Server {
	return &Server{
		worker:      worker,
		incarnation: incarnation,
		target:      target,
		admission:   admission,
		dedup:       dedup,
	}
}

// Serve handles a request and returns its outcome. ctx is canceled when the entry's connection is
// closed.
func (s *Server) Serve(ctx context.Context, req AgentRequest) Answer {
	left := time.Duration(req.LeftMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	var answer Answer
	if req.Key == "" {
		answer = s.run(ctx, req)
	} else {
		answer = s.serveKeyed(ctx, req)
	}
	answer.Target = s.worker
	return answer.WithID(req.ID)
}

// serveKeyed runs a request if its key is new. Otherwise it waits for the outcome of the first
// request with the key.
func (s *Server) serveKeyed(ctx context.Context, req AgentRequest) Answer {
	key, err := ParseKey(req.Key)
	if err != nil {
		return NotRunAnswer(req.ID, err.Error(), 0)
	}
	if key.Worker != s.worker || key.Incarnation != s.incarnation {
		return UnknownAnswer(req.ID, "the agent that the key names has been replaced", 0)
	}
	status, record := s.dedup.Claim(key, DigestOf(req.Body))
	switch status {
	case First:
		s.runDetached(req, record)
	case BodyMismatch:
		return UnknownAnswer(req.ID, "key: it came with another body before; this body was not run", 0)
	case Expired:
		return UnknownAnswer(req.ID, "the key is too old to be remembered", 0)
	case TooNew:
		return NotRunAnswer(req.ID, "key: its time is far in the future", 0)
	}
	select {
	case <-record.Done():
		return s.dedup.Answer(record)
	case <-ctx.Done():
		return UnknownAnswer(req.ID, "it has not ended yet", unknownRetry)
	}
}

// runDetached runs the request independently of the connection on which it arrived, because other
// connections may wait for the same outcome.
func (s *Server) runDetached(req AgentRequest, record *Record) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(req.LeftMillis)*time.Millisecond)
		defer cancel()
		s.dedup.Complete(record, s.run(ctx, req))
	}()
}

// run waits for a slot and sends the request to the target once.
func (s *Server) run(ctx context.Context, req AgentRequest) Answer {
	deadline, _ := ctx.Deadline()
	if err := s.admission.Acquire(ctx, req.Team, time.Until(deadline)); err != nil {
		return refusedAnswer(req.ID, err)
	}
	began := time.Now()
	defer func() { s.admission.Release(req.Team, time.Since(began)) }()
	// The process may have been paused until after the deadline.
	if !began.Before(deadline) {
		return NotRunAnswer(req.ID, "its deadline passed while it waited", minRetry)
	}
	status, body, err := s.target.Run(ctx, req)
	if err != nil {
		return failedAnswer(req.ID, err)
	}
	return Answer{ID: req.ID, Outcome: Done, Status: status, Body: body, Digest: DigestOf(body)}
}

func refusedAnswer(id string, err error) Answer {
	answer := NotRunAnswer(id, err.Error(), minRetry)
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		answer = NotRunAnswer(id, refusal.Reason, refusal.RetryAfter)
		answer.Leaving = refusal.Leaving
	}
	return answer
}

func failedAnswer(id string, err error) Answer {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return NotRunAnswer(id, err.Error(), unreachableRetry)
	}
	return UnknownAnswer(id, err.Error(), unknownRetry)
}
