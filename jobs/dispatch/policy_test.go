package dispatch

import (
	"strings"
	"testing"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

func TestPolicy(t *testing.T) {
	all := Policy{}
	some, err := all.Without("preemption", "quarantine")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range Mechanisms() {
		if !all.Has(m) || some.Has(m) == (m == Preemption || m == Quarantine) {
			t.Errorf("%s is enabled: %v, after disabling some: %v", m, all.Has(m), some.Has(m))
		}
	}
	_, err = all.Without("preemptions")
	if err == nil {
		t.Fatal("an unknown mechanism is accepted")
	}
	if !strings.Contains(err.Error(), `"preemptions"`) || !strings.Contains(err.Error(), "preemption-budget") {
		t.Errorf("the error for an unknown mechanism is %v", err)
	}
}

// TestWithoutPreemption: an urgent job waits for free capacity if preemption is disabled.
func TestWithoutPreemption(t *testing.T) {
	b := newFixture(t, 1, 1)
	var err error
	if b.controller.settings.Policy, err = (Policy{}).Without(string(Preemption)); err != nil {
		t.Fatal(err)
	}
	preempted := b.job(2, "", job.Step{Tasks: 1})
	b.plan(0)
	b.job(0, "", job.Step{Tasks: 1})
	b.plan(0)
	if len(preempted.stops) != 0 {
		t.Error("work is stopped for an urgent job")
	}
}
