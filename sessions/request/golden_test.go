package request

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

// goldenKey is a key created by an earlier version.
const goldenKey = "worker-1~incarnation-1~0190163d-8694-739b-aea5-966c26f8ad91"

func TestGoldenCall(t *testing.T) {
	goldentest.JSON(t, "call", Call{
		Service: "parkpay", Team: "plates", Key: goldenKey, NotRepeatable: true, DeadlineMillis: 5000, Body: "pay 42",
	})
}

func TestGoldenHop(t *testing.T) {
	goldentest.JSON(t, "hop", AgentRequest{
		ID: "id-1", Service: "parkpay", Team: "plates", Key: goldenKey, LeftMillis: 4900, Body: "pay 42",
	})
}

func TestGoldenAnswer(t *testing.T) {
	goldentest.JSON(t, "answer", Answer{
		ID: "id-1", Outcome: Done, Status: 200, Body: "paid", Digest: DigestOf("paid"), Reason: "why",
		RetryAfterMillis: 500, Target: "worker-1", Leaving: true,
	})
}

// TestGoldenKey checks that a key stored by a caller is still parsed and formatted the same way.
func TestGoldenKey(t *testing.T) {
	goldentest.Bytes(t, "key.txt", []byte(goldenKey))
	key, err := ParseKey(string(goldentest.Read(t, "key.txt")))
	if err != nil || key.Worker != "worker-1" || key.Incarnation != "incarnation-1" || key.String() != goldenKey {
		t.Errorf("parsed %+v, %v", key, err)
	}
	created := time.Date(2024, 6, 14, 10, 14, 9, 300_000_000, time.UTC)
	if !key.createdAt().Equal(created) {
		t.Errorf("created at %v, want %v", key.createdAt().UTC(), created)
	}
}
