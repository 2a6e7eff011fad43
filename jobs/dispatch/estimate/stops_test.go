package estimate

import (
	"testing"
	"time"
)

// TestStopDurations: the default holds until some stops were recorded; then most of the newest
// take no longer than expected.
func TestStopDurations(t *testing.T) {
	var s StopDurations
	for range stopsNeeded - 1 {
		s.Record(900 * time.Millisecond)
	}
	if got := s.Expected(); got != defaultStop {
		t.Errorf("after %d stops it is %v, want %v", stopsNeeded-1, got, defaultStop)
	}
	s.Record(900 * time.Millisecond)
	if got := s.Expected(); got != 900*time.Millisecond {
		t.Errorf("where all stops take 0.9 s it is %v", got)
	}
	for i := range stopsKept {
		s.Record(time.Duration(i) * 10 * time.Millisecond)
	}
	if got := s.Expected(); got != 500*time.Millisecond {
		t.Errorf("where stops take up to 0.63 s it is %v, want 0.5 s", got)
	}
}
