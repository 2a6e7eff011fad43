package health

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestQuarantine: which events quarantine a worker, for how long, and whether it is on probation
// afterwards.
func TestQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	const slow, quick = time.Second, 50 * time.Millisecond
	tests := []struct {
		name      string
		events    func(h *Health)
		length    time.Duration
		probation bool
	}{
		{"one job failed", func(h *Health) { h.RunEnded(now, "a", job.EndFailed, slow) }, 0, false},
		{"one job failed twice", func(h *Health) {
			h.RunEnded(now, "a", job.EndFailed, slow)
			h.RunEnded(now, "a", job.EndFailed, slow)
		}, 0, false},
		{"two jobs failed", func(h *Health) {
			h.RunEnded(now, "a", job.EndFailed, slow)
			h.RunEnded(now, "b", job.EndFailed, slow)
		}, FirstQuarantine, true},
		{"two jobs failed, one succeeded in between", func(h *Health) {
			h.RunEnded(now, "a", job.EndFailed, slow)
			h.RunEnded(now, "c", job.EndDone, slow)
			h.RunEnded(now, "b", job.EndFailed, slow)
		}, 0, false},
		{"one failed as it began", func(h *Health) { h.RunEnded(now, "a", job.EndFailed, quick) }, FirstQuarantine, true},
		{"many failed", func(h *Health) {
			for _, id := range []job.ID{"a", "b", "c", "d", "e", "f"} {
				h.RunEnded(now, id, job.EndFailed, slow)
			}
		}, maxQuarantine, true},
		{"a start was refused", func(h *Health) { h.StartRefused(now) }, refusalQuarantine, false},
		{"a run was stopped", func(h *Health) { h.RunEnded(now, "a", job.EndStopped, quick) }, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h Health
			test.events(&h)
			if test.length > 0 && !h.Quarantined(now.Add(test.length-time.Millisecond)) {
				t.Errorf("not quarantined for %v", test.length)
			}
			if h.Quarantined(now.Add(test.length)) {
				t.Errorf("quarantined for longer than %v", test.length)
			}
			if h.OnProbation() != test.probation {
				t.Errorf("on probation: %v, want %v", h.OnProbation(), test.probation)
			}
		})
	}
}
