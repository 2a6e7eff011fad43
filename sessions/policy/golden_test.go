package policy

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

func TestGoldenPolicy(t *testing.T) {
	goldentest.JSON(t, "policy", Policy{Name: "no-plates", Decides: Allow, Source: `team != "plates"`})
	goldentest.JSON(t, "questions", []Question{Allow, NotRepeatable, YieldRank})
}

// TestGoldenSubject checks that a stored policy that uses every field of a subject still compiles
// and matches the same subject.
func TestGoldenSubject(t *testing.T) {
	goldentest.JSON(t, "subject-policy", Policy{Name: "every-field", Decides: Allow, Source: `kind == "session" and ` +
		`team == "plates" and service == "parkpay" and bytes == 1 and session == "session-1" and accelerators == 2 and ` +
		`adjacency == "rack" and urgent and work_seconds == 3`})
	var p Policy
	if err := fault.Decode(goldentest.Read(t, "subject-policy.json"), &p); err != nil {
		t.Fatal(err)
	}
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	set := NewSet([]Policy{p}, nil)
	full := Subject{
		Kind: SessionKind, Team: "plates", Service: "parkpay", Bytes: 1, Session: "session-1", Accelerators: 2,
		Adjacency: "rack", Urgent: true, WorkSeconds: 3,
	}
	if allowed, _ := set.Allowed(full); !allowed {
		t.Error("the subject that matches the policy is not allowed")
	}
	if allowed, _ := set.Allowed(Subject{Kind: RequestKind}); allowed {
		t.Error("a subject that does not match the policy is allowed")
	}
}
