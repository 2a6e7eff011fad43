package policy

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// load reads and validates a policy from the examples directory.
func load(t testing.TB, path string) Policy {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", path))
	if err != nil {
		t.Fatal(err)
	}
	var p Policy
	if err := fault.Decode(data, &p); err != nil {
		t.Fatal(err)
	}
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	return p
}

// TestExamples evaluates each example policy for subjects that it matches and for others.
func TestExamples(t *testing.T) {
	tests := []struct {
		file    string
		subject Subject
		want    int // 0 or 1 for a boolean result
	}{
		{"parkomat/payments-once.json", Subject{Kind: RequestKind, Service: "payments"}, 1},
		{"parkomat/payments-once.json", Subject{Kind: RequestKind, Service: "plates"}, 0},
		{"parkomat/payments-once.json", Subject{Kind: SessionKind}, 0},
		{"parkomat/batch-yields-first.json", Subject{Kind: SessionKind, Team: "notices", WorkSeconds: 60}, 0},
		{"parkomat/batch-yields-first.json", Subject{Kind: SessionKind, Team: "plates", WorkSeconds: 60}, 80},
		{"parkomat/batch-yields-first.json", Subject{Kind: SessionKind, Team: "plates"}, 40},
		{"parkomat/barriers-only-small.json", Subject{Kind: RequestKind, Team: "barriers", Bytes: 5000}, 0},
		{"parkomat/barriers-only-small.json", Subject{Kind: RequestKind, Team: "barriers", Bytes: 50}, 1},
		{"tawazun/payouts-once.json", Subject{Kind: RequestKind, Service: "payouts"}, 1},
		{"tawazun/payouts-once.json", Subject{Kind: RequestKind, Service: "swaps"}, 0},
		{"tawazun/rebuilds-yield-to-swaps.json", Subject{Kind: SessionKind, Accelerators: 16}, 10},
		{"tawazun/rebuilds-yield-to-swaps.json", Subject{Kind: SessionKind, Accelerators: 2}, 50},
		{"tawazun/rebuilds-yield-to-swaps.json", Subject{Kind: SessionKind, Urgent: true, Accelerators: 16}, 100},
		{"tawazun/members-only.json", Subject{Kind: SessionKind, Team: "clinics", Accelerators: 16}, 1},
		{"tawazun/members-only.json", Subject{Kind: SessionKind, Team: "clinics", Accelerators: 17}, 0},
		{"tawazun/members-only.json", Subject{Kind: RequestKind, Team: "strangers"}, 0},
	}
	for _, tt := range tests {
		p := load(t, tt.file)
		set := NewSet([]Policy{p}, func(name string, err error) { t.Errorf("%s: %v", name, err) })
		got := set.YieldRank(tt.subject)
		switch p.Decides {
		case Allow:
			allowed, _ := set.Allowed(tt.subject)
			got = toInt(allowed)
		case NotRepeatable:
			once, _ := set.NotRepeatable(tt.subject)
			got = toInt(once)
		}
		if got != tt.want {
			t.Errorf("%s of %+v: got %d, want %d", tt.file, tt.subject, got, tt.want)
		}
	}
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestRefused checks that invalid programs are rejected with the position of the error.
func TestRefused(t *testing.T) {
	for _, tt := range []struct{ name, source, want string }{
		{"does not parse", "team ==", "line 1"},
		{"has an unknown name", "customer == \"a\"", "line 1, column 1"},
		{"gives another type", "team", "bool"},
		{"compares what can't be compared", "bytes == \"x\"", "line 1"},
		{"loops", "all(1..1000000, # > 0)", "source"},
		{"has a range", "bytes in 1..9", "range"},
		{"is empty", " ", "empty"},
		{"is too large", strings.Repeat("urgent || ", 150) + "urgent", "source"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := Policy{Name: "p", Decides: Allow, Source: tt.source}.Validate()
			var field *fault.Field
			if !errors.As(err, &field) || field.Name != "source" || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want an error of source with %q", err, tt.want)
			}
		})
	}
	if err := (Policy{Name: "p", Decides: YieldRank, Source: "bytes / accelerators"}).Validate(); err == nil {
		t.Error("a rank that is not an integer was accepted")
	}
	err := (Policy{Name: "p", Decides: "other", Source: "true"}).Validate()
	if err == nil || !strings.Contains(err.Error(), "decides") {
		t.Errorf("unknown question: got %v, want an error of decides", err)
	}
}

// TestSafeSide evaluates policies that do not compile, as after a downgrade to a version without a
// function, or that fail at run time. Each must yield the safe result and be reported.
func TestSafeSide(t *testing.T) {
	failures := 0
	set := NewSet([]Policy{
		{Name: "a", Decides: Allow, Source: "new_function()"},
		{Name: "b", Decides: NotRepeatable, Source: "new_function()"},
		{Name: "c", Decides: YieldRank, Source: "bytes % accelerators"},
	}, func(string, error) { failures++ })
	if allowed, name := set.Allowed(Subject{}); allowed || name != "a" {
		t.Error("a failing policy allows the subject")
	}
	if once, _ := set.NotRepeatable(Subject{}); !once {
		t.Error("a failing policy allows a request to be repeated")
	}
	if rank := set.YieldRank(Subject{}); rank != MaxYieldRank {
		t.Errorf("a failing policy yields rank %d, want %d", rank, MaxYieldRank)
	}
	if failures == 0 {
		t.Error("no failure was reported")
	}
}

// FuzzPolicy checks that every source is either rejected or evaluated without a panic.
func FuzzPolicy(f *testing.F) {
	f.Add("team == \"a\" && bytes < 10")
	f.Add("let x = 1; x > 0 ? urgent : !urgent")
	f.Fuzz(func(t *testing.T, source string) {
		p := Policy{Name: "p", Decides: Allow, Source: source}
		if p.Validate() == nil {
			NewSet([]Policy{p}, nil).Allowed(Subject{Kind: RequestKind, Team: "a"})
		}
	})
}

// BenchmarkPolicy measures one evaluation of a policy.
func BenchmarkPolicy(b *testing.B) {
	set := NewSet([]Policy{load(b, "tawazun/members-only.json")}, nil)
	subject := Subject{Kind: SessionKind, Team: "board", Accelerators: 64}
	for b.Loop() {
		set.Allowed(subject)
	}
}
