package entry

import (
	"encoding/json"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// The golden values set every exported field.
var (
	goldenShape   = placement.Shape{Accelerators: 2, Adjacency: placement.SameRack}
	goldenSession = ledger.Session{
		SessionSpec: ledger.SessionSpec{Name: "session-1", Team: "plates", Shape: goldenShape, Urgent: true, Work: 3600},
		Phase:       ledger.SessionPlaced, Token: 7, Progress: 90 * time.Second, Since: 1_700_000_000_001, Created: 6,
		Restarts: 2, Trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	}
	goldenPlacement = ledger.Placement{
		Token: 7, Session: "session-1", Team: "plates", Shape: goldenShape, Borrowed: true, Phase: ledger.Stopping,
		Members:  []placement.Member{{Worker: "worker-1", Accelerators: []int{1, 3}}},
		Released: []string{"worker-1"}, Progress: 80 * time.Second, Reason: "yields", For: "session-2",
		Since: 1_700_000_000_002,
	}
	goldenEntitlement = placement.Entitlement{Team: "plates", Shape: goldenShape, Count: 3, Used: 1}
)

func TestGoldenSessionView(t *testing.T) {
	goldentest.JSON(t, "session-view", SessionView{Session: goldenSession, Placement: &goldenPlacement})
	goldentest.JSON(t, "explanation", Explanation{Session: goldenSession, Lines: []string{"it waits"}})
}

func TestGoldenTeamView(t *testing.T) {
	goldentest.JSON(t, "team-view", TeamView{
		Team: ledger.Team{
			Name: "plates", Guarantees: []placement.Guarantee{{Shape: goldenShape, Count: 3}}, Share: 2,
		},
		Entitlements: []placement.Entitlement{goldenEntitlement}, Sessions: 4,
	})
}

func TestGoldenConfigPut(t *testing.T) {
	goldentest.JSON(t, "config-put", ConfigPut{
		Value:    json.RawMessage(`{"profile":"completion"}`),
		Revision: 4,
		Author:   "ada",
	})
	goldentest.JSON(t, "put-answer", PutAnswer{Revision: 5})
}

func TestGoldenStatus(t *testing.T) {
	goldentest.JSON(t, "status", Status{
		Entries: []membership.EntryStatus{{
			EntryInfo: membership.EntryInfo{
				Name:    "entry-1",
				Region:  "region-1",
				Zone:    "zone-1",
				Address: "http://10.1.0.9:7100",
			},
			Revision: 9, ConfigRevision: 5, LogReachable: true, SinceLogMillis: 100, Leaving: true,
			Agents: []membership.AgentStatus{{
				Worker: "worker-1", Incarnation: "incarnation-1", ConfigRevision: 4, Leaving: true, SinceViewMillis: 1500,
				Running: 2, Waiting: 3,
			}},
			Error: "no answer",
		}},
		Shortfall: []placement.Entitlement{goldenEntitlement},
	})
}

func TestGoldenKey(t *testing.T) {
	goldentest.JSON(t, "key-request", KeyRequest{Service: "parkpay"})
	goldentest.JSON(t, "key-answer", KeyAnswer{Key: "worker-1~incarnation-1~0190163d-8694-739b-aea5-966c26f8ad91"})
}
