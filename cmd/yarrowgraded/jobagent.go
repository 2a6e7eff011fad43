package main

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
	"yarrowgrade.example/yarrowgrade/platform"
)

const jobAgentUsage = `
job-agent runs beside one worker of the users' platform. It receives the worker's heartbeats, starts and stops runs as
the leader decides, and renews their lease as long as the leader renews its own. It decides nothing and stores nothing.

Its settings come from the file that the platform names. On SIGTERM it exits at once: what runs goes on, and the next
agent on the box takes it over.

Example:

  yarrowgraded job-agent
`

// agentGCPercent is the heap growth in percent between garbage collections. There is an agent
// beside each worker, so low memory use is more important than the processor time of frequent
// collections.
const agentGCPercent = 20

// workerDrift is the share by which a worker's clock may run slower than real time.
const workerDrift = 0.03

type jobAgentCommand struct {
	LogLevel string `help:"Lowest level that is logged: trace, debug, info, warn or error." default:"info"`
}

// Help implements kong.HelpProvider.
func (*jobAgentCommand) Help() string { return jobAgentUsage }

// Run implements the command.
func (c *jobAgentCommand) Run(ctx context.Context) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	lines := telemetry.NewWriter(os.Stdout)
	defer lines.Close(logCloseTimeout)
	t, err := telemetry.New(ctx, telemetry.Settings{Role: "agent", Name: s.Node, Log: lines, Level: c.LogLevel})
	if err != nil {
		return err
	}
	debug.SetGCPercent(agentGCPercent)
	return newJobAgent(s, t).run(ctx)
}

// jobAgent is the process of an agent for jobs.
type jobAgent struct {
	settings   *platform.Settings
	telemetry  *telemetry.Telemetry
	directory  *directory.Directory
	runner     *runner.Runner
	heartbeats http.Handler
}

func newJobAgent(s *platform.Settings, t *telemetry.Telemetry) *jobAgent {
	client := newClient(t)
	log := topic.WithMetrics(platform.NewStore(s, client).Topic(platform.DirectoryTopic), t.Metrics)
	entries := directory.NewDirectory(log, t.Log)
	r := runner.New(
		runner.Settings{
			Name:           s.Node,
			Agent:          uuid.NewString(),
			Service:        s.Service,
			Zone:           s.Zone,
			Lease:          s.MaxLease(),
			Drift:          workerDrift,
			MaxCordonDelay: s.MaxCordonDelay(),
		},
		runner.Dependencies{
			Worker:     platform.NewWorker(s, client),
			Leader:     runner.NewLeaderClient(entries, client),
			Logger:     t.Log,
			Metrics:    t.Metrics,
			Suspension: suspend.SystemClock(),
		},
	)
	return &jobAgent{
		settings:   s,
		telemetry:  t,
		directory:  entries,
		runner:     r,
		heartbeats: platform.NewHeartbeatHandler(r, t.Log, t.Metrics),
	}
}

// run serves until ctx ends.
func (a *jobAgent) run(ctx context.Context) error {
	s, log := a.settings, a.telemetry.Log
	internal := httprouter.New()
	internal.Handler(http.MethodGet, "/metrics", a.telemetry.MetricsHandler)
	handlers := map[string]http.Handler{s.HeartbeatAddress: a.heartbeats, s.InternalAddress(internalPort): internal}
	if _, err := serveAll(log, handlers); err != nil {
		return err
	}
	log.Info().Str("step", "start").Str("zone", s.Zone).Str("worker", s.WorkerAddress).Msg("agent starts")
	go reloadOnHangup(ctx, log, make(chan struct{}))
	var wg conc.WaitGroup
	wg.Go(func() { a.directory.Run(ctx) })
	wg.Go(func() { a.runner.Run(ctx) })
	wg.Wait()
	log.Info().Str("step", "stop").Msg("agent stopped")
	return nil
}
