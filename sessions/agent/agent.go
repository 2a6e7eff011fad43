// Package agent implements the process that runs next to a target on each worker. All requests to
// the target go through the agent. The agent also runs the members of the gangs on its worker, and
// the leaders of those gangs that the worker leads.
//
// # State
//
// An agent keeps nothing on disk. In memory it owns the request queue of its target, the record of
// keys that it has seen, and the gang members on its worker. All of this is lost when the process
// ends, and the next process is a new incarnation. The configuration and the assignments come from
// the ledger through an entry.
//
// # Goroutines
//
// One goroutine owns the gangs (control.go), and another one polls an entry (poll.go). Requests run
// on the goroutines of net/http and share only request.Server, which does its own locking.
//
// # Dependencies
//
// The agent needs one reachable entry to join, to receive changes and to report. Without one it
// continues with its last configuration and assignments. It calls its target to run requests, and
// the platform to run tasks.
//
// # Usage
//
//	a := agent.New(settings, agent.Dependencies{...})
//	go a.Run(ctx)
//	http.Serve(listener, a.Handler())
//	...
//	a.Leave(ctx) // returns when no request is in flight and no gang is left
package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// Settings configure an agent.
type Settings struct {
	// Worker describes the worker and the incarnation of its agent.
	Worker ledger.Worker
	// Entries are the base URLs of the entries to try first.
	Entries []string
	Timing  gang.Timing
}

// Validate returns a *fault.Field for the first invalid setting.
func (s Settings) Validate() error {
	if err := s.Worker.Validate(); err != nil {
		return err
	}
	if len(s.Entries) == 0 {
		return fault.BadField("entries", "want the URL of at least one entry, such as http://127.0.0.1:7100")
	}
	return s.Timing.Validate()
}

// Dependencies are the components that an agent uses.
type Dependencies struct {
	Target    request.Target
	Platform  hosting.Workers
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	// Random returns a random number from 0 to n-1. It provides the jitter of retries.
	Random func(n int) int
}

// Agent is the agent of one worker.
type Agent struct {
	settings  Settings
	deps      Dependencies
	admission *request.Admission
	server    *request.Server
	// config is replaced only by the poll goroutine.
	config atomic.Pointer[config]
	// gangs is replaced only by the control goroutine.
	gangs       atomic.Pointer[gangs]
	views       chan membership.View
	wakeControl chan struct{}
	wakePoll    chan struct{}
	leaving     atomic.Bool
	joined      atomic.Int64
	// lastView is the time of the last answered poll, in ns since 1970. It is shown on the status
	// page.
	lastView atomic.Int64
	entries  *entryList
}

// New returns an agent that does nothing until Run is called. The settings must be valid.
func New(s Settings, p Dependencies) *Agent {
	a := &Agent{
		settings:    s,
		deps:        p,
		views:       make(chan membership.View),
		wakeControl: make(chan struct{}, 1),
		wakePoll:    make(chan struct{}, 1),
		entries:     newEntryList(s.Worker, s.Entries),
	}
	a.config.Store(newConfig())
	a.gangs.Store(&gangs{})
	a.admission = request.NewAdmission(s.Worker.Slots, ledger.DefaultLimits().QueueLength, a.share)
	a.server = request.NewServer(s.Worker.Name, s.Worker.Incarnation, p.Target, a.admission, request.NewDedupTable())
	return a
}

// share returns a team's weight at this target.
func (a *Agent) share(team string) int { return a.config.Load().share(team) }

// Run polls an entry and runs the gangs until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { a.poll(ctx) })
	wg.Go(func() { a.control(ctx) })
	wg.Wait()
}

// leaveCheckInterval is the interval at which Leave checks whether all gangs have left the worker.
const leaveCheckInterval = 50 * time.Millisecond

// Leave drains the agent before a planned stop. The agent takes no new work, and Leave returns when
// all requests in flight have been answered and no gang is left on the worker. It returns an error
// if ctx ends first.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	a.admission.Leave()
	a.notifyPoll()
	a.announceLeaving(ctx)
	select {
	case <-a.admission.Idle():
	case <-ctx.Done():
		return fault.New("agent.Leave", "", ctx.Err())
	}
	for !a.gangs.Load().empty() {
		select {
		case <-time.After(leaveCheckInterval):
		case <-ctx.Done():
			return fault.New("agent.Leave", "", ctx.Err())
		}
	}
	return nil
}

// announceLeaving notifies all known entries that the agent is leaving. The poll reports it to only
// one of them.
func (a *Agent) announceLeaving(ctx context.Context) {
	var wg conc.WaitGroup
	for _, e := range a.entries.known() {
		wg.Go(func() { a.notifyLeaving(ctx, e.Address) })
	}
	wg.Wait()
}

// ConfigRevision returns the revision of the configuration that is in force.
func (a *Agent) ConfigRevision() int64 { return a.config.Load().revision }
