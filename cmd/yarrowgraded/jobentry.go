package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/leader"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
	"yarrowgrade.example/yarrowgrade/platform"
)

const jobEntryUsage = `
job-entry is the entry for jobs on the users' platform. It takes callers' jobs, keeps them in the platform's store, and
tells their state. One of the entries holds leadership and decides what runs where; the others follow and
take over when it is silent.

Its settings come from the file that the platform names. On SIGTERM it calls itself not ready, gives leadership up,
finishes what is in flight, and exits.

Example:

  yarrowgraded job-entry
`

// Ports of a process for others of the system, as places in the range of the settings.
const innerPlace = 0

// drainFor is how long an entry serves on after it has called itself not ready: the platform looks every second, twice.
const drainFor = 2500 * time.Millisecond

type jobEntryCommand struct {
	Advertise string   `help:"IP address and port at which agents and other entries reach this process, if not at its own."`
	Without   []string `help:"Mechanisms of the decision to switch off, for experiments; see package dispatch." sep:","`
	LogLevel  string   `help:"Lowest level that is logged: trace, debug, info, warn or error." default:"info"`
}

// Help implements kong.HelpProvider.
func (*jobEntryCommand) Help() string { return jobEntryUsage }

// Run implements the command.
func (c *jobEntryCommand) Run(ctx context.Context) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	policy, err := dispatch.Policy{}.Without(c.Without...)
	if err != nil {
		return fmt.Errorf("without: %w", err)
	}
	lines := telemetry.NewWriter(os.Stdout)
	defer lines.Close(time.Second)
	t, err := telemetry.New(ctx, telemetry.Settings{Role: "entry", Name: s.Node, Log: lines, Level: c.LogLevel})
	if err != nil {
		return err
	}
	advertised := s.InnerAddress(innerPlace)
	if c.Advertise != "" {
		if err := checkListen("advertise", c.Advertise); err != nil {
			return err
		}
		advertised = c.Advertise
	}
	e := newJobEntry(s, t, advertised, policy)
	return e.run(ctx)
}

// jobEntry is the process of an entry.
type jobEntry struct {
	settings *platform.Settings
	// address is where others of the system reach the entry.
	address   string
	telemetry *telemetry.Telemetry
	announced topic.Log
	directory *directory.Directory
	replica   *jobstore.Replica
	writer    *jobstore.Writer
	catalog   *catalog.Follower
	admission *admission.Service
	candidate *leader.Candidate
	leaving   chan struct{}
}

func newJobEntry(s *platform.Settings, t *telemetry.Telemetry, address string, policy dispatch.Policy) *jobEntry {
	client := newClient(t)
	store := platform.NewStore(s, client)
	metered := func(name string) topic.Log { return topic.WithMetrics(store.Topic(name), t.Metrics) }
	e := &jobEntry{settings: s, address: address, telemetry: t, announced: metered(platform.DirectoryTopic), leaving: make(chan struct{})}
	e.directory = directory.NewDirectory(e.announced, t.Log)
	jobs := metered(platform.JobsTopic)
	suspension := suspend.SystemClock()
	inLine := func() bool { return e.directory.IsStandby(s.Node) }
	e.replica = jobstore.NewReplica(jobs, e.directory.Count, t.Log).WithSuspension(suspension).WithStandby(inLine)
	e.catalog = catalog.NewFollower(topic.NewRelayClient(metered(platform.OperatorTopic), catalog.RelayPath, client, e.sources, t.Log), platform.OperatorFormat(s.ZoneNames()), t.Log).WithSuspension(suspension).
		WithReaders(e.directory.Count, e.replica.Leading)
	// Reads are frequent: they know that the log is slow before the first append does.
	latency := e.replica.Latency()
	e.writer = jobstore.NewWriter(jobs, latency, e.replica, e.directory.Addresses, address, client, t.Log)
	e.admission = admission.New(admission.Settings{KeyProof: s.ConfigMaxAge()}, admission.Dependencies{
		Writer: e.writer, Replica: e.replica, Catalog: e.catalog, Logger: t.Log, Metrics: t.Metrics,
	})
	decision := dispatch.DefaultSettings()
	decision.KeepEnded, decision.Policy = s.StatusRetention()+time.Minute, policy
	e.candidate = leader.New(
		leader.Settings{
			Entry: s.Node, Incarnation: s.Node + "/" + uuid.NewString(), Address: address, Cores: s.CoreShare(),
			Timing: leader.DefaultTiming(s.MaxLease()), Dispatch: decision,
		},
		leader.Dependencies{
			Log: jobs, Replica: e.replica, Catalog: e.catalog, DirectoryLog: e.announced, Directory: e.directory,
			Permits: platform.NewAdvice(s, client), Latency: latency, Client: client, Logger: t.Log, Metrics: t.Metrics,
			Suspension: suspension,
		},
	)
	return e
}

