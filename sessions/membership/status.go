package membership

import "sort"

// Health is the answer of the health and readiness endpoints.
type Health struct {
	Healthy bool `json:"healthy"`
}

// LeavingNotice is an agent's word that it takes no new work.
type LeavingNotice struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
}

// AgentStatus is what an agent tells of itself, or what an entry knows of it.
type AgentStatus struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// ConfigRevision is that of the configuration in force at the agent.
	ConfigRevision int64 `json:"config_revision"`
	Leaving        bool  `json:"leaving"`
	// SinceViewMillis is the time since the agent and an entry last spoke, in milliseconds.
	SinceViewMillis int64 `json:"since_view_ms"`
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
}

// EntryStatus is what an entry tells of itself.
type EntryStatus struct {
	EntryInfo
	// Revision is that of the newest record folded in.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// LogReachable says that the last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// SinceLogMillis is the time since the last good read, in milliseconds.
	SinceLogMillis int64 `json:"since_log_ms"`
	Leaving        bool  `json:"leaving"`
	// Agents are those that poll this entry.
	Agents []AgentStatus `json:"agents"`
	// Error says why the entry could not be asked.
	Error string `json:"error,omitempty"`
}

// EntryOrder sorts entries for an agent: those of its zone first, then those of its region, and
// among equals in the agent's own order, so that agents spread over entries and each has the
// same second choice all the time.
func EntryOrder(worker, region, zone string, entries []EntryInfo) []EntryInfo {
	distance := func(e EntryInfo) int {
		switch {
		case e.Region != region:
			return 2
		case e.Zone != zone:
			return 1
		}
		return 0
	}
	list := append([]EntryInfo(nil), entries...)
	sort.Slice(list, func(i, j int) bool {
		if a, b := distance(list[i]), distance(list[j]); a != b {
			return a < b
		}
		return score(worker, list[i].Address) > score(worker, list[j].Address)
	})
	return list
}
