package main

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"time"

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
job-agent is the agent for jobs on the users' platform. It runs beside one worker, takes its heartbeats, and keeps it
running what the leader wants: it starts and stops runs, and extends their lease as long as the leader does. It
decides nothing and keeps nothing.

Its settings come from the file that the platform names. On SIGTERM it ends at once: what runs goes on, and the next
agent on the box takes it over.

Example:

  yarrowgraded job-agent
`

// agentGCPercent is how much an agent's heap may grow until it is collected, in percent. There is one beside each worker, so its memory is
// the largest part of the system's: with 20 instead of 100 its peak is 5.8 MB instead of 7.2, for 0.16 % of a core instead of 0.14 (one calm
// day of 55 s each).
const agentGCPercent = 20

// workerDrift is the most by which a worker's clock may be slow, as a share.
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
	defer lines.Close(time.Second)
	t, err := telemetry.New(ctx, telemetry.Settings{Role: "agent", Name: s.Node, Log: lines, Level: c.LogLevel})
	if err != nil {
		return err
	}
	debug.SetGCPercent(agentGCPercent)
	directory, r, heartbeats := newJobAgent(s, t)
	inner := httprouter.New()
	inner.Handler(http.MethodGet, "/metrics", t.MetricsHandler)
	handlers := map[string]http.Handler{s.HeartbeatAddress: heartbeats, s.InnerAddress(innerPlace): inner}
	if _, err := serveAll(handlers); err != nil {
		return err
	}
	t.Log.Info().Str("step", "start").Str("zone", s.Zone).Str("worker", s.WorkerAddress).Msg("agent starts")
	go onHangup(ctx, t.Log, make(chan struct{}))
	var wg conc.WaitGroup
	wg.Go(func() { directory.Run(ctx) })
	wg.Go(func() { r.Run(ctx) })
	wg.Wait()
	t.Log.Info().Str("step", "stop").Msg("agent stopped")
	return nil
}

// newJobAgent returns what an agent consists of: the way to the leader, the runner, and the handler of the worker's heartbeats.
func newJobAgent(s *platform.Settings, t *telemetry.Telemetry) (*directory.Directory, *runner.Runner, http.Handler) {
	client := newClient(t)
	topic := topic.WithMetrics(platform.NewStore(s, client).Topic(platform.DirectoryTopic), t.Metrics)
	directory := directory.NewDirectory(topic, t.Log)
	r := runner.New(
		runner.Settings{Name: s.Node, Agent: uuid.NewString(), Service: s.Service, Zone: s.Zone, Lease: s.MaxLease(), Drift: workerDrift, CordonWithin: s.CordonWithin()},
		runner.Dependencies{Worker: platform.NewWorker(s, client), Leader: runner.NewLeaderClient(directory, client), Logger: t.Log, Metrics: t.Metrics, Suspension: suspend.SystemClock()},
	)
	return directory, r, platform.NewHeartbeats(r, t.Log, t.Metrics)
}
