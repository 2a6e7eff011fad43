package main

import (
	"testing"
	"time"
)

// TestStandstill: only a process that is late by seconds takes the machine for standing still, so
// that a busy machine gets no more time than a free one.
func TestStandstill(t *testing.T) {
	s := &standstill{}
	for _, late := range []time.Duration{0, time.Second, standstillAfter - time.Millisecond} {
		s.add(late)
	}
	if got := s.length(); got != 0 {
		t.Errorf("on a busy machine it is %v, want none", got)
	}
	s.add(200 * time.Second)
	s.add(20 * time.Second)
	if got := s.length(); got != 220*time.Second {
		t.Errorf("it is %v, want 3m40s", got)
	}
}
