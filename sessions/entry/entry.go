// Package entry implements the process on an entry box. It routes callers' requests to agents,
// serves operators, follows the ledger, decides and proposes placements, and sends agents their
// assignments and configuration.
//
// Any number of entries run at the same time, and safety depends on none of them: the order of the
// log decides between conflicting proposals. To avoid redundant proposals, entries propose in the
// order of their ranks, each a little later than the one before.
//
// # State
//
// An entry keeps nothing on disk. In memory it owns a replica of the ledger, the latest report of
// each agent that polls it, the status of the other entries, and a list of agents to avoid. After a
// restart it reads the ledger, and agents poll it again.
//
// # Goroutines
//
// One goroutine owns the control state (control.go). It applies the records of the log, processes
// the agents' reports, decides what to propose, and publishes immutable values. Requests run on the
// goroutines of net/http and read only these values.
//
// # Dependencies
//
// An entry needs the platform's log, its list of boxes and its list of gone workers. Run documents
// how often each is queried. While the log is unavailable, an entry fetches newer states from other
// entries, still routes requests, and proposes nothing. While the list of boxes is unavailable, it
// uses the entries that it already knows.
//
// # Usage
//
//	e := entry.New(settings, entry.Dependencies{...})
//	go e.Run(ctx)
//	http.Serve(listener, e.Handler())
//	...
//	e.Leave() // fails the readiness check
//	// Close the listener after the load balancer has removed the entry.
package entry

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
	"yarrowgrade.example/yarrowgrade/sessions/policy"
)

// Settings configure an entry.
type Settings struct {
	Name string
	// Region may be empty if there is only one region. Requests go to targets in the entry's region
	// as long as one of them can take work.
	Region string
	Zone   string
	// Address is the base URL at which agents and other entries reach this entry.
	Address string
	// Peers are the base URLs of other entries. Entries in the platform's list of boxes are added
	// to them.
	Peers []string
	// PrepareTimeout is how long a gang may prepare before its placement is stopped.
	PrepareTimeout time.Duration
	// SnapshotRecords and SnapshotAge are the number of records and the time since the last
	// snapshot after which the next one is due, whichever comes first.
	SnapshotRecords int64
	SnapshotAge     time.Duration
}

// DefaultSettings returns settings without Name, Region, Zone, Address and Peers.
func DefaultSettings() Settings {
	return Settings{
		PrepareTimeout:  10 * time.Second,
		SnapshotRecords: 500,
		SnapshotAge:     10 * time.Minute,
	}
}

// Validate returns a *fault.Field for the first invalid setting.
func (s Settings) Validate() error {
	if s.Name == "" {
		return fault.BadField("name", "must not be empty")
	}
	if s.Zone == "" {
		return fault.BadField("zone", "must not be empty")
	}
	for _, address := range append([]string{s.Address}, s.Peers...) {
		if u, err := url.Parse(address); err != nil || u.Scheme != "http" || u.Host == "" {
			return fault.BadField("address", "want a URL such as http://127.0.0.1:7100, got %q", address)
		}
	}
	if s.PrepareTimeout < time.Second || s.PrepareTimeout > time.Minute {
		return fault.BadField("prepare-timeout", "want 1s to 1m, got %v", s.PrepareTimeout)
	}
	if s.SnapshotRecords < 10 {
		return fault.BadField("snapshot-records", "want at least 10, got %d", s.SnapshotRecords)
	}
	if s.SnapshotAge < time.Second {
		return fault.BadField("snapshot-age", "want at least 1s, got %v", s.SnapshotAge)
	}
	return nil
}

// Dependencies are the components that an entry uses.
type Dependencies struct {
	Platform  hosting.Platform
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	// Random returns a random number from 0 to n-1. It spreads requests over agents.
	Random func(n int) int
}

