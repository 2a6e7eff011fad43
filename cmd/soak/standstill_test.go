package main

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/platform/standin"
)

// TestStandstill: only a process that is late by seconds takes the machine for standing still, so
// that a busy machine gets no more time than a free one.
func TestStandstill(t *testing.T) {
	s := &standstill{}
	for _, late := range []time.Duration{0, time.Second, standstillAfter - time.Millisecond} {
		s.addLate(late)
	}
	if got := s.length(); got != 0 {
		t.Errorf("on a busy machine it is %v, want none", got)
	}
	s.addLate(200 * time.Second)
	s.addLate(20 * time.Second)
	if got := s.length(); got != 220*time.Second {
		t.Errorf("it is %v, want 3m40s", got)
	}
}

// TestStandstillHidesNoLoss: a standstill gives jobs the time that it took and no more, so a job that
// never ends still counts as lost.
func TestStandstillHidesNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &standstill{}
		s.addLate(time.Minute)
		began, stood := time.Now(), s.length()
		time.Sleep(200*time.Second + settleTimeout - time.Second)
		s.addLate(200 * time.Second)
		if running := s.running(began, stood); running >= settleTimeout {
			t.Errorf("after a standstill of 200 s jobs had %v, and want %v", running, settleTimeout)
		}
		time.Sleep(time.Second)
		s.addLate(standstillAfter - time.Millisecond)
		if running := s.running(began, stood); running < settleTimeout {
			t.Errorf("they had %v, and would be waited for longer than %v", running, settleTimeout)
		}
	})
}

// addLate adds a wake-up that is late by a time, and happens now.
func (s *standstill) addLate(late time.Duration) {
	now := time.Now()
	s.add(now.Add(-late), now)
}

// TestHeldCalls: a call that is answered late counts as held by the system, and one without an answer
// as cut, unless this process itself stood still for so long; then it is told as that.
func TestHeldCalls(t *testing.T) {
	answered := standin.Response{Status: http.StatusOK}
	timedOut := standin.Response{Err: context.DeadlineExceeded}
	brokenOff := standin.Response{Err: io.EOF}
	tests := []struct {
		name   string
		answer standin.Response
		took   time.Duration
		// late is by how much this process was woken late, before is how long before the answer came.
		late, before time.Duration
		// want begins the lines that are told.
		want []string
	}{
		{"answered in time", answered, answerLimit, 0, 0, nil},
		{"held by the system", answered, 3 * time.Second, 0, 0, []string{"HELD"}},
		{"read late", answered, 3 * time.Second, 3 * time.Second, 0, []string{"late reading"}},
		{"held while this process stood still for less than a second", answered, 3 * time.Second, gapAfter - time.Millisecond, 0, []string{"HELD"}},
		{"held, and read late", answered, 6 * time.Second, 3 * time.Second, 0, []string{"HELD"}},
		{"this process stood still before the call", answered, 3 * time.Second, 3 * time.Second, 4 * time.Second, []string{"HELD"}},
		{"not answered", timedOut, 3 * time.Second, 0, 0, []string{"CUT", "HELD"}},
		{"given up late", timedOut, 3 * time.Second, 3 * time.Second, 0, []string{"late reading"}},
		{"broken off while this process stood still", brokenOff, 3 * time.Second, 3 * time.Second, 0, []string{"CUT"}},
		{"broken off", brokenOff, time.Second, 0, 0, []string{"CUT"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &standstill{}
				woken := time.Now().Add(-test.before)
				s.add(woken.Add(-test.late), woken)
				// The goroutine that measures is woken after the answer was read.
				time.AfterFunc(standstillPause, func() { s.addLate(0) })
				cs := newCallers(&cluster{}, nil, true, s)
				test.answer.Took = test.took
				cs.judge("a call", test.answer, true)
				told := slices.Concat(cs.lateReadings, cs.violations)
				for i, line := range told {
					told[i], _, _ = strings.Cut(line, ":")
				}
				if !slices.Equal(told, test.want) {
					t.Errorf("told %v, want %v", told, test.want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
