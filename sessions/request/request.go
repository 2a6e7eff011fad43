// Package request defines requests and their outcomes, and implements the agent's side of request
// handling: admission to the target's slots, deduplication by key, and the call to the target.
//
// A request has exactly one of three outcomes. Done carries the complete answer. NotRun means
// that the request certainly did not run and, if it has a key, never will. Unknown means that the
// request may have run.
//
// # At most once
//
// A request that must not be repeated carries a Key, which names the only incarnation of an agent
// that may run it. That agent records the keys it has seen, so a request never runs a second time,
// even if its key is sent twice, through two entries at once, or after the agent was replaced. This
// requires neither synchronized clocks nor agreement between agents; docs/DESIGN.md describes the
// alternatives.
//
// # State
//
// Server owns an Admission, with the target's queue and slots, and a DedupTable of keys. Both are
// kept only in memory and belong to one incarnation of an agent.
//
// # Dependencies
//
// The Target runs the requests. A function passed to NewAdmission provides the teams' shares.
//
// # Usage
//
//	admission := request.NewAdmission(slots, maxQueue, share)
//	server := request.NewServer(worker, incarnation, target, admission, request.NewDedupTable())
//	answer := server.Serve(ctx, req)
package request

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Outcome is the result of a request.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// MaxBody is the maximum size of the body of a request or an answer, in bytes.
const MaxBody = 1 << 20

// Call is a request as sent by the caller.
type Call struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	// Key is required for a request that must not be repeated. POST /v1/keys returns one.
	Key string `json:"key,omitempty"`
	// NotRepeatable requires that the request runs at most once. A policy can also require this.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// DeadlineMillis is the time for which the caller waits, in ms.
	DeadlineMillis int64  `json:"deadline_ms"`
	Body           string `json:"body"`
}

// Validate returns a *fault.Field for the first invalid field. maxDeadline is in ms.
func (c Call) Validate(maxDeadline int64) error {
	if c.Service == "" {
		return fault.BadField("service", "must not be empty")
	}
	if c.Team == "" {
		return fault.BadField("team", "must not be empty")
	}
	if c.DeadlineMillis < 1 || c.DeadlineMillis > maxDeadline {
		return fault.BadField("deadline_ms", "want 1 to %d, got %d", maxDeadline, c.DeadlineMillis)
	}
	if c.Key != "" {
		if _, err := ParseKey(c.Key); err != nil {
			return err
		}
	}
	if c.NotRepeatable && c.Key == "" {
		return fault.BadField("key", "a request that must not be repeated needs a key; POST /v1/keys returns one")
	}
	return nil
}

// AgentRequest is a request as sent by an entry to an agent.
type AgentRequest struct {
	// ID identifies the request in logs and traces. The answer must carry the same ID.
	ID      string `json:"id"`
	Service string `json:"service"`
	Team    string `json:"team"`
	Key     string `json:"key,omitempty"`
	// LeftMillis is the remaining time until the caller's deadline, in ms.
	LeftMillis int64  `json:"left_ms"`
	Body       string `json:"body"`
}

// Answer is the outcome of a request, sent from the agent to the entry and on to the caller.
type Answer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Status is the target's HTTP status code.
	Status int    `json:"status,omitempty"`
	Body   string `json:"body"`
	// Digest is the digest of Body; see DigestOf.
	Digest string `json:"digest,omitempty"`
	// Reason explains an outcome other than Done.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMillis is the time to wait before a retry, in ms, for outcomes other than Done.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Target is the name of the worker that handled the request.
	Target string `json:"target,omitempty"`
	// Leaving means that the agent accepts no new work; the entry stops sending requests to it.
	Leaving bool `json:"leaving,omitempty"`
}

// NotRunAnswer returns a NotRun answer.
func NotRunAnswer(id, reason string, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: NotRun, Reason: reason, RetryAfterMillis: millis(retryAfter)}
}

// UnknownAnswer returns an Unknown answer.
func UnknownAnswer(id, reason string, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: Unknown, Reason: reason, RetryAfterMillis: millis(retryAfter)}
}

// millis converts to milliseconds. It rounds up, so that no caller retries too early.
func millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// WithID returns the answer with another ID.
func (a Answer) WithID(id string) Answer {
	a.ID = id
	return a
}

// Intact reports whether the answer belongs to the request with the given ID and its body is
// intact.
func (a Answer) Intact(id string) bool {
	return a.ID == id && (a.Outcome != Done || a.Digest == DigestOf(a.Body))
}
