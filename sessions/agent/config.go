package agent

import (
	"encoding/json"
	"maps"
	"strings"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// config is the configuration of an agent. It is immutable after it is published.
type config struct {
	revision int64
	limits   ledger.Limits
	shares   map[string]int
}

func newConfig() *config {
	return &config{limits: ledger.DefaultLimits(), shares: make(map[string]int)}
}

// share returns a team's weight. An unknown team has the smallest weight, 1.
func (c *config) share(team string) int { return max(1, c.shares[team]) }

// with returns the configuration after a view. A view that is not newer changes nothing, so the
// configuration never reverts to an older revision.
func (c *config) with(v membership.View) *config {
	if v.ConfigRevision <= c.revision {
		return c
	}
	next := &config{revision: v.ConfigRevision, limits: c.limits, shares: maps.Clone(c.shares)}
	for _, item := range v.Config {
		next.apply(item)
	}
	return next
}

// apply sets one value. The ledger has validated the value, but this version may be unable to
// decode it; in that case the earlier value stays in force.
func (c *config) apply(item membership.ConfigItem) {
	switch {
	case item.Key == ledger.LimitsKey:
		limits := ledger.DefaultLimits()
		if json.Unmarshal(item.Value, &limits) == nil {
			c.limits = limits
		}
	case strings.HasPrefix(item.Key, ledger.TeamPrefix):
		var t ledger.Team
		if json.Unmarshal(item.Value, &t) == nil {
			c.shares[t.Name] = t.Defaults().Share
		}
	}
}
