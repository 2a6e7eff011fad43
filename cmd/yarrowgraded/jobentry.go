package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
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
job-entry accepts jobs from callers on the users' platform, stores them in the platform's log, and reports their state.
One of the entries is the leader and decides what runs where. The others follow, and one of them takes over when the
leader is lost.

Its settings come from the file that the platform names. On SIGTERM it reports not ready, resigns as leader, finishes
the requests in flight, and exits.

Example:

  yarrowgraded job-entry
`

// internalPort is the index, in the port range of the settings, of the port for the system's own
// processes.
const internalPort = 0

// drainTime is how long an entry continues to serve after it has reported not ready. The platform
// checks readiness every second and stops sending callers after two failed checks.
const drainTime = 2500 * time.Millisecond

// shutdownMargin is the part of the platform's grace period that is reserved for the exit of the
// process.
const shutdownMargin = time.Second

// statusMargin is added to the time for which the platform requires the state of ended jobs.
const statusMargin = time.Minute

type jobEntryCommand struct {
	Advertise string   `help:"IP address and port at which other processes reach this one. Default: its own."`
	Without   []string `help:"Mechanisms of the scheduler to switch off, for experiments; see package dispatch." sep:","`
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
	defer lines.Close(logCloseTimeout)
	t, err := telemetry.New(ctx, telemetry.Settings{Role: "entry", Name: s.Node, Log: lines, Level: c.LogLevel})
	if err != nil {
		return err
	}
	address := s.InternalAddress(internalPort)
	if c.Advertise != "" {
		if err := checkListen("advertise", c.Advertise); err != nil {
			return err
		}
		address = c.Advertise
	}
	return newJobEntry(s, t, address, policy).run(ctx)
}

// jobEntry is the process of an entry for jobs. It owns the goroutines and listeners of its
// components.
type jobEntry struct {
	settings *platform.Settings
	// address is the address at which agents and other entries reach this entry.
	address      string
	telemetry    *telemetry.Telemetry
	directoryLog topic.Log
	directory    *directory.Directory
	replica      *jobstore.Replica
	writer       *jobstore.Writer
	catalog      *catalog.Follower
	admission    *admission.Service
	candidate    *leader.Candidate
	// draining is closed when a planned stop begins.
	draining chan struct{}
}

func newJobEntry(s *platform.Settings, t *telemetry.Telemetry, address string, policy dispatch.Policy) *jobEntry {
	client := newClient(t)
	store := platform.NewStore(s, client)
	openTopic := func(name string) topic.Log { return topic.WithMetrics(store.Topic(name), t.Metrics) }
	jobsLog := openTopic(platform.JobsTopic)
	suspension := suspend.SystemClock()
	e := &jobEntry{
		settings:     s,
		address:      address,
		telemetry:    t,
		directoryLog: openTopic(platform.DirectoryTopic),
		draining:     make(chan struct{}),
	}
	e.directory = directory.NewDirectory(e.directoryLog, t.Log)
	e.replica = jobstore.NewReplica(jobsLog, e.directory.Count, t.Log).
		WithSuspension(suspension).
		WithStandby(func() bool { return e.directory.IsStandby(s.Node) })
	operatorLog := topic.NewRelayClient(
		openTopic(platform.OperatorTopic), catalog.RelayPath, client, e.relayAddresses, t.Log)
	e.catalog = catalog.NewFollower(operatorLog, platform.OperatorFormat(s.ZoneNames()), t.Log).
		WithSuspension(suspension).
		WithReaders(e.directory.Count, e.replica.Leading)
	// The writer shares the latency of the replica's reads, which detect a slow log before the
	// first append.
	e.writer = jobstore.NewWriter(
		jobsLog, e.replica.Latency(), e.replica, e.directory.Addresses, address, client, t.Log)
	e.admission = admission.New(admission.Settings{MaxConfigAge: s.ConfigMaxAge()}, admission.Dependencies{
		Writer:  e.writer,
		Replica: e.replica,
		Catalog: e.catalog,
		Logger:  t.Log,
		Metrics: t.Metrics,
	})
	e.candidate = e.newCandidate(leaderSettings(s, address, policy), jobsLog, client, suspension)
	return e
}

func (e *jobEntry) newCandidate(
	s leader.Settings, jobsLog topic.Log, client *http.Client, suspension suspend.Clock,
) *leader.Candidate {
	return leader.New(s, leader.Dependencies{
		Log:          jobsLog,
		Replica:      e.replica,
		Catalog:      e.catalog,
		DirectoryLog: e.directoryLog,
		Directory:    e.directory,
		Permits:      platform.NewPermitService(e.settings, client),
		Latency:      e.replica.Latency(),
		Client:       client,
		Logger:       e.telemetry.Log,
		Metrics:      e.telemetry.Metrics,
		Suspension:   suspension,
	})
}

// leaderSettings returns the settings with which an entry is a candidate for leader, with a new
// incarnation of the entry.
func leaderSettings(s *platform.Settings, address string, policy dispatch.Policy) leader.Settings {
	decisions := dispatch.DefaultSettings()
	decisions.EndedRetention = s.StatusRetention() + statusMargin
	decisions.Policy = policy
	return leader.Settings{
		Entry:       s.Node,
		Incarnation: s.Node + "/" + uuid.NewString(),
		Address:     address,
		Cores:       s.CoreShare(),
		Timing:      leader.DefaultTiming(s.MaxLease()),
		Dispatch:    decisions,
	}
}

// relayAddresses returns the addresses of the entries that relay operators' records to this one. It
// returns none for the leader and its standbys, which read the platform's log themselves.
func (e *jobEntry) relayAddresses() []string {
	if e.directory.IsStandby(e.settings.Node) || e.replica.Leading() {
		return nil
	}
	return e.directory.StandbyAddresses()
}

// run serves until ctx ends, and then performs a planned stop.
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
		e.directory.KeepRegistered(running, e.directoryLog, e.settings.Node, e.address, e.settings.CoreShare())
	})
	log := e.telemetry.Log
	log.Info().Str("step", "start").Str("zone", e.settings.Zone).Str("address", e.address).Msg("entry starts")
	go reloadOnHangup(running, log, make(chan struct{}))
	<-ctx.Done()
	e.drain(running, servers)
	cancel()
	wg.Wait()
	log.Info().Str("step", "stop").Msg("entry stopped")
	return nil
}

// drain reports not ready, resigns as leader, and returns when all requests in flight have ended or
// the platform's grace period is over.
func (e *jobEntry) drain(ctx context.Context, servers []*http.Server) {
	log := e.telemetry.Log
	log.Info().Str("step", "stop").Msg("entry leaves")
	close(e.draining)
	e.candidate.Resign()
	pause.For(ctx, drainTime)
	ctx, cancel := context.WithTimeout(ctx, e.settings.ShutdownGrace()-drainTime-shutdownMargin)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			log.Warn().Str("step", "stop").Err(err).Msg("shutdown incomplete; requests in flight are aborted")
		}
	}
}

// listen opens the listeners for callers, for the platform's readiness checks, and for agents and
// other entries.
func (e *jobEntry) listen() ([]*http.Server, error) {
	internal := httprouter.New()
	internal.HandlerFunc(http.MethodPost, assignment.Path, e.candidate.ServePoll)
	internal.HandlerFunc(http.MethodPost, jobstore.RecordsPath, e.writer.ServeWrite)
	internal.HandlerFunc(http.MethodGet, assignment.LeaderPath, e.candidate.ServeLeader)
	internal.HandlerFunc(http.MethodPost, assignment.HandoverPath, e.candidate.ServeHandover)
	admission.NewOperatorHandler(e.replica, e.catalog).Register(internal)
	internal.HandlerFunc(http.MethodGet, leader.WorkersPath, e.candidate.ServeWorkers)
	internal.Handler(http.MethodGet, catalog.RelayPath, e.catalog.RelayServer())
	internal.Handler(http.MethodGet, "/metrics", e.telemetry.MetricsHandler)
	return serveAll(e.telemetry.Log, map[string]http.Handler{
		e.settings.CallerAddress:                 closeWhenDraining(platform.NewCallerHandler(e.admission), e.draining),
		e.settings.ReadyAddress:                  platform.ReadinessHandler(e.ready),
		e.settings.InternalAddress(internalPort): internal,
	})
}

func (e *jobEntry) ready() bool {
	select {
	case <-e.draining:
		return false
	default:
		return e.admission.Ready()
	}
}
