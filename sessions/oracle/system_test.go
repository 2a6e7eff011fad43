// Package oracle tests the guarantees of the session scheduler against simple models, under
// injected faults and on a simulated clock.
//
// The system under test consists of real entries and agents with their handlers and clients, on an
// in-memory network (memnet) and platform (standin). A plan of actions is drawn first and then
// executed in a testing/synctest bubble, so that hours pass in milliseconds and a failing plan can
// be shrunk and replayed.
//
// To replay a failure, run the command that the failing test prints, such as
//
//	go test ./sessions/oracle -run TestSystem -rapid.failfile=...
package oracle

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/client"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/agent"
	"yarrowgrade.example/yarrowgrade/sessions/entry"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// Dimensions and addresses of the system under test.
const (
	entryCount      = 2
	agentCount      = 6
	accelerators    = 4
	service         = "roster"
	platformAddress = "http://platform"
	callerAddress   = "http://caller"
)

func entryAddress(i int) string { return fmt.Sprintf("http://entry-%d", i) }
func agentAddress(i int) string { return fmt.Sprintf("http://worker-%d", i) }
func workerName(i int) string   { return fmt.Sprintf("worker-%d", i) }

// zoneSize is the number of agents in an availability zone, which has one entry and one rack.
const zoneSize = agentCount / entryCount

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// system is the system under test.
type system struct {
	t        *testing.T
	slots    int
	platform *standin.Platform
	network  *memnet.Network
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	entries    map[int]*running[*entry.Entry]
	agents     map[int]*running[*agent.Agent]
	starts     int
	violations []string
	targets    map[int]*fakeTarget
	// runs counts the runs of each request body on all targets.
	runs map[string]int
}

// running is a running process with the function that stops it.
type running[T any] struct {
	process T
	cancel  context.CancelFunc
}

// newSystem starts a system of the default size.
func newSystem(t *testing.T, seed uint64) *system { return newSystemOf(t, seed, agentCount, 2) }

// newSystemOf starts the entries and the given number of agents, each with a target that has the
// given number of slots.
func newSystemOf(t *testing.T, seed uint64, agents, slots int) *system {
	s := &system{
		t:        t,
		slots:    slots,
		platform: standin.New(),
		network:  memnet.New(),
		random:   rand.New(rand.NewPCG(seed, 1)),
		entries:  make(map[int]*running[*entry.Entry]),
		agents:   make(map[int]*running[*agent.Agent]),
		targets:  make(map[int]*fakeTarget),
		runs:     make(map[string]int),
	}
	s.ctx, s.cancel = context.WithCancel(t.Context())
	s.network.Attach(platformAddress, standin.Handler(s.platform))
	for i := range entryCount {
		s.startEntry(i)
	}
	for i := range agents {
		s.targets[i] = &fakeTarget{system: s, delay: 20 * time.Millisecond}
		s.startAgent(i)
	}
	return s
}

// intN returns a random number in [0, n). It is the random source of all processes.
func (s *system) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *system) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *system) startEntry(i int) {
	address := entryAddress(i)
	settings := entry.DefaultSettings()
	settings.Name, settings.Zone, settings.Address = fmt.Sprintf("entry-%d", i), zoneName(i), address
	settings.SnapshotRecords = 30
	for j := range entryCount {
		if j != i {
			settings.Peers = append(settings.Peers, entryAddress(j))
		}
	}
	c := s.network.Client(address)
	e := entry.New(settings, entry.Dependencies{
		Platform:  hosting.NewClient(platformAddress, c),
		Client:    c,
		Telemetry: telemetry.Discard(),
		Random:    s.intN,
	})
	ctx, cancel := context.WithCancel(s.ctx)
	s.entries[i] = &running[*entry.Entry]{process: e, cancel: cancel}
	s.network.Attach(address, e.Handler())
	s.wg.Go(func() { e.Run(ctx) })
}

