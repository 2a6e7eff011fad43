package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync/atomic"
	"testing"

	"yarrowgrade.example/yarrowgrade/client"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/agent"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// BenchmarkAgent measures one agent that runs in its own process: idle, and as the leader of a gang
// of 2, 16 and 64 members.
func BenchmarkAgent(b *testing.B) {
	for _, members := range []int{1, 2, 16, 64} {
		b.Run(fmt.Sprintf("gang=%d", members), func(b *testing.B) {
			for b.Loop() {
				measureLeader(b, members)
			}
		})
	}
}

// measureLeader runs the leader of a gang in its own process, and sends the heartbeats of the other
// members from this process.
func measureLeader(b *testing.B, members int) {
	p := standin.New()
	server := httptest.NewServer(standin.Handler(p))
	b.Cleanup(server.Close)
	var bytes atomic.Int64
	entry, leader := freeAddresses(b, 1)[0], freeAddresses(b, 1)[0]
	e := newProcess(b, "entry", "http://"+entry, filepath.Join(b.TempDir(), "entry.log"),
		"entry", "--name", "entry", "--zone", "z", "--listen", entry, "--platform", server.URL, "--log-level", "warn")
	e.start()
	b.Cleanup(e.kill)
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	b.Cleanup(target.Close)
	a := newProcess(b, "agent", "http://"+leader, filepath.Join(b.TempDir(), "agent.log"),
		"agent", "--name", "a-leader", "--zone", "z", "--rack", "r", "--accelerators", "1", "--listen", leader,
		"--service", service, "--target", target.URL, "--platform", server.URL, "--entries", "http://"+entry,
		"--log-level", "warn")
	a.start()
	b.Cleanup(a.kill)
	s := &swarm{
		b:        b,
		platform: p,
		entries:  []*process{e},
		client:   client.New(e.address, &http.Client{Timeout: waitTimeout}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	beats := countingClient(&bytes)
	for i := range members - 1 {
		go newMember(i, e.address, p, beats).Run(ctx)
	}
	s.runGang(ctx, members)
	report(b, a.ID(), bytes.Load)
}

// runGang waits for the agents of a gang, creates its session, and waits until its last member
// runs.
func (s *swarm) runGang(ctx context.Context, members int) {
	s.b.Helper()
	s.eventually(func() bool {
		workers, err := s.client.Workers(ctx)
		return err == nil && len(workers) == members
	})
	team := ledger.Team{Name: "wards", Share: 1}
	if _, err := s.client.PutConfigWhenReady(ctx, ledger.TeamPrefix+team.Name, team, "capacity"); err != nil {
		s.b.Fatal(err)
	}
	spec := ledger.SessionSpec{
		Name:  "gang",
		Team:  team.Name,
		Shape: placement.Shape{Accelerators: members, Adjacency: placement.SameZone},
	}
	if _, err := s.client.CreateSession(ctx, spec); err != nil {
		s.b.Fatal(err)
	}
	s.eventually(func() bool {
		v, err := s.client.Session(ctx, spec.Name)
		return err == nil && v.Placement != nil && s.runs(v.Placement.Members[members-1].Worker, v.Placement.Token)
	})
}

// newMember returns an agent with one accelerator that is a member of the gang.
func newMember(i int, entry string, p *standin.Platform, client *http.Client) *agent.Agent {
	return agent.New(agent.Settings{
		Worker: ledger.Worker{
			Name:         fmt.Sprintf("w%04d", i),
			Zone:         "z",
			Rack:         "r",
			Accelerators: 1,
			Address:      "http://127.0.0.1:1",
			Incarnation:  "one",
		},
		Entries: []string{entry},
		Timing:  gang.DefaultTiming(),
	}, agent.Dependencies{Platform: p, Client: client, Telemetry: telemetry.Discard(), Random: rand.IntN})
}

// BenchmarkKey compares the cost of a request without a key, with a key, including the round trip
// to get it, and with a claim that is written to the log instead.
func BenchmarkKey(b *testing.B) {
	c := newCluster(b)
	c.putTeam(plates)
	cl := c.client(0)
	send := func(b *testing.B, key string) {
		if a, err := cl.Send(context.Background(), call("x", key)); err != nil || a.Outcome != request.Done {
			b.Fatalf("%+v, %v", a, err)
		}
	}
	b.Run("without", func(b *testing.B) {
		for b.Loop() {
			send(b, "")
		}
	})
	b.Run("with", func(b *testing.B) {
		for b.Loop() {
			key, err := cl.Key(context.Background(), service)
			if err != nil {
				b.Fatal(err)
			}
			send(b, key)
		}
	})
	b.Run("claim-in-log", func(b *testing.B) {
		// This is the least that a claim in the log would add: one append that is read back. The
		// stand-in's log has no delay.
		log := hosting.NewClient(c.platformURL, http.DefaultClient)
		for b.Loop() {
			offset, err := log.Append(context.Background(), "claims", []byte("x"))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := log.Read(context.Background(), "claims", offset, 1, 0); err != nil {
				b.Fatal(err)
			}
			send(b, "")
		}
	})
}
