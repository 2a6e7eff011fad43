package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/loopback"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/platform/standin"
)

// Time limits in the settings of the processes, with the values that the users' sites have.
const (
	lease           = 6 * time.Second
	revocationLimit = 5 * time.Second
	gracePeriod     = 6 * time.Second
)

// Configuration of a scenario.
const (
	service    = "roster"
	host       = "queues.example"
	validKey   = "key-kept"
	revokedKey = "key-taken"
	rackSize   = 3
)

// capacity is the capacity of each worker.
var capacity = job.Resources{CPU: 16_000, Memory: 64_000, Accelerators: 8}

// queues is the number of queues. Each has its own priority.
const queues = 3

// zoneOf returns the availability zone of a worker. Each rack is its own zone.
func zoneOf(worker int) string { return fmt.Sprintf("zone-%d", worker/rackSize) }

func prefix(queue int) string { return fmt.Sprintf("/q%d/", queue) }

// box is a process and the network links around it.
type box struct {
	name    string
	process *loopback.Process
	// inboundLink leads from agents and entries to an entry, storeLink from a process to the store,
	// and workerLink from an agent to its worker.
	inboundLink, storeLink, workerLink *loopback.Link
	// callerAddress is the address of an entry for callers.
	callerAddress string
	// worker is the worker of an agent; nil for an entry.
	worker *jobtest.Worker
	// boot holds the settings with which the process was started.
	boot standin.Settings
}

// links returns all links of the box.
func (b *box) links() []*loopback.Link {
	var all []*loopback.Link
	for _, l := range []*loopback.Link{b.inboundLink, b.storeLink, b.workerLink} {
		if l != nil {
			all = append(all, l)
		}
	}
	return all
}

// cluster is the system under test.
type cluster struct {
	settings settings
	platform *standin.Platform
	store    string
	entries  []*box
	agents   []*box
	workers  []*jobtest.Worker
	logs     string
	closers  []func()
}

// newCluster starts the platform and all processes. The caller must call close even after an error.
func newCluster(ctx context.Context, s settings, seed uint64, logs string) (*cluster, error) {
	c := &cluster{settings: s, platform: standin.New(seed), logs: logs}
	address, err := c.serve(c.platform.StoreHandler())
	if err != nil {
		return c, err
	}
	c.store = address
	c.platform.Workers.FailureShare = 0.03
	if s.SameIDs {
		c.platform.Workers.SameIDShare = sameIDShare
	}
	go c.platform.Workers.Run(ctx)
	if err := c.platform.PutConfig(ctx, config(1, validKey, revokedKey)); err != nil {
		return c, err
	}
	for i := range s.Entries {
		if err := c.addEntry(i); err != nil {
			return c, err
		}
	}
	for i := range s.Workers {
		if err := c.addAgent(ctx, i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// config returns a configuration in which the API keys are valid.
func config(version int64, keys ...string) standin.Config {
	c := standin.Config{Version: version, Teams: []standin.Team{{Name: "team", Keys: keys, Guaranteed: 16}}}
	for q := range queues {
		c.Queues = append(c.Queues, standin.Queue{
			Name:     fmt.Sprintf("queue-%d", q),
			Host:     host,
			Prefix:   prefix(q),
			Service:  service,
			Priority: q,
			Attempts: 4,
		})
	}
	return c
}

// serve serves a handler on a loopback address until close.
func (c *cluster) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	c.closers = append(c.closers, func() { server.Close() })
	return l.Addr().String(), nil
}

// link returns a link to an address. It stays open until close.
func (c *cluster) link(to string) (*loopback.Link, error) {
	l, err := loopback.NewLink()
	if err != nil {
		return nil, err
	}
	l.ForwardTo(to)
	c.closers = append(c.closers, l.Close)
	return l, nil
}

// newIP returns a loopback address for a box. The address is reserved until close.
func (c *cluster) newIP() (string, error) {
	ip, claim, err := claimIP()
	if err != nil {
		return "", err
	}
	c.closers = append(c.closers, func() { claim.Close() })
	return ip, nil
}

func (c *cluster) addEntry(i int) (err error) {
	ip, err := c.newIP()
	if err != nil {
		return err
	}
	b := &box{name: fmt.Sprintf("entry-%d", i), callerAddress: hostPort(ip, callersPort)}
	if b.inboundLink, err = c.link(hostPort(ip, internalPort)); err != nil {
		return err
	}
	if b.storeLink, err = c.link(c.store); err != nil {
		return err
	}
	boot := standin.Settings{IP: ip, Port: internalPort, Callers: b.callerAddress, Ready: hostPort(ip, readyPort)}
	if err := c.launch(b, boot, "job-entry", "--advertise", b.inboundLink.Address()); err != nil {
		return err
	}
	c.entries = append(c.entries, b)
	return nil
}

func (c *cluster) addAgent(ctx context.Context, i int) error {
	ip, err := c.newIP()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("worker-%d", i)
	w := c.platform.Workers.Add(name, service, zoneOf(i), fmt.Sprintf("rack-%d", i/rackSize), capacity, "a")
	c.workers = append(c.workers, w)
	served, err := c.serve(standin.WorkerHandler(w))
	if err != nil {
		return err
	}
	b := &box{name: name, worker: w}
	if b.workerLink, err = c.link(served); err != nil {
		return err
	}
	if b.storeLink, err = c.link(c.store); err != nil {
		return err
	}
	boot := standin.Settings{
		IP:         ip,
		Port:       internalPort,
		Zone:       zoneOf(i),
		Heartbeats: hostPort(ip, heartbeatsPort),
		Worker:     b.workerLink.Address(),
	}
	if err := c.launch(b, boot, "job-agent"); err != nil {
		return err
	}
	go standin.SendHeartbeats(ctx, w, boot.Heartbeats)
	c.agents = append(c.agents, b)
	return nil
}

// launch writes the settings file of a process and starts the process.
func (c *cluster) launch(b *box, boot standin.Settings, args ...string) error {
	boot.Node, boot.Zone, boot.Store = cmp.Or(boot.Node, b.name), cmp.Or(boot.Zone, zoneOf(0)), b.storeLink.Address()
	boot.Lease, boot.Revoke, boot.Grace = lease, revocationLimit, gracePeriod
	b.boot = boot
	data, err := boot.Encode()
	if err != nil {
		return err
	}
	file := filepath.Join(c.logs, b.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	b.process = &loopback.Process{
		Path: c.settings.Program,
		Args: args,
		Env:  []string{standin.SettingsVariable + "=" + file},
		Log:  filepath.Join(c.logs, b.name+".log"),
	}
	return b.process.Start()
}

// boxes returns the boxes of all entries and agents.
func (c *cluster) boxes() []*box { return append(append([]*box{}, c.entries...), c.agents...) }

// heal ends all faults, resumes paused processes and restarts those that have exited.
func (c *cluster) heal() error {
	c.platform.SetFault(jobtest.Fault{})
	for _, w := range c.workers {
		w.Heal()
	}
	for _, b := range c.boxes() {
		for _, l := range b.links() {
			l.Heal()
		}
		if err := b.process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		if err := b.process.EnsureRunning(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes, servers and links.
func (c *cluster) close() {
	for _, b := range c.boxes() {
		b.process.Kill()
	}
	for _, f := range c.closers {
		f()
	}
}
