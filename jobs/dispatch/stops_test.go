package dispatch

import (
	"testing"
	"time"
)

// TestStopTimes: until some stops were seen a usual time is taken; then most of the newest take no longer than what is said.
func TestStopTimes(t *testing.T) {
	var s stopDurations
	for range stopsNeeded - 1 {
		s.record(900 * time.Millisecond)
	}
	if got := s.expected(); got != defaultStop {
		t.Errorf("after %d stops it is %v, want %v", stopsNeeded-1, got, defaultStop)
	}
	s.record(900 * time.Millisecond)
	if got := s.expected(); got != 900*time.Millisecond {
		t.Errorf("where all stops take 0.9 s it is %v", got)
	}
	for i := range stopsKept {
		s.record(time.Duration(i) * 10 * time.Millisecond)
	}
	if got := s.expected(); got != 500*time.Millisecond {
		t.Errorf("where stops take up to 0.63 s it is %v, want 0.5 s", got)
	}
}
