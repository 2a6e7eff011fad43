package leader

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// agentProcess is a process of a worker's agent. It keeps the highest fence that it has received.
type agentProcess struct {
	name     string
	fence    int64
	sequence int64
}

// poll sends a poll, and reports whether the process is the active one.
func (a *agentProcess) poll(t *testing.T, fl *fleet) bool {
	t.Helper()
	a.sequence++
	p := poll(a.sequence)
	p.Agent, p.Fence = a.name, a.fence
	answer, ok := fl.serve(t.Context(), p)
	a.fence = max(a.fence, answer.Fence)
	return ok && answer.LeaseMillis > 0
}

// priorFence returns the n-th fence of the previous term.
func priorFence(n int64) int64 { return 2<<fenceBits + n }

// TestOneOfTwoProcessesIsHeard checks that of two live processes of one agent that poll
// alternately, the newer one becomes active within a few polls and stays the only active one.
//
// It guards against offering fences to both processes in turn. Each offer invalidated the one to
// the other process, so neither became active, the worker's lease expired, and its runs were lost.
func TestOneOfTwoProcessesIsHeard(t *testing.T) {
	tests := []struct {
		name         string
		older, newer int64
		olderFirst   bool
	}{
		{"both have a fence of an earlier term, the newer one polls first", priorFence(1), priorFence(2), false},
		{"both have a fence of an earlier term, the older one polls first", priorFence(1), priorFence(2), true},
		{"the newer one has just started and polls first", priorFence(1), 0, false},
		{"the newer one has just started and polls second", priorFence(1), 0, true},
		{"both have just started", 0, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
				older, newer := &agentProcess{name: "a", fence: test.older}, &agentProcess{name: "b", fence: test.newer}
				first, second := newer, older
				if test.olderFirst {
					first, second = older, newer
				}
				for round := range 40 {
					first.poll(t, fl)
					second.poll(t, fl)
					if now := fl.workers["w"].agent.incarnation; round >= 2 && now != newer.name {
						t.Fatalf("round %d: process %q is active, want %q", round, now, newer.name)
					}
					time.Sleep(30 * time.Millisecond)
				}
			})
		})
	}
}

// TestOlderProcessWaitsForSilence checks that the older process becomes active once the newer one
// has been silent, and that the newer one does not become active again while the older one polls,
// in this term or the next.
func TestOlderProcessWaitsForSilence(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		older, newer := &agentProcess{name: "a", fence: priorFence(1)}, &agentProcess{name: "b", fence: priorFence(2)}
		for range 3 {
			older.poll(t, fl)
			newer.poll(t, fl)
		}
		time.Sleep(fl.timing.AgentTimeout - time.Millisecond)
		if older.poll(t, fl) {
			t.Error("the older process is active before the newer one has been silent for AgentTimeout")
		}
		time.Sleep(time.Millisecond)
		older.poll(t, fl)
		if !older.poll(t, fl) {
			t.Error("the older process is not active although the newer one is silent")
		}
		if newer.poll(t, fl) {
			t.Error("the newer process is active again while the older one polls")
		}
		fl.open(4)
		fl.recordProof(fl.clock.Now())
		for range 3 {
			newer.poll(t, fl)
			older.poll(t, fl)
		}
		if now := fl.workers["w"].agent.incarnation; now != older.name {
			t.Errorf("in the next term, process %q is active, want %q", now, older.name)
		}
	})
}

// TestUnansweredOfferExpires checks that a process that does not show its offered fence blocks an
// older process only until AgentTimeout has elapsed.
func TestUnansweredOfferExpires(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		older, killed := &agentProcess{name: "a", fence: priorFence(1)}, &agentProcess{name: "b", fence: priorFence(2)}
		killed.poll(t, fl)
		if older.poll(t, fl); older.fence != priorFence(1) {
			t.Errorf("during an open offer to a newer process, the older one is offered fence %d", older.fence)
		}
		time.Sleep(fl.timing.AgentTimeout)
		older.poll(t, fl)
		if !older.poll(t, fl) {
			t.Error("the older process is not active although the newer one has not shown its offered fence")
		}
	})
}

// TestSupersededIsTold checks that only a process with a newer active process receives a response
// that marks it as superseded.
func TestSupersededIsTold(t *testing.T) {
	withCandidate(t, func(t *testing.T, c *Candidate, _ *environment, _ *bytes.Buffer) {
		fl := c.fleet
		recordLeader(t, c, 3)
		older, newer := &agentProcess{name: "a"}, &agentProcess{name: "b"}
		older.poll(t, fl)
		newer.poll(t, fl)
		poll := `{"worker":"w","agent":"a","seq":9,"term":3}`
		goldentest.Bytes(t, "served-superseded.txt", served(c.ServePoll, http.MethodPost, assignment.Path, poll))
		if fl.supersedes(assignment.Poll{Worker: "w", Agent: "a", Term: 4}, 3) {
			t.Error("an agent that knows a later term is reported as superseded")
		}
		if fl.supersedes(assignment.Poll{Worker: "w", Agent: "a", Term: 3}, 4) {
			t.Error("an agent is reported as superseded in a term in which another entry leads")
		}
		fl.close()
		if fl.supersedes(assignment.Poll{Worker: "w", Agent: "a", Term: 3}, 3) {
			t.Error("an entry that does not lead reports an agent as superseded")
		}
	})
}
