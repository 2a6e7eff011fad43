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

// TestKeySchemes sends 20 payments per second for 20 s. An event occurs 5 s after the first one.
const (
	schemePayments   = 400
	schemeInterval   = 50 * time.Millisecond
	schemeEventDelay = 5 * time.Second
	// schemeOutage is longer than a lease, as outages of the log usually are.
	schemeOutage = 10 * time.Second
	// logDelay is the platform's latency for an append or a read.
	logDelay = 4 * time.Millisecond
	// ownerGracePeriod is how long a new owner of a key refuses requests in the birth scheme. It is
	// the lease of the former owner plus a margin for clock differences.
	ownerGracePeriod = 6 * time.Second
)

// scheme sends payment i so that it runs at most once, and reports whether the payment is done.
// sinceEvent is the time since the event of the test; it is negative before the event.
type scheme func(s *system, i int, sinceEvent time.Duration) bool

// byIncarnationKey is the scheme of the system, called ticket in the tests: an entry issues a key
// that is bound to one incarnation of an agent.
func byIncarnationKey(s *system, i int, _ time.Duration) bool {
	key, err := s.caller(i%entryCount).Key(s.ctx, service)
	if err != nil {
		return false
	}
	return s.payOnce(i, key)
}

// byLogClaim is the scheme called claim: it appends a claim to the log and reads it back, and then
// sends the payment to any agent.
func byLogClaim(s *system, i int, _ time.Duration) bool {
	offset, err := s.platform.Append(s.ctx, "claims", fmt.Append(nil, i))
	if err != nil {
		return false
	}
	if _, err := s.platform.Read(s.ctx, "claims", offset, 1, 0); err != nil {
		return false
	}
	return s.payOnce(i, "")
}

// byOwnerGrace is the scheme called birth, an alternative that the system does not implement. It
// models only which payments are refused: rendezvous hashing selects the owner of a key, and a new
// owner refuses requests during its grace period. replaced is the agent that is replaced; during an
// outage of the log no owner can renew its lease.
func byOwnerGrace(replaced int, outage bool) scheme {
	return func(s *system, i int, sinceEvent time.Duration) bool {
		var names []string
		for a := range agentCount {
			names = append(names, workerName(a))
		}
		owner := membership.RendezvousOrder(fmt.Sprint(i), names)[0]
		if owner == workerName(replaced) && sinceEvent >= 0 && sinceEvent < ownerGracePeriod {
			return false
		}
		if outage && sinceEvent >= ownerGracePeriod && sinceEvent < schemeOutage {
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

// TestKeySchemes compares schemes that run a payment at most once by the fraction of payments that
// are done at the first attempt. With -v it prints the table of docs/MEASUREMENTS.md.
func TestKeySchemes(t *testing.T) {
	tests := []struct {
		name     string
		scheme   scheme
		event    func(s *system)
		minShare float64
		maxShare float64
	}{
		{"ticket, quiet", byIncarnationKey, func(*system) {}, 1, 1},
		{"ticket, log down", byIncarnationKey, logDown, 1, 1},
		{"ticket, an agent is replaced", byIncarnationKey, replaceAgent, 0.98, 1},
		{"claim, quiet", byLogClaim, func(*system) {}, 1, 1},
		{"claim, log down", byLogClaim, logDown, 0.4, 0.6},
		{"claim, an agent is replaced", byLogClaim, replaceAgent, 0.98, 1},
		{"birth, quiet", byOwnerGrace(-1, false), func(*system) {}, 1, 1},
		{"birth, log down", byOwnerGrace(-1, true), logDown, 0.7, 0.9},
		{"birth, an agent is replaced", byOwnerGrace(0, false), replaceAgent, 0.9, 0.98},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystemOf(t, 1, agentCount, 8)
				s.setUpTeams()
				s.platform.SetFaults(standin.Faults{Delay: logDelay})
				done := s.runPayments(tt.scheme, tt.event)
				s.stop()
				share := float64(done) / schemePayments
				t.Logf("| %s | %.1f %% |", tt.name, 100*share)
				if share < tt.minShare || share > tt.maxShare {
					t.Errorf("a fraction of %.3f is done, want %.2f to %.2f", share, tt.minShare, tt.maxShare)
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

// runPayments sends the payments, triggers the event meanwhile, and returns the number of payments
// that are done.
func (s *system) runPayments(pay scheme, event func(s *system)) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	done := 0
	began := time.Now()
	wg.Go(func() {
		time.Sleep(schemeEventDelay)
		event(s)
	})
	for i := range schemePayments {
		wg.Go(func() {
			if pay(s, i, time.Since(began)-schemeEventDelay) {
				mu.Lock()
				done++
				mu.Unlock()
			}
		})
		time.Sleep(schemeInterval)
	}
	wg.Wait()
	return done
}
