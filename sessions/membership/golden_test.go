package membership

import (
	"encoding/json"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
)

// The golden values, with every exported field set.
var (
	goldenInfo  = EntryInfo{Name: "entry-1", Region: "region-1", Zone: "zone-1", Address: "http://10.1.0.9:7100"}
	goldenAgent = AgentStatus{
		Worker: "worker-1", Incarnation: "incarnation-1", ConfigRevision: 4, Leaving: true, SinceViewMillis: 1500,
		Running: 2, Waiting: 3,
	}
)

func TestGoldenPoll(t *testing.T) {
	goldentest.JSON(t, "poll-request", PollRequest{
		Worker: "worker-1", Incarnation: "incarnation-1", Revision: 8, ConfigRevision: 4, Leaving: true,
		Gangs:   []gang.Report{{Token: 7, Ready: true, Finished: true, Progress: time.Minute, Failed: "why"}},
		Stopped: []StoppedMember{{Token: 6, Progress: 2 * time.Minute}},
	})
	goldentest.JSON(t, "view", View{
		Revision: 9, ConfigRevision: 5,
		Config: []ConfigItem{{Key: "placement", Revision: 5, Value: json.RawMessage(`{"profile":"completion"}`)}},
		Assignments: []Assignment{{
			Token: 7, Session: "session-1", Phase: ledger.Running, Accelerators: []int{1, 3},
			Members: []Peer{{Worker: "worker-1", Address: "http://10.1.0.1:7200"}}, Work: time.Hour,
			Checkpoint: time.Minute, Trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		}},
		Entries: []EntryInfo{goldenInfo},
	})
	goldentest.JSON(t, "assignment", Assignment{
		Token: 7, Session: "session-1", Phase: ledger.Running, Accelerators: []int{1, 3},
		Members: []Peer{{Worker: "worker-1", Address: "http://10.1.0.1:7200"}}, Work: time.Hour,
		Checkpoint: time.Minute, Trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	})
}

func TestGoldenJoinAndLeave(t *testing.T) {
	goldentest.JSON(t, "join-answer", JoinAnswer{Joined: 5})
	goldentest.JSON(t, "leaving-notice", LeavingNotice{Worker: "worker-1", Incarnation: "incarnation-1"})
}

func TestGoldenStatus(t *testing.T) {
	goldentest.JSON(t, "health", Health{Healthy: true})
	goldentest.JSON(t, "ping-answer", PingAnswer{EntryInfo: goldenInfo, LogReachable: true})
	goldentest.JSON(t, "agent-status", goldenAgent)
	goldentest.JSON(t, "entry-status", EntryStatus{
		EntryInfo: goldenInfo, Revision: 9, ConfigRevision: 5, LogReachable: true, SinceLogMillis: 100, Leaving: true,
		Agents: []AgentStatus{goldenAgent}, Error: "no answer",
	})
}