// sources are the entries from which this one hears operators' news: those in line to lead, unless it is one of them, or leads.
func (e *jobEntry) sources() []string {
	if e.directory.IsStandby(e.settings.Node) || e.replica.Leading() {
		return nil
	}
	return e.directory.StandbyAddresses()
}

// run works until ctx ends, and then leaves as planned.
func (e *jobEntry) run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := e.listen()
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	wg.Go(func() { e.replica.Run(running) })
	wg.Go(func() { e.catalog.Run(running) })
	wg.Go(func() { e.directory.Run(running) })
	wg.Go(func() { e.candidate.Run(running) })
	wg.Go(func() {
		e.directory.KeepRegistered(running, e.announced, e.settings.Node, e.address, e.settings.CoreShare())
	})
	e.telemetry.Log.Info().Str("step", "start").Str("zone", e.settings.Zone).Str("address", e.address).Msg("entry starts")
	go onHangup(running, e.telemetry.Log, make(chan struct{}))
	<-ctx.Done()
	e.telemetry.Log.Info().Str("step", "stop").Msg("entry leaves")
	close(e.leaving)
	e.candidate.Resign()
	pause.For(running, drainFor)
	stopping, done := context.WithTimeout(running, e.settings.ShutdownGrace()-drainFor-time.Second)
	defer done()
	for _, server := range servers {
		_ = server.Shutdown(stopping)
	}
	cancel()
	wg.Wait()
	e.telemetry.Log.Info().Str("step", "stop").Msg("entry stopped")
	return nil
}

// listen opens the listeners of callers, of the platform's look at readiness, and of agents.
func (e *jobEntry) listen() ([]*http.Server, error) {
	inner := httprouter.New()
	inner.HandlerFunc(http.MethodPost, assignment.Path, e.candidate.ServePoll)
	inner.HandlerFunc(http.MethodPost, jobstore.RecordsPath, e.writer.ServeWrite)
	inner.HandlerFunc(http.MethodGet, assignment.LeaderPath, e.candidate.ServeLeader)
	inner.HandlerFunc(http.MethodPost, assignment.HandoverPath, e.candidate.ServeHandover)
	admission.NewOperators(e.replica, e.catalog).Register(inner)
	inner.HandlerFunc(http.MethodGet, leader.WorkersPath, e.candidate.ServeWorkers)
	inner.Handler(http.MethodGet, catalog.RelayPath, e.catalog.RelayServer())
	inner.Handler(http.MethodGet, "/metrics", e.telemetry.MetricsHandler)
	handlers := map[string]http.Handler{
		e.settings.Listen.Front:             closeWhenLeaving(platform.NewCallers(e.admission), e.leaving),
		e.settings.Listen.Ready:             platform.Ready(e.ready),
		e.settings.InnerAddress(innerPlace): inner,
	}
	return serveAll(handlers)
}

func (e *jobEntry) ready() bool {
	select {
	case <-e.leaving:
		return false
	default:
		return e.admission.Ready()
	}
}

// onHangup reads the settings again at each SIGHUP until ctx ends. None of those that are used may change in the life of a
// process, so a change is told, and takes effect with the next life. Ready is closed once it listens.
func onHangup(ctx context.Context, log zerolog.Logger, ready chan<- struct{}) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	close(ready)
	for {
		select {
		case <-hangups:
			_, err := platform.ReadSettings()
			log.Info().Str("step", "reload").Err(err).Msg("settings read again")
		case <-ctx.Done():
			return
		}
	}
}

// serveAll serves each handler at its address. Empty addresses are passed over.
func serveAll(handlers map[string]http.Handler) ([]*http.Server, error) {
	var servers []*http.Server
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		l, err := listen("listen", address)
		if err != nil {
			return nil, err
		}
		server := newServer(handler)
		servers = append(servers, server)
		go func() { _ = serve(server, l) }()
	}
	return servers, nil
}
