package ledger

import (
	"encoding/json"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

// Keys of the configuration. Each team has the key "team/NAME", each policy "policy/NAME".
const (
	LimitsKey    = "limits"
	PlacementKey = "placement"
	TeamPrefix   = "team/"
	PolicyPrefix = "policy/"
)

// historyLimit is the number of earlier values kept per entry.
const historyLimit = 8

// maxValueBytes is the maximum size of a value. With 450 changes a day and 140 agents per entry,
// values of this size cause 12 KB/s of poll traffic.
const maxValueBytes = 16 << 10

// Change is a value of an entry, with its author and the time of the change in ms since 1970.
type Change struct {
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
	Author   string          `json:"author"`
	At       int64           `json:"at"`
}

// ConfigEntry is the current value of a key. History has the earlier values, newest first.
type ConfigEntry struct {
	Key string `json:"key"`
	Change
	History []Change `json:"history,omitempty"`
}

// WithChange returns the entry with a new value.
func (e ConfigEntry) WithChange(c Change) ConfigEntry {
	history := append([]Change{e.Change}, e.History...)
	if e.Revision == 0 {
		history = nil
	}
	if len(history) > historyLimit {
		history = history[:historyLimit]
	}
	return ConfigEntry{Key: e.Key, Change: c, History: history}
}

// Team is a customer, with its guarantees.
type Team struct {
	Name       string                `json:"name"`
	Guarantees []placement.Guarantee `json:"guarantees"`
	// Share is the team's weight when teams compete for the slots of a target, 1 to 1000.
	Share int `json:"share"`
}

// Defaults returns the team with defaults for omitted fields.
func (t Team) Defaults() Team {
	if t.Share == 0 {
		t.Share = 1
	}
	for i := range t.Guarantees {
		t.Guarantees[i].Shape = t.Guarantees[i].Shape.WithDefaults()
		if t.Guarantees[i].Count == 0 {
			t.Guarantees[i].Count = 1
		}
	}
	return t
}

// Bounds of a team.
const (
	maxShare      = 1000
	maxGuarantees = 16
	maxCount      = 256
)

// Validate returns a *fault.Field for the first invalid field.
func (t Team) Validate() error {
	if !namePattern.MatchString(t.Name) {
		return fault.BadField("name", "want 1 to 63 of a-z, 0-9, '.', '_' and '-', got %q", t.Name)
	}
	if t.Share < 1 || t.Share > maxShare {
		return fault.BadField("share", "want 1 to %d, got %d", maxShare, t.Share)
	}
	if len(t.Guarantees) > maxGuarantees {
		return fault.BadField("guarantees", "want at most %d, got %d", maxGuarantees, len(t.Guarantees))
	}
	for _, g := range t.Guarantees {
		if err := g.Shape.Validate("guarantees"); err != nil {
			return err
		}
		if g.Count < 1 || g.Count > maxCount {
			return fault.BadField("guarantees.count", "want 1 to %d, got %d", maxCount, g.Count)
		}
	}
	return nil
}

// Limits configures the limits of the request path.
type Limits struct {
	// QueueLength is the maximum number of requests queued at an agent.
	QueueLength int `json:"queue_length"`
	// RetryPercent is the number of retries that an entry may make per 100 requests.
	RetryPercent int `json:"retry_percent"`
	// MaxDeadlineMillis is the longest deadline that a caller may request, in ms.
	MaxDeadlineMillis int64 `json:"max_deadline_ms"`
}

// DefaultLimits returns the limits that apply until an operator sets others.
func DefaultLimits() Limits {
	return Limits{QueueLength: 64, RetryPercent: 10, MaxDeadlineMillis: 60_000}
}

// Bounds of Limits.
const (
	maxQueueLength    = 10_000
	maxDeadlineMillis = int64(10 * time.Minute / time.Millisecond)
)

// Validate returns a *fault.Field for the first invalid field.
func (l Limits) Validate() error {
	if l.QueueLength < 0 || l.QueueLength > maxQueueLength {
		return fault.BadField("queue_length", "want 0 to %d, got %d", maxQueueLength, l.QueueLength)
	}
	if l.RetryPercent < 0 || l.RetryPercent > 100 {
		return fault.BadField("retry_percent", "want 0 to 100, got %d", l.RetryPercent)
	}
	if l.MaxDeadlineMillis < 1 || l.MaxDeadlineMillis > maxDeadlineMillis {
		return fault.BadField("max_deadline_ms", "want 1 to %d, got %d", maxDeadlineMillis, l.MaxDeadlineMillis)
	}
	return nil
}

// PlacementConfig selects the placement profile.
type PlacementConfig struct {
	// Profile is "completion" or "fragmentation".
	Profile string `json:"profile"`
}

// Names of the placement profiles.
const (
	CompletionFirst    = "completion"
	FragmentationFirst = "fragmentation"
)

// Validate returns a *fault.Field for the first invalid field.
func (p PlacementConfig) Validate() error {
	if p.Profile != CompletionFirst && p.Profile != FragmentationFirst {
		return fault.BadField("profile", "want %s or %s, got %q", CompletionFirst, FragmentationFirst, p.Profile)
	}
	return nil
}

// ValidateConfig validates the value of a key. Its errors name the field.
func ValidateConfig(key string, value json.RawMessage) error {
	if len(value) > maxValueBytes {
		return fault.BadField("value", "want at most %d bytes, got %d", maxValueBytes, len(value))
	}
	switch {
	case key == LimitsKey:
		limits := DefaultLimits()
		return decodeValid(value, &limits)
	case key == PlacementKey:
		return decodeValid(value, &PlacementConfig{})
	case strings.HasPrefix(key, TeamPrefix):
		t, err := decodeTeam(value)
		if err != nil {
			return err
		}
		return checkName(t.Name, strings.TrimPrefix(key, TeamPrefix))
	case strings.HasPrefix(key, PolicyPrefix):
		var p policy.Policy
		if err := decodeValid(value, &p); err != nil {
			return err
		}
		return checkName(p.Name, strings.TrimPrefix(key, PolicyPrefix))
	}
	return fault.BadField("key", "want %s, %s, %sNAME or %sNAME, got %q",
		LimitsKey, PlacementKey, TeamPrefix, PolicyPrefix, key)
}

// validator is a value that can validate itself.
type validator interface{ Validate() error }

func decodeValid(value json.RawMessage, out validator) error {
	if err := fault.Decode(value, out); err != nil {
		return err
	}
	return out.Validate()
}

func decodeTeam(value json.RawMessage) (Team, error) {
	var t Team
	if err := fault.Decode(value, &t); err != nil {
		return Team{}, err
	}
	t = t.Defaults()
	return t, t.Validate()
}

func checkName(name, keyName string) error {
	if name != keyName {
		return fault.BadField("name", "is %q, but the key names %q", name, keyName)
	}
	return nil
}
