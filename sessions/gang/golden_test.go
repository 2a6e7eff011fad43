package gang

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

func TestGoldenBeat(t *testing.T) {
	goldentest.JSON(t, "beat", Heartbeat{Token: 7, Worker: "worker-1", Status: Running, Progress: time.Minute})
	goldentest.JSON(t, "grant", Grant{Run: true, Stop: true})
	goldentest.JSON(t, "report", Report{Token: 7, Ready: true, Finished: true, Progress: time.Minute, Failed: "why"})
}

// TestGoldenStatus checks the values of Status, which heartbeats contain.
func TestGoldenStatus(t *testing.T) {
	goldentest.JSON(t, "statuses", []Status{Preparing, Ready, Running, Finished, Failed, Stopped})
}
