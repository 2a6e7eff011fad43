package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// fastGangTiming makes gangs detect a lost member within seconds; the bound is 4 s.
var fastGangTiming = []string{"--gang-beat", "500ms", "--gang-fresh", "2s", "--gang-lease", "2s"}

// TestKills kills an entry, then the agent of a gang's leader, then both at once. The session is
// kept, and runs again after each loss of the leader's agent under a newer token.
func TestKills(t *testing.T) {
	c := newCluster(t, fastGangTiming...)
	c.putTeam(plates)
	p := c.createGang("rebuild")

	c.entries[0].kill()
	if n := c.tasks(p.Token); n != len(p.Members) {
		t.Errorf("%d of %d tasks run after an entry was killed; a gang does not depend on entries", n, len(p.Members))
	}
	c.entries[0].start()
	c.eventually("the entry is back", func() bool {
		_, err := c.client(0).Session(t.Context(), "rebuild")
		return err == nil
	})

	leader := c.agent(p.Members[0].Worker)
	leader.kill()
	c.eventually("no part of the gang runs", func() bool { return c.tasks(p.Token) == 0 })
	leader.start()
	second := c.awaitRunning("rebuild", p.Token)

	leader = c.agent(second.Members[0].Worker)
	c.entries[1].kill()
	leader.kill()
	leader.start()
	c.entries[1].start()
	third := c.awaitRunning("rebuild", second.Token)
	if c.tasks(p.Token)+c.tasks(second.Token) != 0 {
		t.Errorf("tasks of older tokens run at the same time as token %d", third.Token)
	}
}

// TestFrozenMember freezes the agent of a gang's member for longer than its lease. The whole gang
// stops, and the agent does not continue after it is resumed.
func TestFrozenMember(t *testing.T) {
	c := newCluster(t, fastGangTiming...)
	c.putTeam(plates)
	p := c.createGang("rebuild")
	frozen := c.agent(p.Members[1].Worker)
	frozen.signal(syscall.SIGSTOP)
	c.eventually("no part of the gang runs", func() bool { return c.tasks(p.Token) == 0 })
	frozen.signal(syscall.SIGCONT)
	second := c.awaitRunning("rebuild", p.Token)
	if n := c.tasks(p.Token); n != 0 {
		t.Errorf("%d tasks of the old token run at the same time as token %d", n, second.Token)
	}
}

// TestFrozenHome freezes the agent that a payment's key names, before and while the payment runs.
// The payment runs at most once, and all callers that ask later get the same outcome.
func TestFrozenHome(t *testing.T) {
	c := newCluster(t)
	c.putTeam(plates)
	for round := range 4 {
		body := fmt.Sprintf("pay %d", round)
		key, home := c.newKey()
		if round%2 == 0 {
			home.signal(syscall.SIGSTOP)
		}
		answers := c.sendToAll(body, key)
		if round%2 == 1 {
			home.signal(syscall.SIGSTOP)
		}
		first, second := <-answers, <-answers
		home.signal(syscall.SIGCONT)
		c.checkOutcome(t, key, body, first, second)
	}
}

// newKey returns a key and the agent that it names.
func (c *cluster) newKey() (string, *process) {
	c.t.Helper()
	key, err := c.client(0).Key(c.t.Context(), service)
	if err != nil {
		c.t.Fatal(err)
	}
	parsed, err := request.ParseKey(key)
	if err != nil {
		c.t.Fatal(err)
	}
	return key, c.agent(parsed.Worker)
}

// sendToAll sends a payment with a short deadline through all entries at once.
func (c *cluster) sendToAll(body, key string) <-chan request.Answer {
	answers := make(chan request.Answer, entryCount)
	for entry := range entryCount {
		go func() {
			short := call(body, key)
			short.DeadlineMillis = 1500
			answer, _ := c.client(entry).Send(c.t.Context(), short)
			answers <- answer
		}()
	}
	return answers
}

// checkOutcome asks for the outcome of a key until it is final, and compares all outcomes with the
// number of times that the payment ran.
func (c *cluster) checkOutcome(t *testing.T, key, body string, outcomes ...request.Answer) {
	t.Helper()
	c.eventually("the key has an outcome", func() bool {
		answer, err := c.client(0).Send(t.Context(), call(body, key))
		outcomes = append(outcomes, answer)
		return err == nil && (answer.Outcome == request.Done || answer.Outcome == request.NotRun)
	})
	runs := c.runs(body)
	if runs > 1 {
		t.Errorf("%s ran %d times", body, runs)
	}
	for _, a := range outcomes {
		if a.Outcome == request.NotRun && runs > 0 {
			t.Errorf("%s ran, but a caller got the outcome not_run: %s", body, a.Reason)
		}
		if a.Outcome == request.Done && a.Body != "ran "+body {
			t.Errorf("%s got the answer %q", body, a.Body)
		}
	}
}

