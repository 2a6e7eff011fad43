// Package agent implements the process that runs next to a target on each worker. All requests for
// the target go through it, and it runs the members, and sometimes the leaders, of the gangs on the
// worker.
//
// # State
//
// An agent keeps nothing on disk. It owns the queue of its target, the memory of keys, and the gang
// members on its worker. All of this ends with the process, and the next one is a new incarnation.
// The configuration and the assignments come from the ledger, by way of an entry.
//
// # Goroutines
//
// One goroutine owns the gangs (control.go). Another one polls an entry (poll.go). Requests run on
// the goroutines of net/http and share only request.Server, which does its own locking.
//
// # Dependencies
//
// The agent needs one reachable entry to join, to learn of changes and to report. Without one it
// continues with what it has. It calls its target for requests and the platform for tasks.
//
// # Usage
//
//	a := agent.New(settings, agent.Parts{...})
//	go a.Run(ctx)
//	http.Serve(listener, a.Handler())
//	...
//	a.Leave(ctx) // returns when nothing is in flight
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
	// Worker describes the machine and names the incarnation of the agent.
	Worker ledger.Worker
	// Entries are the base URLs of the first entries to try.
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

// Parts are the dependencies of an agent.
type Parts struct {
	Target    request.Target
	Platform  hosting.Workers
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	// Random returns a number from 0 to n-1. It is used for the jitter of retries.
	Random func(n int) int
}

// Agent is the agent of one worker.
type Agent struct {
	settings  Settings
	parts     Parts
	admission *request.Admission
	server    *request.Server
	// config is replaced by the poll goroutine only.
	config atomic.Pointer[config]
	// gangs is published by the control goroutine.
	gangs       atomic.Pointer[gangs]
	views       chan membership.View
	wakeControl chan struct{}
	wakePoll    chan struct{}
	leaving     atomic.Bool
	joined      atomic.Int64
	// lastView is when an entry last answered a poll, in ns since 1970, for the status page.
	lastView atomic.Int64
	entries  *entryList
}

// New returns an agent that does nothing until Run. The settings must be valid.
func New(s Settings, p Parts) *Agent {
	a := &Agent{
		settings:    s,
		parts:       p,
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

// leavePoll is how often Leave checks whether all gangs have left the worker.
const leavePoll = 50 * time.Millisecond

// Leave drains the agent for a planned stop. The agent takes no new work, and Leave returns
// when all requests in flight have been answered and no gang is left on the worker. Its error
// means that ctx ended first.
func (a *Agent) Leave(ctx context.Context) error {
	a.leaving.Store(true)
	a.admission.Leave()
	a.notifyPoll()
	a.notifyEntries(ctx)
	select {
	case <-a.admission.Idle():
	case <-ctx.Done():
		return fault.New("agent.Leave", "", ctx.Err())
	}
	for !a.gangs.Load().empty() {
		select {
		case <-time.After(leavePoll):
		case <-ctx.Done():
			return fault.New("agent.Leave", "", ctx.Err())
		}
	}
	return nil
}

// notifyEntries tells all known entries that the agent is leaving. The poll reports it to one entry
// only.
func (a *Agent) notifyEntries(ctx context.Context) {
	var wg conc.WaitGroup
	for _, e := range a.entries.known() {
		wg.Go(func() { a.notifyLeaving(ctx, e.Address) })
	}
	wg.Wait()
}

// ConfigRevision returns the revision of the configuration that the agent applies.
func (a *Agent) ConfigRevision() int64 { return a.config.Load().revision }
