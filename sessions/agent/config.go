package agent

import (
	"encoding/json"
	"maps"
	"strings"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// config is the configuration in force at an agent. It is immutable.
type config struct {
	revision int64
	limits   ledger.Limits
	shares   map[string]int
}

func newConfig() *config {
	return &config{limits: ledger.DefaultLimits(), shares: make(map[string]int)}
}

// share is a team's weight. One that is not known counts as 1, the least there is.
func (c *config) share(team string) int { return max(1, c.shares[team]) }

// with returns the configuration after a view. A view that is older than the configuration
// changes nothing, so that what is in force never reverts.
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

// apply reads one value. The ledger has validated it; what this version can't read keeps its
// earlier value.
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
