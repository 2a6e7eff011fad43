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
	// faultRefuse refuses connections.
	faultRefuse
	// faultCut runs the request and loses the response.
	faultCut
	// faultCrossed runs the request and reports a response that belongs to another request.
	faultCrossed
	// faultSlow runs the request slowly.
	faultSlow
	targetFaultCount
)

// fakeTarget is a request.Target that counts the requests it runs and injects faults.
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

func (f *fakeTarget) currentFault() targetFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

var errCut = errors.New("cut")

// Run implements request.Target.
func (f *fakeTarget) Run(ctx context.Context, hop request.AgentRequest) (int, string, error) {
	fault := f.currentFault()
	if fault == faultRefuse {
		return 0, "", &request.NotSentError{Err: errCut}
	}
	f.system.recordRun(hop.Body)
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
	case faultCrossed:
		return 0, "", request.ErrIDMismatch
	}
	return 200, responseTo(hop.Body), nil
}

func responseTo(body string) string { return "ran " + body }

func (s *system) recordRun(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
}

func (s *system) runsOf(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}
