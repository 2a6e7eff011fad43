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

// TestStandstill checks that only wake-ups that are late by several seconds count as a stall of the
// machine, so that a busy machine does not extend timeouts.
func TestStandstill(t *testing.T) {
	s := &stallMonitor{}
	for _, late := range []time.Duration{0, time.Second, minMachineStall - time.Millisecond} {
		s.recordLateWakeUp(late)
	}
	if got := s.machineStall(); got != 0 {
		t.Errorf("machine stall on a busy machine: got %v, want none", got)
	}
	s.recordLateWakeUp(200 * time.Second)
	s.recordLateWakeUp(20 * time.Second)
	if got := s.machineStall(); got != 220*time.Second {
		t.Errorf("machine stall: got %v, want 3m40s", got)
	}
}

// TestStandstillHidesNoLoss checks that a stall extends the time for jobs by its own length only,
// so that a job that never ends still counts as lost.
func TestStandstillHidesNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stallMonitor{}
		s.recordLateWakeUp(time.Minute)
		began, stalledBefore := time.Now(), s.machineStall()
		time.Sleep(200*time.Second + settleTimeout - time.Second)
		s.recordLateWakeUp(200 * time.Second)
		if runningTime := s.runningTime(began, stalledBefore); runningTime >= settleTimeout {
			t.Errorf("running time after a stall of 200 s: got %v, want less than %v", runningTime, settleTimeout)
		}
		time.Sleep(time.Second)
		s.recordLateWakeUp(minMachineStall - time.Millisecond)
		if runningTime := s.runningTime(began, stalledBefore); runningTime < settleTimeout {
			t.Errorf("running time: got %v, want at least %v", runningTime, settleTimeout)
		}
	})
}

// recordLateWakeUp records a wake-up that happens now and is late by the given time.
func (s *stallMonitor) recordLateWakeUp(late time.Duration) {
	now := time.Now()
	s.recordWakeUp(now.Add(-late), now)
}

// TestHeldCalls checks that a call that is answered late counts as held by the system, and a call
// without an answer as cut. If this process itself was stalled for that long, the call is recorded
// as a late reading instead.
func TestHeldCalls(t *testing.T) {
	answered := standin.Response{Status: http.StatusOK}
	timedOut := standin.Response{Err: context.DeadlineExceeded}
	brokenOff := standin.Response{Err: io.EOF}
	tests := []struct {
		name   string
		answer standin.Response
		took   time.Duration
		// late is the delay with which this process woke up, and before the time from the wake-up
		// to the answer.
		late, before time.Duration
		// want holds the first words of the recorded lines.
		want []string
	}{
		{"answered in time", answered, maxAnswerTime, 0, 0, nil},
		{"held by the system", answered, 3 * time.Second, 0, 0, []string{"HELD"}},
		{"read late", answered, 3 * time.Second, 3 * time.Second, 0, []string{"late reading"}},
		{
			"held while this process stood still for less than a second", answered,
			3 * time.Second, minProcessStall - time.Millisecond, 0, []string{"HELD"},
		},
		{"held, and read late", answered, 6 * time.Second, 3 * time.Second, 0, []string{"HELD"}},
		{
			"this process stood still before the call", answered,
			3 * time.Second, 3 * time.Second, 4 * time.Second, []string{"HELD"},
		},
		{"not answered", timedOut, 3 * time.Second, 0, 0, []string{"CUT", "HELD"}},
		{"given up late", timedOut, 3 * time.Second, 3 * time.Second, 0, []string{"late reading"}},
		{"broken off while this process stood still", brokenOff, 3 * time.Second, 3 * time.Second, 0, []string{"CUT"}},
		{"broken off", brokenOff, time.Second, 0, 0, []string{"CUT"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &stallMonitor{}
				woken := time.Now().Add(-test.before)
				s.recordWakeUp(woken.Add(-test.late), woken)
				// The measuring goroutine wakes up after the answer was read.
				time.AfterFunc(stallPollInterval, func() { s.recordLateWakeUp(0) })
				cs := newCallers(&cluster{}, nil, true, s)
				test.answer.Took = test.took
				cs.checkAnswer("a call", test.answer, true)
				got := slices.Concat(cs.lateReadings, cs.violations)
				for i, line := range got {
					got[i], _, _ = strings.Cut(line, ":")
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("recorded %v, want %v", got, test.want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
