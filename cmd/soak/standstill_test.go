package main

import (
	"testing"
	"testing/synctest"
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

// TestStandstillHidesNoLoss: a standstill gives jobs the time that it took and no more, so a job that
// never ends still counts as lost.
func TestStandstillHidesNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &standstill{}
		s.add(time.Minute)
		began, stood := time.Now(), s.length()
		time.Sleep(200*time.Second + settleTimeout - time.Second)
		s.add(200 * time.Second)
		if running := s.running(began, stood); running >= settleTimeout {
			t.Errorf("after a standstill of 200 s jobs had %v, and want %v", running, settleTimeout)
		}
		time.Sleep(time.Second)
		s.add(standstillAfter - time.Millisecond)
		if running := s.running(began, stood); running < settleTimeout {
			t.Errorf("they had %v, and would be waited for longer than %v", running, settleTimeout)
		}
	})
}
