package estimate

import "testing"

// TestSpeedsChange: a worker that has become slow is found out after a few runs.
func TestSpeedsChange(t *testing.T) {
	var s Speed
	for range 20 {
		s.Record(-0.2)
	}
	if s.Class() != Fast {
		t.Errorf("after 20 fast runs its class is %d", s.Class())
	}
	for range 6 {
		s.Record(1.9)
	}
	if s.Class() != Slow {
		t.Errorf("after 6 runs at a seventh of the speed its class is %d", s.Class())
	}
}
