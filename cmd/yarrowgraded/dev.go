package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/client"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/agent"
	"yarrowgrade.example/yarrowgrade/sessions/entry"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

const devUsage = `
dev runs a whole system in one process, over loopback: an in-memory stand-in of the platform, two entries, and six
agents with 8 accelerators each in two racks, each with a target that echoes. It is for a first look and for trying
policies; it stores nothing. Ctrl-C ends it.

Then, in another terminal:

  yarrowgrade status
  yarrowgrade worker list
`

// The system that dev starts.
const (
	devAgents       = 6
	devAccelerators = 8
	devSlots        = 8
	devConnections  = 60
	devService      = "parkpay"
	devZone         = "plovdiv-a"
)

type devCommand struct {
	LogLevel string `help:"Lowest level that is logged." default:"warn"`
}

// Help implements kong.HelpProvider.
func (*devCommand) Help() string { return devUsage }

// dev holds what the entries and agents of the process share.
type dev struct {
	platform  *standin.Platform
	telemetry *telemetry.Telemetry
	client    *http.Client
	entries   []string
}

// Run implements the command.
func (c *devCommand) Run(ctx context.Context) error {
	t, err := telemetry.New(ctx, telemetry.Settings{Role: "dev", Name: "dev", Log: os.Stderr, Level: c.LogLevel})
	if err != nil {
		return err
	}
	d := &dev{platform: standin.New(), telemetry: t, client: newClient(t)}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.startEntries(ctx, &wg); err != nil {
		return err
	}
	for i := range devAgents {
		if err := d.startAgent(ctx, &wg, i+1); err != nil {
			return err
		}
	}
	if err := d.declareTeams(ctx); err != nil {
		return err
	}
	d.printUsage()
	<-ctx.Done()
	return nil
}

// startEntries starts two entries. The first listens on the client's default address.
func (d *dev) startEntries(ctx context.Context, wg *conc.WaitGroup) error {
	var listeners []net.Listener
	for _, address := range []string{client.DefaultAddress, "127.0.0.1:0"} {
		l, err := listen("dev", address)
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		d.entries = append(d.entries, "http://"+l.Addr().String())
	}
	for i, l := range listeners {
		s := entry.DefaultSettings()
		s.Name, s.Zone, s.Address = fmt.Sprintf("entry-%d", i+1), devZone, d.entries[i]
		s.Peers = []string{d.entries[1-i]}
		e := entry.New(s, entry.Dependencies{
			Platform:  d.platform,
			Client:    d.client,
			Telemetry: d.telemetry,
			Random:    rand.IntN,
		})
		wg.Go(func() { e.Run(ctx) })
		d.serveUntil(ctx, wg, l, e.Handler())
	}
	return nil
}

func (d *dev) startAgent(ctx context.Context, wg *conc.WaitGroup, number int) error {
	target, err := listen("dev", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.serveUntil(ctx, wg, target, http.HandlerFunc(echo))
	l, err := listen("dev", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := agent.Settings{
		Worker: ledger.Worker{
			Name:         fmt.Sprintf("worker-%d", number),
			Zone:         devZone,
			Rack:         fmt.Sprintf("rack-%d", (number+2)/3),
			Accelerators: devAccelerators,
			Service:      devService,
			Address:      "http://" + l.Addr().String(),
			Slots:        devSlots,
			Incarnation:  uuid.NewString(),
		},
		Entries: d.entries,
		Timing:  gang.DefaultTiming(),
	}
	a := agent.New(s, agent.Dependencies{
		Target:    request.NewHTTPTarget("http://"+target.Addr().String()+"/", devConnections, d.telemetry.Transport),
		Platform:  d.platform,
		Client:    d.client,
		Telemetry: d.telemetry,
		Random:    rand.IntN,
	})
	wg.Go(func() { a.Run(ctx) })
	d.serveUntil(ctx, wg, l, a.Handler())
	return nil
}

// echo is the handler of the targets of dev: it answers with the body of the request. It reads the
// whole body before it writes, because net/http may stop reading a request after its handler has
// written.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(request.IDHeader, r.Header.Get(request.IDHeader))
	body, err := io.ReadAll(io.LimitReader(r.Body, request.MaxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = w.Write(body)
}

// serveUntil serves requests until ctx ends.
func (d *dev) serveUntil(ctx context.Context, wg *conc.WaitGroup, l net.Listener, h http.Handler) {
	log := d.telemetry.Log
	server := newServer(h)
	wg.Go(func() {
		if err := serve(server, l); err != nil {
			log.Error().Str("step", "serve").Err(err).Msg("listener failed")
		}
	})
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
}

// declareTeams declares two teams, so that sessions and requests can be created immediately.
func (d *dev) declareTeams(ctx context.Context) error {
	c := client.New(d.entries[0], d.client)
	guarantee := func(accelerators int, a placement.Adjacency) []placement.Guarantee {
		return []placement.Guarantee{{Shape: placement.Shape{Accelerators: accelerators, Adjacency: a}, Count: 1}}
	}
	teams := []ledger.Team{
		{Name: "plates", Share: 2, Guarantees: guarantee(16, placement.SameRack)},
		{Name: "notices", Share: 1, Guarantees: guarantee(8, placement.SameWorker)},
	}
	for _, team := range teams {
		if _, err := c.PutConfigWhenReady(ctx, ledger.TeamPrefix+team.Name, team, "dev"); err != nil {
			return err
		}
	}
	return nil
}

func (d *dev) printUsage() {
	fmt.Printf(`yarrowgrade runs in this process: %d agents with %d accelerators each, and entries at
  %s
  %s
The teams "plates" and "notices" are declared, and the service "%s" echoes. Try, in another terminal:
  yarrowgrade status
  yarrowgrade worker list
  yarrowgrade session create night-plates --team plates --accelerators 16 --adjacency rack --work 60s
  yarrowgrade session list
  yarrowgrade request send --service %s --team plates --not-repeatable "pay 42"
  yarrowgrade team show plates
Ctrl-C ends it.
`, devAgents, devAccelerators, d.entries[0], d.entries[1], devService, devService)
}
