// Package request holds what a request is, and the rules that its outcome follows.
//
// Every request gets exactly one of three outcomes. Done comes with the whole answer. NotRun is
// said only where it is certain that the request did not run and, for a key, never will.
// Unknown says that it may have run.
//
// # At most once
//
// A request that must not be repeated carries a Key. A key names one incarnation of one agent,
// and only that one may run it. The agent remembers the keys that it has met, so the same key
// sent twice, to two entries at once, or again after the agent has been replaced, never runs a
// second time. No clock and no agreement between agents is needed; see docs/DESIGN.md for what
// was weighed.
//
// # Usage
//
//	key, err := request.ParseKey(text)
//	claim := memory.Claim(key, digest)
package request

import (
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// Outcome is the final word on a request.
type Outcome string

// The outcomes.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// MaxBody bounds the body of a request and of its answer, in bytes.
const MaxBody = 1 << 20

// Call is a request as a caller sends it.
type Call struct {
	Service string `json:"service"`
	Team    string `json:"team"`
	// Key is needed for a request that must not be repeated. POST /v1/keys gives one.
	Key string `json:"key,omitempty"`
	// NotRepeatable marks the request as one that runs at most once. A policy may mark it too.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// DeadlineMillis is how long the caller waits, in milliseconds.
	DeadlineMillis int64  `json:"deadline_ms"`
	Body           string `json:"body"`
}

// Validate returns a *fault.Field for the first field that is wrong. maxDeadline is in
// milliseconds.
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
		return fault.BadField("key", "a request that must not be repeated needs one; POST /v1/keys gives it")
	}
	return nil
}

// Hop is a request on its way from an entry to an agent.
type Hop struct {
	// ID names this request in logs and traces, and the answer must bring it back.
	ID      string `json:"id"`
	Service string `json:"service"`
	Team    string `json:"team"`
	Key     string `json:"key,omitempty"`
	// LeftMillis is the time left until the caller's deadline, in milliseconds.
	LeftMillis int64  `json:"left_ms"`
	Body       string `json:"body"`
}

// Answer is the outcome of a request, as it travels back to the caller.
type Answer struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	// Status is the status code of the target's answer.
	Status int    `json:"status,omitempty"`
	Body   string `json:"body"`
	// Digest is that of Body; see DigestOf.
	Digest string `json:"digest,omitempty"`
	// Reason says why the outcome is not Done.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMillis is when to come back, in milliseconds, for all outcomes but Done.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Target is the name of the worker whose target ran it.
	Target string `json:"target,omitempty"`
	// Leaving says that the agent takes no new work, so that the entry stops sending any.
	Leaving bool `json:"leaving,omitempty"`
}

// Refusal returns a NotRun answer.
func Refusal(id, reason string, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: NotRun, Reason: reason, RetryAfterMillis: millis(retryAfter)}
}

// Uncertain returns an Unknown answer.
func Uncertain(id, reason string, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: Unknown, Reason: reason, RetryAfterMillis: millis(retryAfter)}
}

// millis rounds up, so that a caller never comes back too early.
func millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// WithID returns the answer under another id.
func (a Answer) WithID(id string) Answer {
	a.ID = id
	return a
}

// Whole reports whether the answer is that of the request with the given id, with its body
// unharmed.
func (a Answer) Whole(id string) bool {
	return a.ID == id && (a.Outcome != Done || a.Digest == DigestOf(a.Body))
}
