package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/client"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/agent"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

const (
	// measureWindow is the duration of the measurement of a steady state. It is longer than a poll
	// of any agent.
	measureWindow = 35 * time.Second
	// settleTime is the pause before the measurement, in which the effects of the start subside.
	settleTime = 15 * time.Second
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

func countingClient(bytes *atomic.Int64) *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{Conn: c, bytes: bytes}, nil
		},
	}}
}

// usage is the resource consumption of a process.
type usage struct {
	cpu   time.Duration
	bytes int64
	rss   int64
}

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

func usageOf(b *testing.B, pid int, bytes int64) usage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{cpu: time.Duration(user+system) * clockTick, bytes: bytes, rss: pages * int64(os.Getpagesize())}
}

// report reports the resource consumption of a process in a steady state.
func report(b *testing.B, pid int, bytes func() int64) {
	before := usageOf(b, pid, bytes())
	time.Sleep(measureWindow)
	after := usageOf(b, pid, bytes())
	b.ReportMetric(100*float64(after.cpu-before.cpu)/float64(measureWindow), "%core")
	b.ReportMetric(float64(after.bytes-before.bytes)/measureWindow.Seconds(), "B/s")
	b.ReportMetric(float64(after.rss)/(1<<20), "MB")
}

// swarm is a set of many agents in this process, with entries in processes of their own.
type swarm struct {
	b        *testing.B
	platform *standin.Platform
	entries  []*process
	// client calls the first entry.
	client *client.Client
	agents []*agent.Agent
	// stops holds the functions that stop the agents.
	stops      []context.CancelFunc
	agentBytes atomic.Int64
	logBytes   atomic.Int64
}

func newSwarm(b *testing.B, entries, agents int) *swarm {
	s := &swarm{b: b, platform: standin.New()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: standin.Handler(s.platform)}
	go func() { _ = server.Serve(countingListener{Listener: l, bytes: &s.logBytes}) }()
	b.Cleanup(func() { _ = server.Close() })
	addresses := freeAddresses(b, entries)
	for i, address := range addresses {
		s.startEntry(i, address, addresses, "http://"+l.Addr().String())
	}
	s.client = client.New(s.entries[0].address, &http.Client{Timeout: waitTimeout})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for i := range agents {
		s.startAgent(ctx, i)
	}
	s.eventually(func() bool {
		workers, err := s.client.Workers(ctx)
		return err == nil && len(workers) == agents
	})
	return s
}

func (s *swarm) startEntry(i int, address string, all []string, platformURL string) {
	var peers []string
	for _, other := range all {
		if other != address {
			peers = append(peers, "http://"+other)
		}
	}
	name := fmt.Sprintf("entry-%d", i)
	p := newProcess(s.b, name, "http://"+address, filepath.Join(s.b.TempDir(), name+".log"),
		"entry", "--name", name, "--zone", "z", "--listen", address, "--platform", platformURL, "--log-level", "warn",
	)
	if len(peers) > 0 {
		p.Args = append(p.Args, "--peers", strings.Join(peers, ","))
	}
	p.start()
	s.b.Cleanup(p.kill)
	s.entries = append(s.entries, p)
}

// startAgent starts an agent with one accelerator, as most workers of the design size have.
func (s *swarm) startAgent(ctx context.Context, i int) {
	a := agent.New(agent.Settings{
		Worker: ledger.Worker{
			Name:         fmt.Sprintf("w%04d", i),
			Zone:         "z",
			Rack:         fmt.Sprintf("r%d", i/3),
			Accelerators: 1,
			Service:      service,
			Address:      "http://127.0.0.1:1",
			Slots:        8,
			Incarnation:  "one",
		},
		Entries: s.entryURLs(),
		Timing:  gang.DefaultTiming(),
	}, agent.Dependencies{
		Platform:  s.platform,
		Client:    countingClient(&s.agentBytes),
		Telemetry: telemetry.Discard(),
		Random:    rand.IntN,
	})
	s.agents = append(s.agents, a)
	ctx, stop := context.WithCancel(ctx)
	s.stops = append(s.stops, stop)
	go a.Run(ctx)
}

func (s *swarm) entryURLs() []string {
	var list []string
	for _, e := range s.entries {
		list = append(list, e.address)
	}
	return list
}

