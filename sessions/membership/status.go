package membership

import "sort"

// Health is the answer of the health and readiness endpoints.
type Health struct {
	Healthy bool `json:"healthy"`
}

// LeavingNotice tells an entry that an agent takes no new work.
type LeavingNotice struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
}

// AgentStatus is the status of an agent, as reported by itself or as known to an entry.
type AgentStatus struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// ConfigRevision is the revision of the configuration that the agent applies.
	ConfigRevision int64 `json:"config_revision"`
	Leaving        bool  `json:"leaving"`
	// SinceViewMillis is the time since the last poll or its answer, in ms.
	SinceViewMillis int64 `json:"since_view_ms"`
	// Running and Waiting are the numbers of requests. An entry does not know them.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// EntryStatus is the status of an entry.
type EntryStatus struct {
	EntryInfo
	// Revision is the offset of the newest record applied.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// LogReachable means that the last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// SinceLogMillis is the time since the last read that succeeded, in ms.
	SinceLogMillis int64 `json:"since_log_ms"`
	Leaving        bool  `json:"leaving"`
	// Agents are the agents that poll this entry.
	Agents []AgentStatus `json:"agents"`
	// Error says why the status could not be obtained; empty if it could.
	Error string `json:"error,omitempty"`
}

// EntryOrder sorts entries in a worker's order of preference: those of its zone first, then
// those of its region, and within these groups by rendezvous hashing, so that agents are spread
// over the entries.
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
