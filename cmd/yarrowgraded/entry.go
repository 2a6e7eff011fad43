package main

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/sessions/entry"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

const entryUsage = `
An entry takes callers' requests and operators' calls. It follows the platform's log, decides where sessions run, and
gives agents their configuration and assignments. Run two or more behind the platform's load balancer, each with a
--name of its own.

On SIGTERM it fails /ready, serves on for --drain until the load balancer has taken it out, finishes the requests in
flight, and exits. It stores nothing on disk, so any entry can be replaced at any time.

Example:

  yarrowgraded entry --name entry-1 --zone plovdiv-a --listen 127.0.0.1:7100 \
      --platform http://127.0.0.1:7000 --peers http://127.0.0.1:7101
`

type entryCommand struct {
	commonSettings
	Name            string        `help:"Name of this entry, unique among entries." required:""`
	Region          string        `help:"Region of this box. May stay empty where there is one region only."`
	Zone            string        `help:"Availability zone of this box." required:""`
	Listen          string        `help:"IP address and port to listen on." default:"127.0.0.1:7100"`
	Address         string        `help:"Base URL at which others reach this entry. Default: http:// and --listen."`
	Platform        string        `help:"Base URL of the platform." required:""`
	Peers           []string      `help:"Base URLs of other entries, separated by commas."`
	PrepareTimeout  time.Duration `help:"How long a gang may prepare, 1s to 1m." default:"10s"`
	SnapshotRecords int64         `help:"Records between two snapshots, at least 10." default:"500"`
	SnapshotAge     time.Duration `help:"Age of a snapshot; well below the log's retention." default:"10m"`
	Drain           time.Duration `help:"How long to serve on after /ready fails." default:"3s"`
	StopTimeout     time.Duration `help:"How long a planned stop may take in all." default:"60s"`
}

// Help implements kong.HelpProvider.
func (*entryCommand) Help() string { return entryUsage }

func (c *entryCommand) settings() (entry.Settings, error) {
	if c.Address == "" {
		c.Address = "http://" + c.Listen
	}
	s := entry.Settings{
		Name:            c.Name,
		Region:          c.Region,
		Zone:            c.Zone,
		Address:         c.Address,
		Peers:           c.Peers,
		PrepareTimeout:  c.PrepareTimeout,
		SnapshotRecords: c.SnapshotRecords,
		SnapshotAge:     c.SnapshotAge,
	}
	if err := checkListen("listen", c.Listen); err != nil {
		return s, err
	}
	return s, s.Validate()
}

// Run implements the command.
func (c *entryCommand) Run(ctx context.Context) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	t, err := c.telemetry(ctx, "entry", c.Name)
	if err != nil {
		return err
	}
	client := newClient(t)
	e := entry.New(settings, entry.Dependencies{
		Platform:  hosting.NewClient(c.Platform, client),
		Client:    client,
		Telemetry: t,
		Random:    rand.IntN,
	})
	return role{
		name:    "entry",
		listen:  c.Listen,
		address: c.Address,
		handler: e.Handler(),
		run:     e.Run,
		drain: func(ctx context.Context) error {
			e.Leave()
			pause.For(ctx, c.Drain)
			return nil
		},
		stopTimeout: c.StopTimeout,
		telemetry:   t,
	}.serve(ctx)
}