// TestKilledHome kills the agent that a payment's key names while the payment is at its target, and
// restarts the agent. The key names the old incarnation, so the payment is not run again.
func TestKilledHome(t *testing.T) {
	c := newCluster(t)
	c.putTeam(plates)
	key, err := c.client(0).Key(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := request.ParseKey(key)
	if err != nil {
		t.Fatal(err)
	}
	release := c.holdAll()
	answers := make(chan request.Answer, 1)
	go func() {
		answer, _ := c.client(0).Send(t.Context(), call("pay", key))
		answers <- answer
	}()
	c.eventually("the payment is at its target", func() bool { return c.runs("pay") == 1 })
	home := c.agent(parsed.Worker)
	home.kill()
	if a := <-answers; a.Outcome != request.Unknown {
		t.Errorf("a payment whose agent was killed: %+v, want unknown", a)
	}
	home.start()
	release()
	c.eventually("the agent is back under a new incarnation", func() bool {
		workers, err := c.client(0).Workers(t.Context())
		for _, w := range workers {
			if w.Name == parsed.Worker {
				return err == nil && w.Incarnation != parsed.Incarnation
			}
		}
		return false
	})
	for entry := range 2 {
		a, err := c.client(entry).Send(t.Context(), call("pay", key))
		if err != nil || a.Outcome != request.Unknown {
			t.Errorf("the payment sent again: %+v, %v; want unknown", a, err)
		}
	}
	if n := c.runs("pay"); n != 1 {
		t.Errorf("the payment ran %d times, want once", n)
	}
}

// TestLogDown makes the log unavailable for longer than a lease. Running tasks continue, requests
// are served, and changes are accepted again when the log is back.
func TestLogDown(t *testing.T) {
	c := newCluster(t, fastGangTiming...)
	c.putTeam(plates)
	p := c.createGang("rebuild")
	c.platform.SetFaults(faultDown)
	began := time.Now()
	c.eventually("the entry sees that the log is down", func() bool {
		status, err := c.client(0).Status(t.Context())
		return err == nil && !status.Entries[0].LogReachable
	})
	// This is longer than the bound of 4 s: a lease that depended on the log would have expired.
	c.eventually("the bound has passed", func() bool { return time.Since(began) > 6*time.Second })
	if n := c.tasks(p.Token); n != len(p.Members) {
		t.Errorf("%d of %d tasks run while the log is down", n, len(p.Members))
	}
	key, err := c.client(0).Key(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.client(1).Send(t.Context(), call("pay", key))
	if err != nil || answer.Outcome != request.Done {
		t.Errorf("a payment while the log is down: %+v, %v", answer, err)
	}
	c.platform.SetFaults(faultNone)
	c.eventually("a change is accepted again", func() bool {
		_, err := c.client(0).PutConfig(t.Context(), ledger.LimitsKey, ledger.DefaultLimits(), 0, "e2e")
		return err == nil
	})
}

// TestFrozenEntry freezes each entry in turn. The other entry places sessions, and after the frozen
// one is resumed, none of its proposals takes effect twice.
func TestFrozenEntry(t *testing.T) {
	c := newCluster(t)
	c.putTeam(plates)
	for i := range c.entries {
		frozen, other := c.entries[i], c.client(1-i)
		frozen.signal(syscall.SIGSTOP)
		name := fmt.Sprintf("swap-%d", i)
		c.createUrgent(other, name)
		c.eventually(name+" runs while an entry is frozen", func() bool {
			v, err := other.Session(t.Context(), name)
			return err == nil && v.Placement != nil && v.Placement.Phase == ledger.Running
		})
		frozen.signal(syscall.SIGCONT)
		c.eventually("the resumed entry has caught up with the log", func() bool {
			v, err := c.client(i).Session(t.Context(), name)
			return err == nil && v.Placement != nil && v.Placement.Phase == ledger.Running
		})
	}
	for i := range c.entries {
		v, err := c.client(0).Session(t.Context(), fmt.Sprintf("swap-%d", i))
		if err != nil || v.Restarts != 0 || v.Placement == nil || c.tasks(v.Placement.Token) != 1 {
			t.Errorf("session %d: %+v, %v; want it to run once, without restarts", i, v, err)
		}
	}
}
