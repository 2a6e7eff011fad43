package oracle

import (
	"context"
	"errors"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// targetFault is how a target fails.
type targetFault int

const (
	faultNone targetFault = iota
	// faultRefuse accepts no connection.
	faultRefuse
	// faultCut runs the request and loses the answer.
	faultCut
	// faultCross answers with another request's answer.
	faultCross
	// faultSlow runs the request slowly.
	faultSlow
	targetFaults
)

// fakeTarget runs requests and counts them.
type fakeTarget struct {
	system *system
	delay  time.Duration
	mu     sync.Mutex
	fault  targetFault
}

func (f *fakeTarget) set(fault targetFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeTarget) mode() targetFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

var errCut = errors.New("cut")

// Run implements request.Target.
func (f *fakeTarget) Run(ctx context.Context, hop request.Hop) (int, string, error) {
	fault := f.mode()
	if fault == faultRefuse {
		return 0, "", &request.NotSentError{Err: errCut}
	}
	f.system.ran(hop.Body)
	delay := f.delay
	if fault == faultSlow {
		delay = time.Minute
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return 0, "", ctx.Err()
	}
	switch fault {
	case faultCut:
		return 0, "", errCut
	case faultCross:
		return 0, "", request.ErrCrossed
	}
	return 200, answerTo(hop.Body), nil
}

func answerTo(body string) string { return "ran " + body }

func (s *system) ran(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
}

func (s *system) runsOf(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}
