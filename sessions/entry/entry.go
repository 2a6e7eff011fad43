// Package entry implements the process on an entry box. It routes callers' requests to agents,
// serves operators, follows the ledger, decides and proposes placements, and tells agents what
// concerns them.
//
// Any number of entries run at the same time, and safety depends on none of them: the order of the
// log decides between proposals. To avoid useless proposals, entries propose in the order of their
// ranks, and each waits a little longer than the one before.
//
// # State
//
// An entry keeps nothing on disk. It owns a replica of the ledger, the newest report of each agent
// that polls it, and what it knows of other entries and of agents to avoid. After a restart it
// reads the ledger and agents poll again.
//
// # Goroutines
//
// One goroutine owns the control state (control.go): it applies the records of the log, takes in
// the agents' reports, and decides what to propose. It publishes immutable values. Requests run on
// the goroutines of net/http and read only these values.
//
// # Dependencies
//
// The platform's log, its list of boxes and its list of gone workers; see Run for how often each is
// asked. Without the log an entry takes newer states from other entries, still routes requests, and
// proposes nothing. Without the list of boxes it uses the entries it knows.
//
// # Usage
//
//	e := entry.New(settings, entry.Parts{...})
//	go e.Run(ctx)
//	http.Serve(listener, e.Handler())
//	...
//	e.Leave() // fails the readiness check; close the listener once the load balancer has noticed
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
	// Region may be empty if there is only one. Requests go to targets in the entry's region while
	// one there can take them.
	Region string
	Zone   string
	// Address is the base URL of this entry for agents and other entries.
	Address string
	// Peers are the base URLs of other entries. Those in the platform's list of boxes are added.
	Peers []string
	// PrepareTimeout is how long a gang may prepare before its placement is given up.
	PrepareTimeout time.Duration
	// SnapshotRecords and SnapshotAge are the number of records and the time after which the next
	// snapshot is due, whichever comes first.
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

// Parts are the dependencies of an entry.
type Parts struct {
	Platform  hosting.Platform
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	// Random returns a number from 0 to n-1. It is used to spread requests over agents.
	Random func(n int) int
}

// Entry is an entry. Its methods are safe for concurrent use.
type Entry struct {
	settings Settings
	parts    Parts
	replica  *ledger.Replica
	proposer *ledger.Proposer
	peers    *peers
	router   *router
	polls    chan membership.PollRequest
	policies atomic.Pointer[policies]
	agents   *agentTable
	log      atomic.Pointer[logHealth]
	ready    atomic.Bool
	// staying is cancelled by leave when the entry leaves.
	staying context.Context
	leave   context.CancelFunc
	polling atomic.Pointer[pollTerm]
	// steppedBack means that agents were sent to entries that reach the log. Only checkPeers uses
	// it.
	steppedBack bool
	// began is when the entry was created. Until there is a snapshot, its age counts from then.
	began time.Time
}

// logHealth says whether the log can be read.
type logHealth struct {
	reachable bool
	// lastRead is when a read last succeeded.
	lastRead time.Time
}

// New returns an entry that does nothing until Run. The settings must be valid.
func New(s Settings, p Parts) *Entry {
	replica := ledger.NewReplica()
	e := &Entry{
		settings: s,
		parts:    p,
		replica:  replica,
		proposer: ledger.NewProposer(p.Platform, replica),
		polls:    make(chan membership.PollRequest),
		began:    time.Now(),
		agents:   &agentTable{agents: make(map[string]agentReport)},
	}
	e.staying, e.leave = context.WithCancel(context.Background())
	e.polling.Store(e.newPollTerm())
	e.peers = newPeers(s, p)
	e.router = newRouter(e)
	e.policies.Store(&policies{set: policy.NewSet(nil, nil)})
	e.log.Store(&logHealth{lastRead: time.Now()})
	return e
}

// Run runs the background jobs of the entry until ctx ends:
//
//	follow    the log, by long poll
//	control   on every change, and when time brings something due
//	peers     every pingPeriod: which entries are alive, and whether this one is cut off
//	gone      every gonePeriod: which workers the platform has declared gone
//	snapshot  every snapshotPeriod, if one is due
func (e *Entry) Run(ctx context.Context) {
	updates := make(chan ledger.Update)
	gone := make(chan []string)
	var wg conc.WaitGroup
	wg.Go(func() { ledger.NewFollower(e.parts.Platform, e.peers).Run(ctx, updates) })
	wg.Go(func() { newControl(e).run(ctx, updates, gone) })
	wg.Go(func() { every(ctx, pingPeriod, e.checkPeers) })
	wg.Go(func() { every(ctx, gonePeriod, func(ctx context.Context) { e.refreshGone(ctx, gone) }) })
	wg.Go(func() { every(ctx, snapshotPeriod, e.saveIfDue) })
	wg.Wait()
}

// checkPeers pings the other entries, and steps back if they reach the log and this one does not.
func (e *Entry) checkPeers(ctx context.Context) {
	e.peers.ping(ctx)
	e.stepBackIfCut()
}

// every calls job now and then once per period, until ctx ends.
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

// Leave fails the readiness check, so that load balancers send no new requests, and sends the
// agents to other entries. Requests are still served.
func (e *Entry) Leave() { e.leave() }

func (e *Entry) isLeaving() bool { return e.staying.Err() != nil }

// Info returns the name, place and address of the entry.
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
	names, err := e.parts.Platform.GoneWorkers(bounded)
	if err != nil {
		e.parts.Telemetry.Log.Warn().Str("step", "entry.gone").Err(err).Msg("platform does not answer")
		return
	}
	select {
	case out <- names:
	case <-ctx.Done():
	}
}

// State returns the newest state of the ledger that the entry has applied.
func (e *Entry) State() ledger.State { return e.replica.State() }
