// Package e2e runs the built programs for sessions as separate processes on loopback, against the
// stand-in of the platform.
package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/client"
	"yarrowgrade.example/yarrowgrade/internal/loopback"
	"yarrowgrade.example/yarrowgrade/internal/loopback/loopbacktest"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// waitTimeout bounds every wait. It is far longer than any step takes, so that no result depends on
// the speed of the machine.
const waitTimeout = 60 * time.Second

// binaries is the directory in which TestMain built the programs.
var binaries string

func TestMain(m *testing.M) { os.Exit(loopbacktest.Run(m, &binaries)) }

// process is a program that the test started.
type process struct {
	*loopback.Process
	t       testing.TB
	name    string
	address string
	// inbound carries the traffic that others send to the process; platform carries the traffic
	// from the process to the platform.
	inbound, platform *loopback.Link
}

// newProcess returns a process of the daemon that logs to a file.
func newProcess(t testing.TB, name, address, log string, args ...string) *process {
	path := filepath.Join(binaries, "yarrowgraded")
	return &process{Process: &loopback.Process{Path: path, Args: args, Log: log}, t: t, name: name, address: address}
}

// start starts the program, or restarts it after it has ended.
func (p *process) start() {
	p.t.Helper()
	if err := p.Start(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.Signal(s); err != nil {
		p.t.Fatalf("%s: %v", p.name, err)
	}
}

// kill kills the process at once.
func (p *process) kill() { p.Kill() }

// newLink returns a link that is closed at the end of the test.
func newLink(t testing.TB) *loopback.Link {
	t.Helper()
	l, err := loopback.NewLink()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// target is a target that counts the requests that it runs.
type target struct {
	server *httptest.Server
	mu     sync.Mutex
	// runs counts the requests by body.
	runs map[string]int
	// hold, if not nil, blocks requests until it is closed.
	hold chan struct{}
}

func (tg *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	tg.mu.Lock()
	tg.runs[string(body)]++
	hold := tg.hold
	tg.mu.Unlock()
	if hold != nil {
		<-hold
	}
	w.Header().Set(request.IDHeader, r.Header.Get(request.IDHeader))
	fmt.Fprintf(w, "ran %s", body)
}

// cluster is a small system in separate processes.
type cluster struct {
	t           testing.TB
	platform    *standin.Platform
	platformURL string
	logs        string
	entries     []*process
	agents      []*process
	targets     []*target
}

// Parameters of the cluster.
const (
	entryCount   = 2
	agentCount   = 6
	accelerators = 8
	service      = "parkpay"
)

// newCluster starts the processes and waits until all agents have joined. extra flags are passed to
// the agents. All traffic between processes, and to the platform, goes through links that can be
// cut; the test itself calls the processes directly.
func newCluster(t testing.TB, extra ...string) *cluster {
	t.Helper()
	// The log directory must be removed after stop has read the logs in it, so it is created first:
	// cleanups run in reverse order.
	c := &cluster{t: t, platform: standin.New(), logs: t.TempDir()}
	server := httptest.NewServer(standin.Handler(c.platform))
	c.platformURL = server.URL
	t.Cleanup(server.Close)
	t.Cleanup(c.stop)
	// The servers of the test start to listen before free addresses are picked, so that they do not
	// take one of those addresses.
	for range agentCount {
		tg := &target{runs: make(map[string]int)}
		tg.server = httptest.NewServer(tg)
		t.Cleanup(tg.server.Close)
		c.targets = append(c.targets, tg)
	}
	var inbound, outbound []*loopback.Link
	for range entryCount + agentCount {
		inbound, outbound = append(inbound, newLink(t)), append(outbound, newLink(t))
	}
	addresses := freeAddresses(t, entryCount+agentCount)
	for i := range addresses {
		inbound[i].ForwardTo(addresses[i])
		outbound[i].ForwardTo(strings.TrimPrefix(server.URL, "http://"))
	}
	c.startAll(addresses, inbound, outbound, extra)
	c.eventually("all agents have joined", func() bool {
		workers, err := c.client(0).Workers(t.Context())
		return err == nil && len(workers) == agentCount
	})
	c.eventually("the second entry is ready", func() bool {
		workers, err := c.client(1).Workers(t.Context())
		return err == nil && len(workers) == agentCount
	})
	return c
}

// startAll starts the entries and agents. extra flags are passed to the agents.
func (c *cluster) startAll(addresses []string, inbound, outbound []*loopback.Link, extra []string) {
	for i := range entryCount {
		name, peer := fmt.Sprintf("entry-%d", i+1), inbound[(i+1)%entryCount].URL()
		c.entries = append(c.entries, c.start("entry", name, addresses[i], inbound[i], outbound[i],
			"--zone", "zone-a", "--drain", "300ms", "--peers", peer))
	}
	for i := range agentCount {
		args := append([]string{
			"--zone", "zone-a", "--rack", fmt.Sprintf("rack-%d", i/3+1),
			"--accelerators", fmt.Sprint(accelerators), "--service", service, "--target", c.targets[i].server.URL,
			"--entries", inbound[0].URL() + "," + inbound[1].URL(),
		}, extra...)
		at, name := entryCount+i, fmt.Sprintf("worker-%d", i+1)
		c.agents = append(c.agents, c.start("agent", name, addresses[at], inbound[at], outbound[at], args...))
	}
}

func (c *cluster) start(role, name, address string, inbound, outbound *loopback.Link, args ...string) *process {
	args = append([]string{role, "--name", name, "--listen", address, "--address", inbound.URL(),
		"--platform", outbound.URL(), "--log-level", "debug"}, args...)
	p := newProcess(c.t, name, "http://"+address, filepath.Join(c.logs, name+".log"), args...)
	p.inbound, p.platform = inbound, outbound
	p.start()
	return p
}

// stop kills all processes, and prints their logs if the test failed.
func (c *cluster) stop() {
	for _, p := range append(c.entries, c.agents...) {
		p.kill()
		if c.t.Failed() {
			data, _ := os.ReadFile(p.Log)
			c.t.Logf("log of %s:\n%s", p.name, data)
		}
	}
}

func freeAddresses(t testing.TB, n int) []string {
	t.Helper()
	list, err := loopback.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func (c *cluster) client(entry int) *client.Client {
	return client.New(c.entries[entry].address, &http.Client{Timeout: waitTimeout})
}

// eventually waits until ok returns true, and fails the test after waitTimeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if ok() {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-c.t.Context().Done():
			return
		}
	}
	c.t.Fatalf("not within %v: %s", waitTimeout, what)
}

