package oracle

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// The payments of TestKeySchemes: 20 a second for 20 s, and something that happens 5 s after the
// first.
const (
	schemePayments = 400
	schemePause    = 50 * time.Millisecond
	schemeEvent    = 5 * time.Second
	// schemeOutage is longer than a lease, as outages of the log are.
	schemeOutage = 10 * time.Second
	// logDelay is the platform's time for an append or a read.
	logDelay = 4 * time.Millisecond
	// birthWait is how long a new home refuses under the birth rule: the old home's lease, and a
	// margin for clocks.
	birthWait = 6 * time.Second
)

// scheme is a way to run a payment at most once. It reports whether the payment is done.
type scheme func(s *system, i int, sinceEvent time.Duration) bool

// byTicket is what the system does: a key of one incarnation, got from an entry.
func byTicket(s *system, i int, _ time.Duration) bool {
	key, err := s.caller(i%entryCount).Key(s.ctx, service)
	if err != nil {
		return false
	}
	return s.payOnce(i, key)
}

// byClaim appends a claim to the log and reads it back, and then sends the payment anywhere.
func byClaim(s *system, i int, _ time.Duration) bool {
	offset, err := s.platform.Append(s.ctx, "claims", fmt.Append(nil, i))
	if err != nil {
		return false
	}
	if _, err := s.platform.Read(s.ctx, "claims", offset, 1, 0); err != nil {
		return false
	}
	return s.payOnce(i, "")
}

// byBirth is the rule that was not built, as far as it decides who is refused: a key's home is
// found by rendezvous, and refuses while it is new. killed is the agent that is replaced; during an
// outage of the log no home can renew.
func byBirth(killed int, outage bool) scheme {
	return func(s *system, i int, sinceEvent time.Duration) bool {
		var names []string
		for a := range agentCount {
			names = append(names, workerName(a))
		}
		home := membership.Order(fmt.Sprint(i), names)[0]
		if home == workerName(killed) && sinceEvent >= 0 && sinceEvent < birthWait {
			return false
		}
		if outage && sinceEvent >= birthWait && sinceEvent < schemeOutage {
			return false
		}
		return s.payOnce(i, "")
	}
}

func (s *system) payOnce(i int, key string) bool {
	answer, err := s.caller(i%entryCount).Send(s.ctx, request.Call{
		Service:        service,
		Team:           "wards",
		Key:            key,
		NotRepeatable:  key != "",
		DeadlineMillis: 1000,
		Body:           fmt.Sprintf("pay %d", i),
	})
	return err == nil && answer.Outcome == request.Done
}

// TestKeySchemes compares ways to run a payment at most once by the share that is done at the first
// try. With -v it prints the table of docs/MEASUREMENTS.md.
func TestKeySchemes(t *testing.T) {
	tests := []struct {
		name   string
		scheme scheme
		event  func(s *system)
		least  float64
		most   float64
	}{
		{"ticket, quiet", byTicket, func(*system) {}, 1, 1},
		{"ticket, log down", byTicket, logDown, 1, 1},
		{"ticket, an agent is replaced", byTicket, replaceAgent, 0.98, 1},
		{"claim, quiet", byClaim, func(*system) {}, 1, 1},
		{"claim, log down", byClaim, logDown, 0.4, 0.6},
		{"claim, an agent is replaced", byClaim, replaceAgent, 0.98, 1},
		{"birth, quiet", byBirth(-1, false), func(*system) {}, 1, 1},
		{"birth, log down", byBirth(-1, true), logDown, 0.7, 0.9},
		{"birth, an agent is replaced", byBirth(0, false), replaceAgent, 0.9, 0.98},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystemOf(t, 1, agentCount, 8)
				s.declare()
				s.platform.SetFaults(standin.Faults{Delay: logDelay})
				done := s.runPayments(tt.scheme, tt.event)
				s.stop()
				share := float64(done) / schemePayments
				t.Logf("| %s | %.1f %% |", tt.name, 100*share)
				if share < tt.least || share > tt.most {
					t.Errorf("%.3f are done, want %.2f to %.2f", share, tt.least, tt.most)
				}
			})
		})
	}
}

func logDown(s *system) {
	s.platform.SetFaults(standin.Faults{Down: true})
	time.Sleep(schemeOutage)
	s.platform.SetFaults(standin.Faults{Delay: logDelay})
}

func replaceAgent(s *system) {
	s.killAgent(0)
	time.Sleep(time.Second)
	s.startAgent(0)
}

// runPayments sends the payments while the event happens, and returns how many are done.
func (s *system) runPayments(pay scheme, event func(s *system)) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	done := 0
	began := time.Now()
	wg.Go(func() {
		time.Sleep(schemeEvent)
		event(s)
	})
	for i := range schemePayments {
		wg.Go(func() {
			if pay(s, i, time.Since(began)-schemeEvent) {
				mu.Lock()
				done++
				mu.Unlock()
			}
		})
		time.Sleep(schemePause)
	}
	wg.Wait()
	return done
}
