package entry

import (
	"encoding/json"
	"strings"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

// policies is the set of policies compiled from a configuration.
type policies struct {
	revision int64
	set      *policy.Set
}

// compilePolicies publishes the policies of the newest configuration if that has changed.
func (c *control) compilePolicies() {
	e := c.entry
	state := e.replica.State()
	if e.policies.Load().revision == state.ConfigRevision() {
		return
	}
	var list []policy.Policy
	for _, entry := range state.Config() {
		if !strings.HasPrefix(entry.Key, ledger.PolicyPrefix) {
			continue
		}
		var p policy.Policy
		// The ledger validated the value. One that this version cannot read becomes a policy that
		// fails to the safe side.
		if err := json.Unmarshal(entry.Value, &p); err != nil {
			p.Name = strings.TrimPrefix(entry.Key, ledger.PolicyPrefix)
		}
		list = append(list, p)
	}
	e.policies.Store(&policies{
		revision: state.ConfigRevision(),
		set:      policy.NewSet(list, e.policyFailed),
	})
}

func (e *Entry) policyFailed(name string, err error) {
	e.parts.Telemetry.Metrics.Counter("policy_failures").Inc(1)
	e.parts.Telemetry.Log.Error().Str("step", "policy.run").Str("policy", name).Err(err).
		Msg("policy fails to the safe side")
}