func (s *system) killEntry(i int) {
	if r, found := s.entries[i]; found {
		s.network.Kill(entryAddress(i))
		r.cancel()
		delete(s.entries, i)
	}
}

// timing has short intervals, so that a short plan reaches the time limits.
var timing = gang.Timing{
	HeartbeatInterval:  time.Second,
	HeartbeatTimeout:   3 * time.Second,
	LeaseDuration:      3 * time.Second,
	CheckpointInterval: 10 * time.Second,
}

func (s *system) startAgent(i int) {
	address := agentAddress(i)
	s.starts++
	settings := agent.Settings{
		Worker: ledger.Worker{
			Name:         workerName(i),
			Zone:         zoneName(i / zoneSize % entryCount),
			Rack:         fmt.Sprintf("rack-%d", i/zoneSize),
			Accelerators: accelerators,
			Service:      service,
			Address:      address,
			Slots:        s.slots,
			Incarnation:  fmt.Sprintf("run-%d", s.starts),
		},
		Timing: timing,
	}
	for j := range entryCount {
		settings.Entries = append(settings.Entries, entryAddress(j))
	}
	c := s.network.Client(address)
	a := agent.New(settings, agent.Dependencies{
		Target:    s.targets[i],
		Platform:  hosting.NewClient(platformAddress, c),
		Client:    c,
		Telemetry: telemetry.Discard(),
		Random:    s.intN,
	})
	ctx, cancel := context.WithCancel(s.ctx)
	s.agents[i] = &running[*agent.Agent]{process: a, cancel: cancel}
	s.network.Attach(address, a.Handler())
	s.wg.Go(func() { a.Run(ctx) })
}

func (s *system) killAgent(i int) {
	if r, found := s.agents[i]; found {
		s.network.Kill(agentAddress(i))
		r.cancel()
		delete(s.agents, i)
	}
}

// stop stops all processes.
func (s *system) stop() {
	s.network.Heal()
	s.cancel()
	s.wg.Wait()
	// Messages in flight need time to arrive, because the clock of a bubble stops when the bubble's
	// first goroutine ends.
	time.Sleep(2 * time.Minute)
}

func (s *system) caller(i int) *client.Client {
	return client.New(entryAddress(i), s.network.Client(callerAddress))
}

// state returns the newest state that an entry holds.
func (s *system) state(i int) (ledger.State, bool) {
	r, found := s.entries[i]
	if !found {
		return ledger.State{}, false
	}
	return r.process.State(), true
}

// eventually waits up to limit for ok to return true, and returns its last result.
func (s *system) eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if ok() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ok()
}

// teams are the teams of the system under test. Their guarantees can all be met at the same time:
// they take 8+8 of 24 accelerators.
var teams = []ledger.Team{
	{Name: "wards", Share: 3, Guarantees: guarantee(8, placement.SameRack, 1)},
	{Name: "ports", Share: 1, Guarantees: guarantee(4, placement.SameWorker, 2)},
	{Name: "bakers", Share: 1},
}

func guarantee(accelerators int, a placement.Adjacency, count int) []placement.Guarantee {
	shape := placement.Shape{Accelerators: accelerators, Adjacency: a}
	return []placement.Guarantee{{Shape: shape, Count: count}}
}

// setUpTeams adds the teams and waits until all agents have joined.
func (s *system) setUpTeams() {
	for _, team := range teams {
		if _, err := s.caller(0).PutConfigWhenReady(s.ctx, ledger.TeamPrefix+team.Name, team, "oracle"); err != nil {
			s.addViolation("team %s: %v", team.Name, err)
		}
	}
	if !s.eventually(30*time.Second, func() bool {
		state, _ := s.state(0)
		return len(state.Workers()) == len(s.agents)
	}) {
		s.addViolation("not all agents joined")
	}
}

func (s *system) foundViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// isConflict reports whether an entry rejected a change with a conflict status.
func isConflict(err error) bool {
	var status *jsonhttp.StatusError
	return errors.As(err, &status) && status.Status == http.StatusConflict
}
