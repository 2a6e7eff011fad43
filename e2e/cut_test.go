package e2e

import (
	"fmt"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/loopback"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// TestCutFromLog cuts each entry in turn off from the platform, while it still reaches the agents.
// Running tasks continue, both entries serve requests and payments, and the other entry places
// sessions. The changes that the other entry accepted take effect at the cut entry at the latest
// when the cut ends.
func TestCutFromLog(t *testing.T) {
	c := newCluster(t, fastGangTiming...)
	c.putTeam(plates)
	p := c.createGang("rebuild")
	all := []string{"rebuild"}
	for i := range c.entries {
		cut, other := c.entries[i], c.client(1-i)
		cut.platform.Cut()
		// The two sessions run on different workers, so it is likely that the agent of one of them
		// polls the entry that is cut off.
		names := []string{fmt.Sprintf("swap-%d-a", i), fmt.Sprintf("swap-%d-b", i)}
		for _, name := range names {
			c.createUrgent(other, name)
		}
		for _, name := range names {
			c.eventually(name+" runs while an entry is cut off", func() bool {
				v, err := other.Session(t.Context(), name)
				return err == nil && v.Placement != nil && c.tasks(v.Placement.Token) == 1
			})
		}
		for e := range c.entries {
			c.payOnce(t, e)
		}
		if n := c.tasks(p.Token); n != len(p.Members) {
			t.Errorf("%d of %d tasks run while an entry is cut off from the log", n, len(p.Members))
		}
		cut.platform.Heal()
		c.eventually("the entry has caught up with the log", func() bool {
			v, err := c.client(i).Session(t.Context(), names[1])
			return err == nil && v.Placement != nil && v.Placement.Phase == ledger.Running
		})
		all = append(all, names...)
	}
	for _, name := range all {
		if v, err := c.client(0).Session(t.Context(), name); err != nil || v.Restarts != 0 {
			t.Errorf("%s: %+v, %v; want no restarts", name, v, err)
		}
	}
}

// payOnce makes a payment through an entry, and checks that it runs once.
func (c *cluster) payOnce(t *testing.T, entry int) {
	t.Helper()
	key, err := c.client(entry).Key(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.client(entry).Send(t.Context(), call("pay "+key, key))
	if err != nil || answer.Outcome != request.Done || c.runs("pay "+key) != 1 {
		t.Errorf("a payment through entry %d: %+v, %v; ran %d times", entry, answer, err, c.runs("pay "+key))
	}
}

// TestCutGang cuts the links of a gang's leader and of another member, in one direction and in
// both. No part of the gang runs alone for longer than its bound, and the gang runs again under a
// newer token after the link is healed.
func TestCutGang(t *testing.T) {
	tests := []struct {
		name string
		// member is the index, within the gang, of the agent whose link is cut.
		member int
		cut    func(p *process)
	}{
		{"the leader gets no beats", 0, func(p *process) { p.inbound.Upstream.Block() }},
		{"the leader's grants do not arrive", 0, func(p *process) { p.inbound.Downstream.Block() }},
		{"a member gets no answers from its worker", 1, func(p *process) { p.platform.Downstream.Block() }},
		{"a member does not reach its worker", 1, func(p *process) { p.platform.Upstream.Block() }},
		{"a member is cut off the leader's side and its worker", 1, func(p *process) {
			p.inbound.Cut()
			p.platform.Cut()
		}},
	}
	c := newCluster(t, fastGangTiming...)
	c.putTeam(plates)
	p := c.createGang("rebuild")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			victim := c.agent(p.Members[tt.member].Worker)
			tt.cut(victim)
			c.eventually("no part of the gang runs", func() bool { return c.tasks(p.Token) == 0 })
			partial := c.partlyRunning(p, 2*time.Second)
			victim.inbound.Heal()
			victim.platform.Heal()
			if partial {
				t.Errorf("a part of the gang runs again under token %d", p.Token)
			}
			p = c.awaitRunning("rebuild", p.Token)
		})
	}
}

// partlyRunning reports whether, at any time within d, only a part of the gang runs.
func (c *cluster) partlyRunning(p ledger.Placement, d time.Duration) bool {
	c.t.Helper()
	began, partial := time.Now(), false
	c.eventually("the observation period has ended", func() bool {
		n := c.tasks(p.Token)
		partial = partial || (n > 0 && n < len(p.Members))
		return time.Since(began) > d
	})
	return partial
}

// TestCutHome cuts the link to the agent that a payment's key names, in one direction and in both,
// before the payment is sent. The payment runs at most once, and all callers that ask after the cut
// get the same outcome.
func TestCutHome(t *testing.T) {
	c := newCluster(t)
	c.putTeam(plates)
	cuts := []func(l *loopback.Link){
		func(l *loopback.Link) { l.Upstream.Block() },
		func(l *loopback.Link) { l.Downstream.Block() },
		func(l *loopback.Link) { l.Cut() },
	}
	for i, cut := range cuts {
		body := []string{"pay 0", "pay 1", "pay 2"}[i]
		key, home := c.newKey()
		cut(home.inbound)
		answers := c.sendToAll(body, key)
		first, second := <-answers, <-answers
		home.inbound.Heal()
		c.checkOutcome(t, key, body, first, second)
	}
}
