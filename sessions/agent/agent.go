// Package agent is the process beside a target. It is the only way to the target: it admits,
// deduplicates, runs and answers requests. It is also the member, and sometimes the leader, of
// the gangs on its worker.
//
// # Goroutines
//
// One goroutine owns the gangs (control.go). One polls an entry (poll.go). Traffic runs on the
// goroutines of net/http and shares only request.Server, which locks for itself.
//
// # Usage
//
//	a := agent.New(settings, agent.Parts{...})
//	go a.Run(ctx)
//	http.Serve(listener, a.Handler())
//	...
//	a.Leave(ctx) // a planned stop: returns when nothing is in flight
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

// Settings of an agent.
type Settings struct {
	// Worker describes the machine; the agent fills Incarnation.
	Worker ledger.Worker
	// Entries are the base URLs of the entries to start from.
	Entries []string
	Timing  gang.Timing
}

// Validate returns a *fault.Field for the first setting that is wrong.
func (s Settings) Validate() error {
	if err := s.Worker.Validate(); err != nil {
		return err
	}
	if len(s.Entries) == 0 {
		return fault.BadField("entries", "want the URL of at least one entry, such as http://127.0.0.1:7100")
	}
	return s.Timing.Validate()
}

// Parts are what an agent works with.
type Parts struct {
	Target    request.Target
	Platform  hosting.Workers
	Client    *http.Client
	Telemetry *telemetry.Telemetry
	// Random returns a number from 0 to n-1. It spreads retries over time.
	Random func(n int) int
}

// Agent is one agent.
type Agent struct {
	settings  Settings
	parts     Parts
	admission *request.Admission
	server    *request.Server
	// config is what is in force here; the poll goroutine replaces it.
	config atomic.Pointer[config]
	// gangs is what the control goroutine last published.
	gangs       atomic.Pointer[gangs]
	views       chan membership.View
	wakeControl chan struct{}
	wakePoll    chan struct{}
	leaving     atomic.Bool
	joined      atomic.Int64
	// lastView is when an entry last answered a poll, in nanoseconds since 1970, for the status
	// page.
	lastView atomic.Int64
	entries  *entryList
}

// New returns an agent that does nothing until Run. The settings must be valid.
func New(s Settings, p Parts) *Agent {
	a := &Agent{
		settings: s, parts: p,
		views: make(chan membership.View), wakeControl: make(chan struct{}, 1), wakePoll: make(chan struct{}, 1),
		entries: newEntryList(s.Worker, s.Entries),
	}
	a.config.Store(newConfig())
	a.gangs.Store(&gangs{})
	a.admission = request.NewAdmission(s.Worker.Slots, ledger.DefaultLimits().QueueLength, a.share)
	a.server = request.NewServer(s.Worker.Name, s.Worker.Incarnation, p.Target, a.admission, request.NewMemory())
	return a
}

// share is a team's weight at this target. A team that is not known counts least.
func (a *Agent) share(team string) int { return a.config.Load().share(team) }

// Run polls and keeps the gangs until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { a.poll(ctx) })
	wg.Go(func() { a.control(ctx) })
	wg.Wait()
}

// leavePoll is how often Leave looks whether the gangs are gone.
const leavePoll = 50 * time.Millisecond

// Leave is a planned stop: no new work is taken, and it returns when all requests in flight
// have been answered and all gangs have been moved away, or when ctx ends.
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

// notifyEntries says to every known entry that the agent is leaving. The poll says it too, but to
// one entry only.
func (a *Agent) notifyEntries(ctx context.Context) {
	var wg conc.WaitGroup
	for _, e := range a.entries.known() {
		wg.Go(func() { a.notifyLeaving(ctx, e.Address) })
	}
	wg.Wait()
}

// ConfigRevision returns the revision of the configuration in force at the agent.
func (a *Agent) ConfigRevision() int64 { return a.config.Load().revision }
