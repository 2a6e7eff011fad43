// Package entry is the process on an entry box. It takes callers' requests and operators'
// calls, follows the ledger, decides placements and proposes them, and tells agents what is in
// force.
//
// Any number of entries run side by side. None is needed for safety: what they propose is
// settled by its place in the log. To save work, one of them is preferred for what any could
// propose, and the others wait a little longer.
//
// # Goroutines
//
// One goroutine owns control state (control.go): it folds records in, takes in what agents
// report, and decides what to propose. It publishes immutable values. Traffic runs on the
// goroutines of net/http and reads only those.
//
// # Usage
//
//	e := entry.New(settings, entry.Parts{...})
//	go e.Run(ctx)
//	http.Serve(listener, e.Handler())
//	...
//	e.Leave() // fails readiness; the process waits for its balancer, then closes the listener
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

// Settings of an entry.
type Settings struct {
	Name string
	// Region may stay empty where there is one region only. Requests stay in it while a target
	// there can take them.
	Region string
	Zone   string
	// Address is the base URL at which agents and other entries reach this one.
	Address string
	// Peers are the base URLs of other entries. The platform's list of boxes adds to them.
	Peers []string
	// PrepareTimeout is how long a gang may prepare before its placement is given up.
	PrepareTimeout time.Duration
	// SnapshotRecords and SnapshotAge say when the next snapshot is due.
	SnapshotRecords int64
	SnapshotAge     time.Duration
}

// DefaultSettings returns settings with everything but the identity.
func DefaultSettings() Settings {
	return Settings{PrepareTimeout: 10 * time.Second, SnapshotRecords: 500, SnapshotAge: 10 * time.Minute}
}

// Validate returns a *fault.Field for the first setting that is wrong.
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

// Parts are what an entry works with.
type Parts struct {
	Platform  hosting.Platform
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	// Random returns a number from 0 to n-1. It spreads requests over agents.
	Random func(n int) int
}

// Entry is one entry.
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
	// staying ends when the entry leaves, by leave.
	staying context.Context
	leave   context.CancelFunc
	polling atomic.Pointer[pollTerm]
	// steppedBack says that agents have been sent to entries that reach the log. Only the
	// goroutine of the peers uses it.
	steppedBack bool
	// began is when the entry was made. It stands for the time of the last snapshot while there
	// is none.
	began time.Time
}

// logHealth is what the last reads of the log said.
type logHealth struct {
	reachable bool
	// lastRead is when a read last succeeded.
	lastRead time.Time
}

// New returns an entry that does nothing until Run. The settings must be valid.
func New(s Settings, p Parts) *Entry {
	replica := ledger.NewReplica()
	e := &Entry{
		settings: s, parts: p, replica: replica,
		proposer: ledger.NewProposer(p.Platform, replica),
		polls:    make(chan membership.PollRequest), began: time.Now(),
		agents: &agentTable{agents: make(map[string]agentReport)},
	}
	e.staying, e.leave = context.WithCancel(context.Background())
	e.polling.Store(e.newPollTerm())
	e.peers = newPeers(s, p)
	e.router = newRouter(e)
	e.policies.Store(&policies{set: policy.NewSet(nil, nil)})
	e.log.Store(&logHealth{lastRead: time.Now()})
	return e
}

// Run follows the ledger and decides until ctx ends. These are all background jobs, with their
// periods:
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

// checkPeers learns which entries are alive, and steps back if this one is worse off than they.
func (e *Entry) checkPeers(ctx context.Context) {
	e.peers.ping(ctx)
	e.stepBackIfCut()
}

// every calls job at once and then once a period, until ctx ends.
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

// Leave fails the readiness check, so that the balancer sends no more, and lets agents turn to
// other entries. Requests are still served.
func (e *Entry) Leave() { e.leave() }

func (e *Entry) isLeaving() bool { return e.staying.Err() != nil }

// Info says where the entry is.
func (e *Entry) Info() membership.EntryInfo {
	return membership.EntryInfo{Name: e.settings.Name, Region: e.settings.Region, Zone: e.settings.Zone, Address: e.settings.Address}
}

// Periods of the background jobs.
const (
	gonePeriod     = 2 * time.Second
	snapshotPeriod = time.Second
)

// refreshGone hands the platform's word on lost workers to the control goroutine.
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

// State returns the newest state of the ledger that the entry has folded in.
func (e *Entry) State() ledger.State { return e.replica.State() }
