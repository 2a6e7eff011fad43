package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/agent"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

const agentUsage = `
An agent runs beside each target, which is reached through it alone. It admits requests into the target's slots,
remembers the keys of requests that must not be repeated, and answers. It also starts and stops this worker's part of
each gang, and renews the gang's lease with the other members.

On SIGTERM it announces that it is leaving, takes no new work, finishes its requests, waits until its gangs have been
moved away, and exits.

Example:

  yarrowgraded agent --name worker-1 --zone plovdiv-a --rack r1 --accelerators 8 --listen 127.0.0.1:7200 \
      --service parkpay --target http://127.0.0.1:8080/ --slots 8 --connections 60 \
      --platform http://127.0.0.1:7000 --entries http://127.0.0.1:7100,http://127.0.0.1:7101
`

// maxConnections is the maximum of the --connections flag, which limits the connections to the
// target.
const maxConnections = 10_000

type agentCommand struct {
	commonSettings
	Name           string        `help:"Name of the worker, unique in the system." required:""`
	Region         string        `help:"Region of the worker. May stay empty where there is one region only."`
	Zone           string        `help:"Availability zone of the worker." required:""`
	Rack           string        `help:"Rack of the worker, unique in its availability zone." required:""`
	Accelerators   int           `help:"Number of accelerators of the worker, 0 to 64." required:""`
	Listen         string        `help:"IP address and port to listen on." default:"127.0.0.1:7200"`
	Address        string        `help:"Base URL at which others reach this agent. Default: http:// and --listen."`
	Service        string        `help:"Service that the target serves. Empty if there is no target."`
	Target         string        `help:"URL of the target, such as http://127.0.0.1:8080/. Needed with --service."`
	Slots          int           `help:"Requests that the target serves at once, 1 to 1024." default:"8"`
	Connections    int           `help:"Connections to the target at the most, 1 to 10000." default:"60"`
	Platform       string        `help:"Base URL of the platform." required:""`
	Entries        []string      `help:"Base URLs of entries to start from, separated by commas." required:""`
	GangBeat       time.Duration `help:"Time between two beats of a gang's member." default:"2s"`
	GangFresh      time.Duration `help:"How old a member's beat may be when the gang's lease is renewed." default:"5s"`
	GangLease      time.Duration `help:"How long a member runs on one renewal." default:"5s"`
	GangCheckpoint time.Duration `help:"Time between two checkpoints of a gang's member." default:"10m"`
	StopTimeout    time.Duration `help:"How long a planned stop may take in all." default:"120s"`
}

// Help implements kong.HelpProvider.
func (*agentCommand) Help() string { return agentUsage }

func (c *agentCommand) settings() (agent.Settings, error) {
	if c.Address == "" {
		c.Address = "http://" + c.Listen
	}
	s := agent.Settings{
		Worker: ledger.Worker{
			Name:         c.Name,
			Region:       c.Region,
			Zone:         c.Zone,
			Rack:         c.Rack,
			Accelerators: c.Accelerators,
			Service:      c.Service,
			Address:      c.Address,
			Slots:        c.Slots,
			Incarnation:  uuid.NewString(),
		},
		Entries: c.Entries,
		Timing: gang.Timing{
			HeartbeatInterval:  c.GangBeat,
			HeartbeatTimeout:   c.GangFresh,
			LeaseDuration:      c.GangLease,
			CheckpointInterval: c.GangCheckpoint,
		},
	}
	if err := checkListen("listen", c.Listen); err != nil {
		return s, err
	}
	if err := c.checkTarget(); err != nil {
		return s, err
	}
	return s, asFlagError(s.Validate())
}

// asFlagError returns an error about a field of the worker as one about the corresponding flag.
// Other errors are returned unchanged.
func asFlagError(err error) error {
	var field *fault.Field
	if !errors.As(err, &field) {
		return err
	}
	return &fault.Field{Name: strings.TrimPrefix(field.Name, "worker."), Reason: field.Reason}
}

func (c *agentCommand) checkTarget() error {
	if c.Service == "" {
		return nil
	}
	if u, err := url.Parse(c.Target); err != nil || u.Scheme != "http" || u.Host == "" {
		return fault.BadField("target", "want a URL such as http://127.0.0.1:8080/, got %q", c.Target)
	}
	if c.Slots < 1 {
		return fault.BadField("slots", "want 1 to 1024, got %d", c.Slots)
	}
	if c.Connections < 1 || c.Connections > maxConnections {
		return fault.BadField("connections", "want 1 to %d, got %d", maxConnections, c.Connections)
	}
	return nil
}

// Run implements the command.
func (c *agentCommand) Run(ctx context.Context) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	t, err := c.telemetry(ctx, "agent", c.Name)
	if err != nil {
		return err
	}
	client := newClient(t)
	a := agent.New(settings, agent.Dependencies{
		Target:    request.NewHTTPTarget(c.Target, c.Connections, t.Transport),
		Platform:  hosting.NewClient(c.Platform, client),
		Client:    client,
		Telemetry: t,
		Random:    rand.IntN,
	})
	return role{
		name:        "agent",
		listen:      c.Listen,
		address:     c.Address,
		handler:     a.Handler(),
		run:         a.Run,
		drain:       a.Leave,
		stopTimeout: c.StopTimeout,
		telemetry:   t,
	}.serve(ctx)
}
