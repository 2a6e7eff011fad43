package estimate

import (
	"testing"
	"time"
)

// TestStopDurations: the default applies until enough stops were recorded; then most of the recent
// stops take no longer than expected.
func TestStopDurations(t *testing.T) {
	var s StopDurations
	for range stopsNeeded - 1 {
		s.Record(900 * time.Millisecond)
	}
	if got := s.Expected(); got != defaultStop {
		t.Errorf("after %d stops the expected duration is %v, want %v", stopsNeeded-1, got, defaultStop)
	}
	s.Record(900 * time.Millisecond)
	if got := s.Expected(); got != 900*time.Millisecond {
		t.Errorf("after stops of 0.9 s the expected duration is %v, want 0.9 s", got)
	}
	for i := range stopsKept {
		s.Record(time.Duration(i) * 10 * time.Millisecond)
	}
	if got := s.Expected(); got != 500*time.Millisecond {
		t.Errorf("after stops of up to 0.63 s the expected duration is %v, want 0.5 s", got)
	}
}