// loseWorkers stops the first n agents and reports their workers as gone.
func (s *swarm) loseWorkers(n int) {
	for i := range n {
		s.stops[i]()
		s.platform.RemoveWorker(fmt.Sprintf("w%04d", i))
	}
}

// records returns the number of records in the log.
func (s *swarm) records() int64 {
	batch, err := s.platform.Read(context.Background(), hosting.LedgerStream, 1, 1, 0)
	if err != nil {
		s.b.Fatal(err)
	}
	return batch.Next - 1
}

func (s *swarm) eventually(ok func() bool) { s.eventuallyEvery(2*time.Millisecond, ok) }

// eventuallyEvery waits until ok returns true, and checks at the given interval. The interval
// should be long if a check is costly for the entry.
func (s *swarm) eventuallyEvery(pause time.Duration, ok func() bool) {
	s.b.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pause) {
		if time.Now().After(end) {
			s.b.Fatal("condition not met in time")
		}
	}
}

func (s *swarm) bytes() int64 { return s.agentBytes.Load() + s.logBytes.Load() }

// measurePropagation changes the configuration and returns the time until the last agent has it.
func (s *swarm) measurePropagation() time.Duration {
	limits := ledger.DefaultLimits()
	entry, _ := s.client.Config(context.Background(), ledger.LimitsKey)
	began := time.Now()
	answer, err := s.client.PutConfig(context.Background(), ledger.LimitsKey, limits, entry.Revision, "capacity")
	if err != nil {
		s.b.Fatal(err)
	}
	s.eventually(func() bool {
		for _, a := range s.agents {
			if a.ConfigRevision() < answer.Revision {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

// measureUrgentStart creates an urgent session and returns the time until its task runs.
func (s *swarm) measureUrgentStart(i int) time.Duration {
	began := time.Now()
	name := fmt.Sprintf("urgent-%d", i)
	spec := ledger.SessionSpec{
		Name:   name,
		Team:   "wards",
		Shape:  placement.Shape{Accelerators: 1, Adjacency: placement.SameRegion},
		Urgent: true,
	}
	if _, err := s.client.CreateSession(context.Background(), spec); err != nil {
		s.b.Fatal(err)
	}
	s.eventually(func() bool {
		v, err := s.client.Session(context.Background(), name)
		return err == nil && v.Placement != nil && s.runs(v.Placement.Members[0].Worker, v.Placement.Token)
	})
	return time.Since(began)
}

func (s *swarm) runs(worker string, token int64) bool {
	tasks, _ := s.platform.Tasks(context.Background(), worker)
	for _, t := range tasks {
		if t.Token == token && t.State == hosting.TaskRunning {
			return true
		}
	}
	return false
}

// fill creates the teams of the design size, and sessions of one accelerator each.
func (s *swarm) fill(sessions int) {
	s.b.Helper()
	for i := range teamCount {
		team := ledger.Team{Name: fmt.Sprintf("team-%d", i), Share: 1}
		if i == 0 {
			team.Name = "wards"
		}
		key := ledger.TeamPrefix + team.Name
		if _, err := s.client.PutConfig(context.Background(), key, team, 0, "capacity"); err != nil {
			s.b.Fatal(err)
		}
	}
	for i := range sessions {
		spec := ledger.SessionSpec{
			Name:  fmt.Sprintf("s%d", i),
			Team:  "wards",
			Shape: placement.Shape{Accelerators: 1, Adjacency: placement.SameZone},
		}
		if _, err := s.client.CreateSession(context.Background(), spec); err != nil {
			s.b.Fatal(err)
		}
	}
}

func (s *swarm) slowestUrgentStart(n int) time.Duration {
	var starts []time.Duration
	for i := range n {
		starts = append(starts, s.measureUrgentStart(i))
	}
	return slowest(starts)
}

// running returns the number of running sessions.
func (s *swarm) running() int { return s.runningOutside(nil) }

// runningOutside returns the number of sessions that run on workers other than the given ones.
func (s *swarm) runningOutside(workers map[string]bool) int {
	sessions, err := s.client.Sessions(context.Background())
	if err != nil {
		return -1
	}
	n := 0
	for _, v := range sessions {
		if v.Placement != nil && v.Placement.Phase == ledger.Running && !workers[v.Placement.Members[0].Worker] {
			n++
		}
	}
	return n
}
