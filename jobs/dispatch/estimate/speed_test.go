package estimate

import "testing"

// TestSpeedsChange: a worker that becomes slow is detected after a few runs.
func TestSpeedsChange(t *testing.T) {
	var s Speed
	for range 20 {
		s.Record(-0.2)
	}
	if s.Class() != Fast {
		t.Errorf("class after 20 fast runs is %d, want fast", s.Class())
	}
	for range 6 {
		s.Record(1.9)
	}
	if s.Class() != Slow {
		t.Errorf("class after 6 runs at a seventh of the speed is %d, want slow", s.Class())
	}
}
