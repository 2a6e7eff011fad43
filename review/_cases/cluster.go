package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	service = "parkpay"
	host    = "queue.example"
	prefix  = "/q/"
	apiKey  = "key-a"
	program = "target/yarrowgraded"
)

// Ports of a process. Each process has a loopback address of its own.
const (
	firstPort   = 7000
	lastPort    = 7015
	frontPort   = 8521
	readyPort   = 8523
	controlPort = 8526
)

// The bounds of the small deployments that the cases use.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	cancelTime  = 3 * time.Second
	ackTime     = 4 * time.Second
)

const (
	// beatInterval is the time between two heartbeats of a worker.
	beatInterval = 1500 * time.Millisecond
	// settleTime is the time from the readiness of the entries to the first call.
	settleTime = 5 * time.Second
)

// cluster is the system with its stand-ins.
type cluster struct {
	log     *recorder
	store   *store
	folder  string
	entries []*process
	agents  []*process
	workers []*worker
	closers []func()
	ctx     context.Context
	cancel  context.CancelFunc
	closing sync.Once
}

// process is one process of the system, with the commands of the deploy file.
type process struct {
	name, ip, role, settings string
	log                      *recorder

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newCluster starts entries, workers and agents. The caller must call close.
func newCluster(log *recorder, entries int, workers []*worker) (*cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{log: log, store: newStore(), workers: workers, ctx: ctx, cancel: cancel}
	open.Store(c)
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return c, err
	}
	c.folder = folder
	for i := range entries {
		p, err := c.launch(fmt.Sprintf("front-%d", i+1), "job-entry", nil)
		if err != nil {
			return c, err
		}
		c.entries = append(c.entries, p)
	}
	for _, w := range workers {
		w.log = log
		if err := w.start(); err != nil {
			return c, err
		}
		p, err := c.launch("side-"+w.name, "job-agent", w)
		if err != nil {
			return c, err
		}
		c.agents = append(c.agents, p)
	}
	return c, nil
}

// newWorkers returns workers named w1, w2 and so on, two in a rack.
func newWorkers(n int, c capacity, work func(task string) time.Duration) []*worker {
	var workers []*worker
	for i := range n {
		workers = append(workers, &worker{
			name: fmt.Sprintf("w%d", i+1), rack: fmt.Sprintf("r%d", i/2+1), capacity: c, duration: work,
		})
	}
	return workers
}

// begin writes the configuration, starts the heartbeats of all workers, and waits until the entries
// are ready and the workers are known.
func (c *cluster) begin() error {
	c.configure()
	for _, w := range c.workers {
		go w.beats(c.ctx, beatInterval)
	}
	if err := c.ready(20 * time.Second); err != nil {
		return err
	}
	sleep(c.ctx, settleTime)
	return nil
}

// freeIP returns a loopback address on which nothing listens at the ports of a process.
func freeIP(n int) (string, error) {
	pid := os.Getpid()
	for try := n; try < 250; try += 10 {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+pid/250%200, pid%250, 1+try)
		free := true
		for _, port := range []int{firstPort, frontPort, readyPort, controlPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

// launch writes the settings of a process and starts it. An agent has a worker.
func (c *cluster) launch(name, role string, w *worker) (*process, error) {
	ip, err := freeIP(len(c.closers))
	if err != nil {
		return nil, err
	}
	storeAddress, err := c.serve(c.store.handler(name))
	if err != nil {
		return nil, err
	}
	s := map[string]any{
		"node": name, "role": role, "ip": ip, "zone": "zone-a", "region": "region-a",
		"zones":     map[string]string{"zone-a": "region-a"},
		"portRange": []int{firstPort, lastPort}, "bootstrap": true, "dataDir": nil, "discovery": "local",
		"entry": "vip", "heartbeatMs": 1500, "commands": "rpc", "seeds": []string{},
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "strictRevoke": true,
			"revokeMs": 5000, "recoveryS": 12, "maxHoldMs": 6000, "stopMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000,
			"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "requireFence": false, "leaseMs": 3000,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 8, "append_ms": 4.0,
			"record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
	}
	if w == nil {
		s["machineClass"], s["serves"] = "front", []string{"front"}
		s["listen"] = map[string]string{"front": fmt.Sprintf("%s:%d", ip, frontPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort)}
	} else {
		w.control = fmt.Sprintf("%s:%d", ip, controlPort)
		s["machineClass"], s["serves"], s["app"], s["service"] = "side", []string{"side"}, w.address, service
		s["listen"] = map[string]string{"control": w.control}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(c.folder, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, ip: ip, role: role, settings: file, log: c.log}
	return p, p.start()
}

// serve serves a handler on a free port until close.
func (c *cluster) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	c.closers = append(c.closers, func() { server.Close() })
	return l.Addr().String(), nil
}

// configure writes the first configuration.
func (c *cluster) configure() {
	c.store.put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "queue", "host": host, "pathPrefix": prefix, "service": service, "priority": 1, "maxAttempts": 3,
			"stretch": 3.0, "targetLatencyMs": 1000,
		}},
		"services": []map[string]any{{"name": service, "admissionCheck": true}},
		"tenants":  []map[string]any{{"name": "tenant-a", "apiKeys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 8}}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.Create(strings.TrimSuffix(p.settings, ".json") + fmt.Sprintf("-%d.log", time.Now().UnixNano()))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YARROWGRADE_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.done)
	p.log.write("process %s starts", p.name)
	return nil
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
	p.log.write("process %s is killed", p.name)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	p.log.write("process %s gets signal %d (%s)", p.name, s, s)
}

// open is the cluster of the case that is played.
var open atomic.Pointer[cluster]

// endAll ends the processes of the case that is played.
func endAll() {
	if c := open.Load(); c != nil {
		c.close()
	}
}

// close ends all processes and stand-ins.
func (c *cluster) close() { c.closing.Do(c.end) }

func (c *cluster) end() {
	c.cancel()
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		p.kill()
	}
	for _, w := range c.workers {
		if w.server != nil {
			w.server.Close()
		}
	}
	for _, f := range c.closers {
		f()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs of the processes:", c.folder)
	}
}

// call makes a caller's call to an entry, and returns the status and the body. Status 0 means that
// there was no answer.
func (c *cluster) call(entry *process, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s%s", entry.ip, frontPort, prefix, id)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host, r.Close = host, true
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Yarrowgrade-Deadline", "3000")
	sent := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.log.write("%s %s at %s: no answer (%v)", method, id, entry.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	c.log.write("%s %s at %s: %d %s (%d ms)", method, id, entry.name, response.StatusCode,
		strings.TrimSpace(string(text)), time.Since(sent).Milliseconds())
	return response.StatusCode, string(text)
}

// ready waits until all entries say that they are ready.
func (c *cluster) ready(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); sleep(c.ctx, 100*time.Millisecond) {
		all := true
		for _, p := range c.entries {
			all = all && get(c.ctx, fmt.Sprintf("http://%s:%d/api/ready", p.ip, readyPort)) == http.StatusOK
		}
		if all {
			return nil
		}
	}
	return errors.New("the entries are not ready")
}

// leader returns the entry that leads, or nil.
func (c *cluster) leader() *process {
	for _, p := range c.entries {
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/workers", p.ip, firstPort), nil)
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode == http.StatusOK {
			return p
		}
	}
	return nil
}

func get(ctx context.Context, url string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func put(ctx context.Context, url string, body []byte) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