// Entry is the process on an entry box. Its methods are safe for concurrent use.
type Entry struct {
	settings Settings
	deps     Dependencies
	replica  *ledger.Replica
	proposer *ledger.Proposer
	peers    *peers
	router   *router
	polls    chan membership.PollRequest
	policies atomic.Pointer[policies]
	agents   *agentTable
	log      atomic.Pointer[logHealth]
	ready    atomic.Bool
	// leavingCtx ends when the entry starts to leave; startLeaving cancels it.
	leavingCtx   context.Context
	startLeaving context.CancelFunc
	openPolls    atomic.Pointer[pollWindow]
	// redirecting means that this entry is cut off from the log and has sent its agents to entries
	// that reach it. Only checkPeers uses this field.
	redirecting bool
	// createdAt is when the entry was created. While there is no snapshot, SnapshotAge counts from
	// this time.
	createdAt time.Time
}

// logHealth is the result of the latest read of the log.
type logHealth struct {
	reachable bool
	// lastRead is the time of the last successful read.
	lastRead time.Time
}

// New returns an entry that does nothing until Run is called. The settings must be valid.
func New(s Settings, p Dependencies) *Entry {
	replica := ledger.NewReplica()
	e := &Entry{
		settings:  s,
		deps:      p,
		replica:   replica,
		proposer:  ledger.NewProposer(p.Platform, replica),
		polls:     make(chan membership.PollRequest),
		createdAt: time.Now(),
		agents:    &agentTable{agents: make(map[string]agentReport)},
	}
	e.leavingCtx, e.startLeaving = context.WithCancel(context.Background())
	e.openPolls.Store(e.newPollWindow())
	e.peers = newPeers(s, p)
	e.router = newRouter(e)
	e.policies.Store(&policies{set: policy.NewSet(nil, nil)})
	e.log.Store(&logHealth{lastRead: time.Now()})
	return e
}

// Run runs the background jobs of the entry until ctx ends:
//
//	follow    reads the log by long polling
//	control   runs on every change, and when a timer expires
//	peers     checks every pingPeriod which entries are alive, and whether this one is cut off
//	gone      reads every gonePeriod which workers the platform has declared gone
//	snapshot  writes a snapshot if one is due, and checks this every snapshotPeriod
func (e *Entry) Run(ctx context.Context) {
	updates := make(chan ledger.Update)
	gone := make(chan []string)
	var wg conc.WaitGroup
	wg.Go(func() { ledger.NewFollower(e.deps.Platform, e.peers).Run(ctx, updates) })
	wg.Go(func() { newControl(e).run(ctx, updates, gone) })
	wg.Go(func() { every(ctx, pingPeriod, e.checkPeers) })
	wg.Go(func() { every(ctx, gonePeriod, func(ctx context.Context) { e.refreshGone(ctx, gone) }) })
	wg.Go(func() { every(ctx, snapshotPeriod, e.snapshotIfDue) })
	wg.Wait()
}

// checkPeers pings the other entries, and redirects the agents to them if they reach the log and
// this entry does not.
func (e *Entry) checkPeers(ctx context.Context) {
	e.peers.ping(ctx)
	e.redirectIfCutOff()
}

// every calls job immediately and then once per period, until ctx ends.
func every(ctx context.Context, period time.Duration, job func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		job(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Leave makes the readiness check fail, so that load balancers send no new requests, and redirects
// the agents to other entries. The entry still serves requests that arrive.
func (e *Entry) Leave() { e.startLeaving() }

func (e *Entry) isLeaving() bool { return e.leavingCtx.Err() != nil }

// Info returns the name, region, zone and address of the entry.
func (e *Entry) Info() membership.EntryInfo {
	return membership.EntryInfo{
		Name:    e.settings.Name,
		Region:  e.settings.Region,
		Zone:    e.settings.Zone,
		Address: e.settings.Address,
	}
}

// Periods of the background jobs.
const (
	gonePeriod     = 2 * time.Second
	snapshotPeriod = time.Second
)

// refreshGone sends the list of gone workers to the control goroutine.
func (e *Entry) refreshGone(ctx context.Context, out chan<- []string) {
	bounded, cancel := context.WithTimeout(ctx, gonePeriod)
	defer cancel()
	names, err := e.deps.Platform.GoneWorkers(bounded)
	if err != nil {
		e.deps.Telemetry.Log.Warn().Str("step", "entry.gone").Err(err).Msg("cannot read the list of gone workers")
		return
	}
	select {
	case out <- names:
	case <-ctx.Done():
	}
}

// State returns the latest state of the ledger that the entry has applied.
func (e *Entry) State() ledger.State { return e.replica.State() }
