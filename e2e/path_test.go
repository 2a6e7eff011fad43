package e2e

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

var plates = ledger.Team{
	Name:  "plates",
	Share: 2,
	Guarantees: []placement.Guarantee{
		{Shape: placement.Shape{Accelerators: 16, Adjacency: placement.SameRack}, Count: 1},
	},
}

func call(body, key string) request.Call {
	return request.Call{
		Service: service, Team: "plates", Key: key, NotRepeatable: key != "", DeadlineMillis: 30_000, Body: body,
	}
}

func TestWholePath(t *testing.T) {
	c := newCluster(t)
	c.putTeam(plates)

	p := c.createGang("night-plates")
	racks := map[int]bool{}
	for _, m := range p.Members {
		var number int
		fmt.Sscanf(m.Worker, "worker-%d", &number)
		racks[(number-1)/3] = true
	}
	if len(racks) != 1 || len(p.Members) != 2 {
		t.Errorf("the gang is on %v, want two workers of one rack", p.Members)
	}

	answer, err := c.client(0).Send(t.Context(), call("plate 1", ""))
	if err != nil || answer.Outcome != request.Done || answer.Body != "ran plate 1" {
		t.Errorf("repeatable request: %+v, %v", answer, err)
	}
	key, err := c.client(0).Key(t.Context(), service)
	if err != nil {
		t.Fatal(err)
	}
	for entry := range 2 {
		answer, err = c.client(entry).Send(t.Context(), call("pay 1", key))
		if err != nil || answer.Outcome != request.Done || answer.Body != "ran pay 1" {
			t.Errorf("entry %d, not repeatable: %+v, %v", entry, answer, err)
		}
	}
	if n := c.runs("pay 1"); n != 1 {
		t.Errorf("the payment ran %d times, want once", n)
	}

	limits := ledger.Limits{QueueLength: 5, RetryPercent: 5, MaxDeadlineMillis: 40_000}
	put, err := c.client(1).PutConfig(t.Context(), ledger.LimitsKey, limits, 0, "e2e")
	if err != nil {
		t.Fatal(err)
	}
	c.eventually("the configuration is in force on all entries and agents", func() bool {
		return c.configInForce(put.Revision)
	})
}

// configInForce reports whether both entries and all agents have the configuration of the revision,
// or a newer one.
func (c *cluster) configInForce(revision int64) bool {
	status, err := c.client(0).Status(c.t.Context())
	if err != nil {
		return false
	}
	newest := map[string]int64{}
	for _, e := range status.Entries {
		if e.ConfigRevision < revision {
			return false
		}
		for _, a := range e.Agents {
			newest[a.Worker] = max(newest[a.Worker], a.ConfigRevision)
		}
	}
	for _, a := range c.agents {
		if newest[a.name] < revision {
			return false
		}
	}
	return true
}

// TestPlannedStops stops an agent and an entry while requests are held at their targets. No request
// may be aborted.
func TestPlannedStops(t *testing.T) {
	c := newCluster(t)
	c.putTeam(plates)
	const requests = 24
	release := c.holdAll()
	answers := c.sendHeld(t, requests)
	c.agents[0].signal(syscall.SIGTERM)
	c.entries[1].signal(syscall.SIGTERM)
	c.eventually("the first entry reads from the ledger that the agent is leaving", func() bool {
		workers, err := c.client(0).Workers(t.Context())
		return err == nil && workers[0].Leaving
	})
	// The requests are held until the entry has closed its listener at the end of its drain. Only
	// then does the test show whether the entry waits for them.
	c.eventually("the entry has closed its listener", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(c.entries[1].address, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	// New requests avoid the draining agent while its old ones are still held.
	before := c.targets[0].total()
	release()
	for range requests {
		if a := <-answers; a.Outcome != request.Done {
			t.Errorf("a request in flight was aborted: %+v", a)
		}
	}
	for i := range 20 {
		answer, err := c.client(0).Send(t.Context(), call(fmt.Sprintf("later %d", i), ""))
		if err != nil || answer.Outcome != request.Done {
			t.Errorf("request after the stop: %+v, %v", answer, err)
		}
	}
	if after := c.targets[0].total(); after != before {
		t.Errorf("the leaving target got %d new requests", after-before)
	}
	<-c.agents[0].Done()
	<-c.entries[1].Done()
	for _, p := range []*process{c.agents[0], c.entries[1]} {
		if code := p.ExitCode(); code != 0 {
			t.Errorf("%s exited with code %d, want 0", p.name, code)
		}
	}
}

// sendHeld sends requests through both entries and waits until all have reached their targets,
// which hold them.
func (c *cluster) sendHeld(t *testing.T, requests int) <-chan request.Answer {
	t.Helper()
	answers := make(chan request.Answer, requests)
	for i := range requests {
		go func() {
			answer, err := c.client(i%2).Send(t.Context(), call(fmt.Sprintf("held %d", i), ""))
			if err != nil {
				answer.Reason = err.Error()
			}
			answers <- answer
		}()
	}
	c.eventually("all requests are at their targets", func() bool {
		n := 0
		for i := range requests {
			n += c.runs(fmt.Sprintf("held %d", i))
		}
		return n == requests
	})
	return answers
}

func (tg *target) total() int {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	n := 0
	for _, runs := range tg.runs {
		n += runs
	}
	return n
}
