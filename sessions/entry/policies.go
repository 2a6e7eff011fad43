package entry

import (
	"encoding/json"
	"strings"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

// policies is the compiled set of policies of one configuration revision.
type policies struct {
	revision int64
	set      *policy.Set
}

// compilePolicies compiles and publishes the policies if the configuration has changed.
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
		// The ledger has validated the value, but this version may be unable to decode it. Such a
		// value becomes a policy that always fails, so that its safe default applies.
		if err := json.Unmarshal(entry.Value, &p); err != nil {
			p.Name = strings.TrimPrefix(entry.Key, ledger.PolicyPrefix)
		}
		list = append(list, p)
	}
	e.policies.Store(&policies{
		revision: state.ConfigRevision(),
		set:      policy.NewSet(list, e.recordPolicyFailure),
	})
}

func (e *Entry) recordPolicyFailure(name string, err error) {
	e.deps.Telemetry.Metrics.Counter("policy_failures").Inc(1)
	e.deps.Telemetry.Log.Error().Str("step", "policy.run").Str("policy", name).Err(err).
		Msg("policy failed; its safe default applies")
}
