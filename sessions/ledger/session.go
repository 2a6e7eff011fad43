package ledger

import (
	"regexp"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// namePattern matches valid names of sessions, teams and workers, which occur in URL paths and
// logs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// maxWork is the longest run time of a session.
const maxWork = 90 * 24 * time.Hour

// maxTrace is the maximum length of a traceparent in bytes; version 00 has 55.
const maxTrace = 128

// SessionSpec describes a session as an operator creates it.
type SessionSpec struct {
	Name  string          `json:"name"`
	Team  string          `json:"team"`
	Shape placement.Shape `json:"shape"`
	// Urgent sessions are placed before others and may reclaim borrowed accelerators.
	Urgent bool `json:"urgent,omitempty"`
	// Work is the run time of the session in seconds. If zero, the session runs until it is
	// cancelled.
	Work int64 `json:"work_seconds,omitempty"`
}

// Defaults returns the spec with defaults for omitted fields.
func (s SessionSpec) Defaults() SessionSpec {
	s.Shape = s.Shape.WithDefaults()
	return s
}

// Validate returns a *fault.Field for the first invalid field.
func (s SessionSpec) Validate() error {
	if !namePattern.MatchString(s.Name) {
		return fault.BadField("name",
			"want 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit, got %q", s.Name)
	}
	if !namePattern.MatchString(s.Team) {
		return fault.BadField("team", "want the name of a team, got %q", s.Team)
	}
	if s.Work < 0 || s.Work > int64(maxWork/time.Second) {
		return fault.BadField("work_seconds", "want 0 to %d, got %d", int64(maxWork/time.Second), s.Work)
	}
	return s.Shape.Validate("shape")
}

// SessionPhase is the phase of a session.
type SessionPhase string

// The phases of a session. A session alternates between waiting and placed until a record finishes
// or cancels it.
const (
	SessionWaiting   SessionPhase = "waiting"
	SessionPlaced    SessionPhase = "placed"
	SessionFinished  SessionPhase = "finished"
	SessionCancelled SessionPhase = "cancelled"
)

// Session is a long-running gang job that is restarted after each interruption until it is finished
// or cancelled.
type Session struct {
	SessionSpec
	Phase SessionPhase `json:"phase"`
	// Token is the token of the placement while Phase is SessionPlaced, otherwise zero.
	Token int64 `json:"token,omitempty"`
	// Progress is the work covered by the checkpoints of all members.
	Progress time.Duration `json:"progress_ns"`
	// Since is when the phase began, by the clock of the record's proposer, in ms since 1970.
	Since int64 `json:"since"`
	// Created is the offset of the record that created the session.
	Created int64 `json:"created"`
	// Restarts is the number of placements that ended before the work was complete.
	Restarts int `json:"restarts"`
	// Trace is the W3C traceparent of the call that created the session; empty if it was not
	// traced.
	Trace string `json:"trace,omitempty"`
}

// Ended reports whether the session is finished or cancelled.
func (s Session) Ended() bool { return s.Phase == SessionFinished || s.Phase == SessionCancelled }

// PlacementPhase is the phase of a placement.
type PlacementPhase string

// The phases of a placement.
const (
	Preparing PlacementPhase = "preparing"
	Running   PlacementPhase = "running"
	Stopping  PlacementPhase = "stopping"
)

// Placement is the assignment of accelerators to the gang of a session.
type Placement struct {
	// Token is the offset of the Place record. It is also the fencing token of the tasks.
	Token    int64              `json:"token"`
	Session  string             `json:"session"`
	Team     string             `json:"team"`
	Shape    placement.Shape    `json:"shape"`
	Borrowed bool               `json:"borrowed"`
	Phase    PlacementPhase     `json:"phase"`
	Members  []placement.Member `json:"members"`
	// Released lists the workers whose accelerators are free again.
	Released []string `json:"released,omitempty"`
	// Progress is the minimum work covered by the checkpoints of the released members.
	Progress time.Duration `json:"progress_ns"`
	Reason   string        `json:"reason,omitempty"`
	// For is the session for which a stopping placement was reclaimed.
	For string `json:"for,omitempty"`
	// Since is when the session was placed, by the clock of the record's proposer, in ms since
	// 1970.
	Since int64 `json:"since"`
}

// IsReleased reports whether the member on the worker has been released.
func (p Placement) IsReleased(worker string) bool {
	for _, name := range p.Released {
		if name == worker {
			return true
		}
	}
	return false
}

// Member returns the member on the worker, if there is one.
func (p Placement) Member(worker string) (placement.Member, bool) {
	for _, m := range p.Members {
		if m.Worker == worker {
			return m, true
		}
	}
	return placement.Member{}, false
}