func (c *cluster) putTeam(team ledger.Team) {
	c.t.Helper()
	if _, err := c.client(0).PutConfigWhenReady(c.t.Context(), ledger.TeamPrefix+team.Name, team, "e2e"); err != nil {
		c.t.Fatal(err)
	}
}

// createGang creates a session of 16 accelerators in one rack and waits until it runs.
func (c *cluster) createGang(name string) ledger.Placement {
	c.t.Helper()
	_, err := c.client(0).CreateSession(c.t.Context(), ledger.SessionSpec{
		Name: name, Team: "plates", Shape: placement.Shape{Accelerators: 16, Adjacency: placement.SameRack},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return c.awaitRunning(name, 0)
}

// createUrgent creates an urgent session on one worker.
func (c *cluster) createUrgent(at *client.Client, name string) {
	c.t.Helper()
	_, err := at.CreateSession(c.t.Context(), ledger.SessionSpec{
		Name:   name,
		Team:   "plates",
		Shape:  placement.Shape{Accelerators: 8, Adjacency: placement.SameWorker},
		Urgent: true,
	})
	if err != nil {
		c.t.Fatal(err)
	}
}

// awaitRunning waits until the session runs under a placement with a token above newerThan.
func (c *cluster) awaitRunning(name string, newerThan int64) ledger.Placement {
	c.t.Helper()
	var p ledger.Placement
	// The placement is read each time: one that began while a link was cut may be given up, and the
	// gang then runs under the next token.
	what := fmt.Sprintf("session %s runs with all its tasks under a token above %d", name, newerThan)
	c.eventually(what, func() bool {
		for i := range c.entries {
			v, err := c.client(i).Session(c.t.Context(), name)
			if err != nil || v.Placement == nil || v.Placement.Phase != ledger.Running ||
				v.Placement.Token <= newerThan {
				continue
			}
			p = *v.Placement
			return c.tasks(p.Token) == len(p.Members)
		}
		return false
	})
	return p
}

// tasks returns the number of workers that run a task of the token.
func (c *cluster) tasks(token int64) int {
	n := 0
	for _, a := range c.agents {
		tasks, err := c.platform.Tasks(context.Background(), a.name)
		if err != nil {
			continue
		}
		for _, task := range tasks {
			if task.Token == token && task.State == "running" {
				n++
			}
		}
	}
	return n
}

func (c *cluster) agent(worker string) *process {
	c.t.Helper()
	for _, a := range c.agents {
		if a.name == worker {
			return a
		}
	}
	c.t.Fatalf("no agent %s", worker)
	return nil
}

func (c *cluster) runs(body string) int {
	n := 0
	for _, tg := range c.targets {
		tg.mu.Lock()
		n += tg.runs[body]
		tg.mu.Unlock()
	}
	return n
}

// holdAll blocks the requests at all targets until release is called.
func (c *cluster) holdAll() (release func()) {
	hold := make(chan struct{})
	for _, tg := range c.targets {
		tg.mu.Lock()
		tg.hold = hold
		tg.mu.Unlock()
	}
	var once sync.Once
	release = func() {
		once.Do(func() {
			for _, tg := range c.targets {
				tg.mu.Lock()
				tg.hold = nil
				tg.mu.Unlock()
			}
			close(hold)
		})
	}
	c.t.Cleanup(release)
	return release
}

// Faults of the platform.
var (
	faultNone = standin.Faults{}
	faultDown = standin.Faults{Down: true}
)
