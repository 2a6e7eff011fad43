package ledger

import (
	"regexp"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// namePattern is what sessions, teams and policies may be called. Names stand in paths and logs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// maxWork bounds the expected run time of a session.
const maxWork = 90 * 24 * time.Hour

// maxTrace bounds a traceparent, in bytes; it has 55 today.
const maxTrace = 128

// SessionSpec is what an operator asks for.
type SessionSpec struct {
	Name  string          `json:"name"`
	Team  string          `json:"team"`
	Shape placement.Shape `json:"shape"`
	// Urgent sessions go first and may take borrowed room back.
	Urgent bool `json:"urgent,omitempty"`
	// Work is how long the session runs, in seconds; zero runs until it is cancelled.
	Work int64 `json:"work_seconds,omitempty"`
}

// Defaults returns the spec with its optional fields filled.
func (s SessionSpec) Defaults() SessionSpec {
	s.Shape = s.Shape.Defaults()
	return s
}

// Validate returns a *fault.Field for the first field that is wrong.
func (s SessionSpec) Validate() error {
	if !namePattern.MatchString(s.Name) {
		return fault.BadField("name", "want 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit, got %q", s.Name)
	}
	if !namePattern.MatchString(s.Team) {
		return fault.BadField("team", "want the name of a team, got %q", s.Team)
	}
	if s.Work < 0 || s.Work > int64(maxWork/time.Second) {
		return fault.BadField("work_seconds", "want 0 to %d, got %d", int64(maxWork/time.Second), s.Work)
	}
	return s.Shape.Validate("shape")
}

// SessionPhase is the stage of a session's life.
type SessionPhase string

// The phases. A session leaves SessionWaiting and SessionPlaced only through a record that ends it.
const (
	SessionWaiting   SessionPhase = "waiting"
	SessionPlaced    SessionPhase = "placed"
	SessionFinished  SessionPhase = "finished"
	SessionCancelled SessionPhase = "cancelled"
)

// Session is a long gang job. It stays until a record ends it.
type Session struct {
	SessionSpec
	Phase SessionPhase `json:"phase"`
	// Token is that of the current placement while Phase is SessionPlaced.
	Token int64 `json:"token,omitempty"`
	// Progress is the work that the last whole checkpoint holds.
	Progress time.Duration `json:"progress_ns"`
	// Since is when the current phase began, by the clock of the record's proposer, in
	// milliseconds.
	Since int64 `json:"since"`
	// Created is the offset of the record that created it.
	Created int64 `json:"created"`
	// Restarts counts the placements that ended before the work was done.
	Restarts int `json:"restarts"`
	// Trace is the W3C traceparent of the call that created it, if that was traced.
	Trace string `json:"trace,omitempty"`
}

// Ended reports whether the session's life is over.
func (s Session) Ended() bool { return s.Phase == SessionFinished || s.Phase == SessionCancelled }

// PlacementPhase is the stage of a placement.
type PlacementPhase string

// The phases of a placement.
const (
	Preparing PlacementPhase = "preparing"
	Running   PlacementPhase = "running"
	Stopping  PlacementPhase = "stopping"
)

// Placement is a gang's hold on its accelerators.
type Placement struct {
	// Token is the offset of the record that made it, and its fencing token.
	Token    int64              `json:"token"`
	Session  string             `json:"session"`
	Team     string             `json:"team"`
	Shape    placement.Shape    `json:"shape"`
	Borrowed bool               `json:"borrowed"`
	Phase    PlacementPhase     `json:"phase"`
	Members  []placement.Member `json:"members"`
	// Released has the names of the workers that are free again.
	Released []string `json:"released,omitempty"`
	// Progress is the least work that the checkpoints of the released members hold.
	Progress time.Duration `json:"progress_ns"`
	Reason   string        `json:"reason,omitempty"`
	// For is the session that a stopping placement makes room for.
	For string `json:"for,omitempty"`
	// Since is when it was placed, in milliseconds.
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

// Member returns the part on the worker.
func (p Placement) Member(worker string) (placement.Member, bool) {
	for _, m := range p.Members {
		if m.Worker == worker {
			return m, true
		}
	}
	return placement.Member{}, false
}
