package membership

import "sort"

// Health is the response of the health and readiness endpoints.
type Health struct {
	Healthy bool `json:"healthy"`
}

// LeavingNotice informs an entry that an agent accepts no new work.
type LeavingNotice struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
}

// AgentStatus is the status of an agent, as reported by the agent or as known to an entry.
type AgentStatus struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// ConfigRevision is the revision of the configuration that the agent has applied.
	ConfigRevision int64 `json:"config_revision"`
	Leaving        bool  `json:"leaving"`
	// SinceViewMillis is the time since the last poll or the response to it, in ms.
	SinceViewMillis int64 `json:"since_view_ms"`
	// Running and Waiting are the numbers of running and queued requests. An entry does
	// not know them and leaves them at 0.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// EntryStatus is the status of an entry.
type EntryStatus struct {
	EntryInfo
	// Revision is the offset of the newest applied record.
	Revision       int64 `json:"revision"`
	ConfigRevision int64 `json:"config_revision"`
	// LogReachable means that the last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// SinceLogMillis is the time since the last successful read of the log, in ms.
	SinceLogMillis int64 `json:"since_log_ms"`
	Leaving        bool  `json:"leaving"`
	// Agents lists the agents that poll this entry.
	Agents []AgentStatus `json:"agents"`
	// Error is the reason why the status could not be obtained; empty on success.
	Error string `json:"error,omitempty"`
}

// EntryOrder sorts entries by a worker's preference: entries in its zone first, then entries in its
// region, then all others. Within these groups the order is by rendezvous hashing, which spreads
// the agents over the entries.
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
