package leader

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// agentProcess is a process of a worker's agent that keeps the highest fence that it has heard.
type agentProcess struct {
	name     string
	fence    int64
	sequence int64
}

// poll polls, and reports whether the process is heard.
func (a *agentProcess) poll(t *testing.T, fl *fleet) bool {
	t.Helper()
	a.sequence++
	p := poll(a.sequence)
	p.Agent, p.Fence = a.name, a.fence
	answer, ok := fl.serve(t.Context(), p)
	a.fence = max(a.fence, answer.Fence)
	return ok && answer.LeaseMillis > 0
}

// earlier is a fence of a term before.
func earlier(n int64) int64 { return 2<<fenceBits + n }

// TestOneOfTwoProcessesIsHeard: of two live processes of one agent that poll in turn, the newer one
// is heard within a few polls and from then on the only one.
//
// Each was offered a fence in turn, which voided the offer to the other, so neither was heard: the
// worker's lease ended, and its runs were given up.
func TestOneOfTwoProcessesIsHeard(t *testing.T) {
	tests := []struct {
		name         string
		older, newer int64
		olderFirst   bool
	}{
		{"both have a fence of an earlier term, the newer one polls first", earlier(1), earlier(2), false},
		{"both have a fence of an earlier term, the older one polls first", earlier(1), earlier(2), true},
		{"the newer one has just started and polls first", earlier(1), 0, false},
		{"the newer one has just started and polls second", earlier(1), 0, true},
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
						t.Fatalf("round %d: %q is heard, want %q", round, now, newer.name)
					}
					time.Sleep(30 * time.Millisecond)
				}
			})
		})
	}
}

// TestOlderProcessWaitsForSilence: the older process is heard once the newer one has been silent, and
// that one is not heard again beside it, neither in this term nor in the next.
func TestOlderProcessWaitsForSilence(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		older, newer := &agentProcess{name: "a", fence: earlier(1)}, &agentProcess{name: "b", fence: earlier(2)}
		for range 3 {
			older.poll(t, fl)
			newer.poll(t, fl)
		}
		time.Sleep(fl.timing.AgentTimeout - time.Millisecond)
		if older.poll(t, fl) {
			t.Error("the older process is heard before the newer one has been silent for long enough")
		}
		time.Sleep(time.Millisecond)
		older.poll(t, fl)
		if !older.poll(t, fl) {
			t.Error("the older process is not heard though the newer one is silent")
		}
		if newer.poll(t, fl) {
			t.Error("the newer process is back and heard beside the older one")
		}
		fl.open(4)
		fl.prove(fl.clock.Now())
		for range 3 {
			newer.poll(t, fl)
			older.poll(t, fl)
		}
		if now := fl.workers["w"].agent.incarnation; now != older.name {
			t.Errorf("in the next term %q is heard, want %q", now, older.name)
		}
	})
}

// TestUnansweredOfferExpires: a process that does not show the fence that it was offered keeps an
// older one from being heard only for as long as it may be silent.
func TestUnansweredOfferExpires(t *testing.T) {
	withLeases(t, func(t *testing.T, fl *fleet, _ *environment) {
		older, killed := &agentProcess{name: "a", fence: earlier(1)}, &agentProcess{name: "b", fence: earlier(2)}
		killed.poll(t, fl)
		if older.poll(t, fl); older.fence != earlier(1) {
			t.Errorf("beside an open offer to a newer process the older one is offered %d", older.fence)
		}
		time.Sleep(fl.timing.AgentTimeout)
		older.poll(t, fl)
		if !older.poll(t, fl) {
			t.Error("the older process is not heard though the newer one has not shown its fence")
		}
	})
}

// TestSupersededIsTold: only a process beside which a newer one polls is told that it is superseded.
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
			t.Error("an agent that follows a later term is told that it is superseded")
		}
		if fl.supersedes(assignment.Poll{Worker: "w", Agent: "a", Term: 3}, 4) {
			t.Error("an entry tells that an agent is superseded in a term in which another one leads")
		}
		fl.close()
		if fl.supersedes(assignment.Poll{Worker: "w", Agent: "a", Term: 3}, 3) {
			t.Error("an entry that does not lead tells that an agent is superseded")
		}
	})
}
