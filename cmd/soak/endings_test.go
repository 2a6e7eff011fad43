package main

import (
	"testing"
	"time"
)

// TestMayBeForgotten: a job that is not known counts as lost unless an entry has told its end, and
// callers may no longer ask for it.
func TestMayBeForgotten(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		told time.Duration
		want bool
	}{
		{"its end was never told", 0, false},
		{"told a moment ago", time.Second, false},
		{"told a second less than callers may ask", statusRetention - time.Second, false},
		{"told long ago", statusRetention, true},
	}
	for _, test := range tests {
		e := endings{}
		if test.told > 0 {
			e.note("a", "completed", now.Add(-test.told))
			e.note("a", "completed", now)
		}
		if got := e.mayBeForgotten("a", now); got != test.want {
			t.Errorf("%s: it may be forgotten: %v, want %v", test.name, got, test.want)
		}
	}
}
