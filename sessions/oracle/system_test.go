// Package oracle checks the promises of yarrowgrade against simple oracles, under failures, on a paused clock.
//
// The system under test is the real one: entries and agents with their real handlers and clients, on the in-memory
// network and platform of package standin. A plan of actions is drawn first and then executed in a bubble of
// testing/synctest, so that hours pass in milliseconds and a plan can be shrunk and replayed.
//
// Replay a failure with the command that the failing test prints, such as
//
//	go test ./oracle -run TestSystem -rapid.failfile=...
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
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// Shape of the system under test.
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

// zoneSize is the number of agents of an availability zone, which has one entry and one rack.
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
	// runs counts the bodies that targets ran.
	runs map[string]int
}

// running is a process that runs.
type running[T any] struct {
	process T
	cancel  context.CancelFunc
}

// newSystem starts the processes of the usual system.
func newSystem(t *testing.T, seed uint64) *system { return newSystemOf(t, seed, agentCount, 2) }

// newSystemOf starts entries and the given number of agents, each with a target of the given slots.
func newSystemOf(t *testing.T, seed uint64, agents, slots int) *system {
	s := &system{
		t: t, slots: slots, platform: standin.New(), network: memnet.New(), random: rand.New(rand.NewPCG(seed, 1)),
		entries: make(map[int]*running[*entry.Entry]), agents: make(map[int]*running[*agent.Agent]),
		targets: make(map[int]*fakeTarget), runs: make(map[string]int),
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

// intN is the random source of all processes.
func (s *system) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *system) violate(format string, args ...any) {
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
	e := entry.New(settings, entry.Parts{
		Platform: hosting.NewClient(platformAddress, c), Client: c, Telemetry: telemetry.Discard(), Random: s.intN,
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

// timing is fast, so that bounds are met within a short plan.
var timing = gang.Timing{Beat: time.Second, Fresh: 3 * time.Second, Lease: 3 * time.Second, Checkpoint: 10 * time.Second}

func (s *system) startAgent(i int) {
	address := agentAddress(i)
	s.starts++
	settings := agent.Settings{
		Worker: ledger.Worker{
			Name: workerName(i), Zone: zoneName(i / zoneSize % entryCount), Rack: fmt.Sprintf("rack-%d", i/zoneSize), Accelerators: accelerators,
			Service: service, Address: address, Slots: s.slots, Incarnation: fmt.Sprintf("run-%d", s.starts),
		},
		Timing: timing,
	}
	for j := range entryCount {
		settings.Entries = append(settings.Entries, entryAddress(j))
	}
	c := s.network.Client(address)
	a := agent.New(settings, agent.Parts{
		Target: s.targets[i], Platform: hosting.NewClient(platformAddress, c), Client: c,
		Telemetry: telemetry.Discard(), Random: s.intN,
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

// stop ends all processes.
func (s *system) stop() {
	s.network.Heal()
	s.cancel()
	s.wg.Wait()
	// What is still on its way has to arrive: the clock of a bubble stops when its first goroutine ends.
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

// eventually advances the clock until ok, for at most limit.
func (s *system) eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if ok() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ok()
}

// targetFault is how a target misbehaves.
type targetFault int

const (
	faultNone targetFault = iota
	// faultRefuse does not take the connection.
	faultRefuse
	// faultCut runs the request and loses the answer.
	faultCut
	// faultCross answers with another request's answer.
	faultCross
	// faultSlow runs the request very slowly.
	faultSlow
	targetFaults
)

// fakeTarget runs requests and counts them.
type fakeTarget struct {
	system *system
	delay  time.Duration
	mu     sync.Mutex
	fault  targetFault
}

func (f *fakeTarget) set(fault targetFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeTarget) mode() targetFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

var errCut = errors.New("cut")

// Run implements request.Target.
func (f *fakeTarget) Run(ctx context.Context, hop request.Hop) (int, string, error) {
	fault := f.mode()
	if fault == faultRefuse {
		return 0, "", &request.NotSentError{Err: errCut}
	}
	f.system.ran(hop.Body)
	delay := f.delay
	if fault == faultSlow {
		delay = time.Minute
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return 0, "", ctx.Err()
	}
	switch fault {
	case faultCut:
		return 0, "", errCut
	case faultCross:
		return 0, "", request.ErrCrossed
	}
	return 200, answerTo(hop.Body), nil
}

func answerTo(body string) string { return "ran " + body }

func (s *system) ran(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[body]++
}

func (s *system) runsOf(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// watchGangs reports a gang that runs partially for longer than its bound, until ctx ends. The truth is the platform's
// list of tasks; how many members a gang has comes from its placement.
func (s *system) watchGangs(ctx context.Context, sizes *sizes) {
	since := make(map[int64]time.Time)
	for ctx.Err() == nil {
		counts := make(map[int64]int)
		for i := range agentCount {
			tasks, err := s.platform.Tasks(ctx, workerName(i))
			if err != nil {
				continue
			}
			for _, task := range tasks {
				if task.State == hosting.TaskRunning {
					counts[task.Token]++
				}
			}
		}
		for token, n := range counts {
			if want, known := sizes.of(token); !known || n == want {
				delete(since, token)
				continue
			}
			if since[token].IsZero() {
				since[token] = time.Now()
			}
			if partial := time.Since(since[token]); partial > timing.Bound()+time.Second {
				s.violate("gang %d has run with %d members for %v", token, n, partial)
				delete(since, token)
			}
		}
		for token := range since {
			if counts[token] == 0 {
				delete(since, token)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sizes remembers how many members each placement has.
type sizes struct {
	mu sync.Mutex
	m  map[int64]int
}

func (z *sizes) of(token int64) (int, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	n, found := z.m[token]
	return n, found
}

// watchStates checks each entry's state whenever it looks: revisions only grow, guarantees stay feasible while no worker
// is lost, no accelerator has two holders, and accepted sessions are kept.
func (s *system) watchStates(ctx context.Context, z *sizes, states func() []ledger.State) {
	newest := make(map[int]int64)
	for ctx.Err() == nil {
		for i, state := range states() {
			if state.Revision() < newest[i] {
				newest[i] = 0 // the entry was replaced and reads again
			}
			newest[i] = state.Revision()
			z.mu.Lock()
			for _, p := range state.Placements() {
				z.m[p.Token] = len(p.Members)
			}
			z.mu.Unlock()
			for _, complaint := range stateComplaints(state) {
				s.violate("revision %d: %s", state.Revision(), complaint)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// stateComplaints checks what must hold in every single state.
func stateComplaints(state ledger.State) []string {
	var list []string
	held := make(map[string]int64)
	for _, p := range state.Placements() {
		count := 0
		for _, m := range p.Members {
			count += len(m.Accelerators)
			if p.IsReleased(m.Worker) {
				continue
			}
			w, _ := state.Worker(m.Worker)
			for _, a := range m.Accelerators {
				place := fmt.Sprintf("%s/%d", m.Worker, a)
				if other, taken := held[place]; taken {
					list = append(list, fmt.Sprintf("%s is held by %d and %d", place, other, p.Token))
				}
				held[place] = p.Token
				if w.Holders[a] != p.Token {
					list = append(list, fmt.Sprintf("%s should be held by %d, not %d", place, p.Token, w.Holders[a]))
				}
			}
		}
		if count != p.Shape.Accelerators {
			list = append(list, fmt.Sprintf("placement %d has %d of %d accelerators", p.Token, count, p.Shape.Accelerators))
		}
		session, found := state.Session(p.Session)
		if p.Phase != ledger.Stopping && (!found || session.Token != p.Token) {
			list = append(list, fmt.Sprintf("placement %d runs for session %s, which has token %d", p.Token, p.Session, session.Token))
		}
	}
	for _, session := range state.Sessions() {
		_, found := state.Placement(session.Token)
		if session.Phase == ledger.SessionPlaced && !found {
			list = append(list, fmt.Sprintf("session %s is placed by %d, which is no more", session.Name, session.Token))
		}
	}
	return list
}

// teams are the customers of the system under test. Their guarantees fit together: 8+8 of 24 accelerators.
var teams = []ledger.Team{
	{Name: "wards", Share: 3, Guarantees: []placement.Guarantee{{Shape: placement.Shape{Accelerators: 8, Adjacency: placement.SameRack}, Count: 1}}},
	{Name: "ports", Share: 1, Guarantees: []placement.Guarantee{{Shape: placement.Shape{Accelerators: 4, Adjacency: placement.SameWorker}, Count: 2}}},
	{Name: "bakers", Share: 1},
}

// declare puts the teams.
func (s *system) declare() {
	for _, team := range teams {
		if _, err := s.caller(0).PutConfigWhenReady(s.ctx, ledger.TeamPrefix+team.Name, team, "oracle"); err != nil {
			s.violate("team %s: %v", team.Name, err)
		}
	}
	if !s.eventually(30*time.Second, func() bool {
		state, _ := s.state(0)
		return len(state.Workers()) == len(s.agents)
	}) {
		s.violate("not all agents joined")
	}
}

func (s *system) verdict() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// refused reports whether an entry answered that a change conflicts.
func refused(err error) bool {
	var status *jsonhttp.StatusError
	return errors.As(err, &status) && status.Status == http.StatusConflict
}
