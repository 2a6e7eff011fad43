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
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	service      = "parkpay"
	otherService = "parkpay-new"
	host         = "park.example"
	program      = "target/yarrowgraded"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	frontPort   = 8521
	readyPort   = 8523
	controlPort = 8526
	appPort     = 8530
	storePort   = 8524
	rangeFirst  = 7000
	rangeLast   = 7015
)

// system is the project's programs, started as the deploy file says, with stand-ins around them.
type system struct {
	store   *store
	entries []*machine
	workers []*worker
	agents  []*machine
	dir     string
	network string
	record  *os.File

	mu    sync.Mutex
	began time.Time
}

// machine is a machine with one process of the system.
type machine struct {
	name, ip string
	process  *exec.Cmd
	// storeLink leads from an entry to the store.
	storeLink *link
}

// note writes a line into the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeNetwork returns the first three parts of loopback addresses on which nothing listens.
func freeNetwork() (string, error) {
	for n := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, os.Getpid()/200%250)
		l, err := net.Listen("tcp", network+".250:"+strconv.Itoa(storePort))
		if err == nil {
			l.Close()
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// newSystem starts the store, the given number of entries, and an agent beside each worker. The function
// serviceOf returns the service of each worker.
func newSystem(
	recordPath string, entries, workers, perRack int, room size, config map[string]any, serviceOf func(worker int) string,
) (*system, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &system{store: newStore(), record: record, began: time.Now()}
	go s.closeOnSignal()
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return s, err
	}
	if s.network, err = freeNetwork(); err != nil {
		return s, err
	}
	l, err := net.Listen("tcp", s.storeAddress())
	if err != nil {
		return s, err
	}
	go func() { _ = http.Serve(l, s.store) }()
	s.store.put("keyed.op", "config", config)
	for i := range entries {
		m := &machine{name: fmt.Sprintf("front-%d", i+1), ip: s.ip(i + 1)}
		listen := map[string]string{"front": m.at(frontPort), "ready": m.at(readyPort)}
		if m.storeLink, err = newLink(s.ip(200+i)+":"+strconv.Itoa(storePort), s.storeAddress()); err != nil {
			return s, err
		}
		if err := s.launch(m, "job-entry", zoneOf(i), listen, "", ""); err != nil {
			return s, err
		}
		s.entries = append(s.entries, m)
	}
	for i := range workers {
		m := &machine{name: fmt.Sprintf("side-%d", i+1), ip: s.ip(100 + i)}
		w := &worker{
			name: fmt.Sprintf("w%d", i+1), zone: zoneOf(i / perRack), rack: fmt.Sprintf("r%d", i/perRack+1),
			address: m.at(appPort), control: m.at(controlPort), room: room, note: s.note, service: serviceOf(i),
		}
		if err := s.launch(m, "job-agent", w.zone, map[string]string{"control": w.control}, w.address, w.service); err != nil {
			return s, err
		}
		if err := w.start(); err != nil {
			return s, err
		}
		s.workers, s.agents = append(s.workers, w), append(s.agents, m)
	}
	return s, s.awaitReady()
}

func zoneOf(i int) string { return []string{"plovdiv-a", "plovdiv-b", "stara-zagora"}[i%3] }

func (s *system) ip(n int) string { return fmt.Sprintf("%s.%d", s.network, n) }

// storeAddress returns the address of the store.
func (s *system) storeAddress() string { return s.ip(250) + ":" + strconv.Itoa(storePort) }

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// launch starts a process with the command of the deploy file.
func (s *system) launch(m *machine, role, zone string, listen map[string]string, app, served string) error {
	class, share, memory := "front", 0.4, 284
	if app != "" {
		class, share, memory = "side", 0.24, 152
	}
	store := s.storeAddress()
	if m.storeLink != nil {
		store = m.storeLink.listener.Addr().String()
	}
	settings, err := json.Marshal(map[string]any{
		"node": m.name, "role": role, "machineClass": class, "ip": m.ip, "zone": zone, "region": "bg-south",
		"zones":  map[string]string{"plovdiv-a": "bg-south", "plovdiv-b": "bg-south", "stara-zagora": "bg-south"},
		"listen": listen, "portRange": []int{rangeFirst, rangeLast}, "seeds": []string{}, "bootstrap": true,
		"limits":      map[string]any{"cpuShare": share, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir":     nil,
		"discovery":   "local",
		"entry":       "vip",
		"heartbeatMs": heartbeatInterval.Milliseconds(),
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "strictRevoke": true,
			"revokeMs": 5000, "maxHoldMs": maxHold.Milliseconds(), "stopMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000,
			"visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "leaseMs": 3000, "reclaimMs": 2900,
		},
		"commands": "rpc",
		"app":      app,
		"service":  served,
		"platform": map[string]any{
			"address": store, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 8,
			"append_ms": 4.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, m.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.process = exec.Command(program, role)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "YARROWGRADE_BOOT=" + file}
	m.process.Stdout, m.process.Stderr = log, log
	return m.process.Start()
}

// readyTime is the time within which all entries must be ready and answer calls.
const readyTime = 20 * time.Second

// awaitReady waits until all entries are ready, and the leader has had time to hear from all agents.
func (s *system) awaitReady() error {
	for began := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			response, err := http.Get("http://" + e.at(readyPort) + "/api/ready")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			break
		}
		if time.Since(began) > readyTime {
			return errors.New("the system isn't ready in time")
		}
	}
	time.Sleep(5 * time.Second)
	s.note("system is ready: %d entries, %d workers", len(s.entries), len(s.workers))
	return nil
}

// closeOnSignal ends all processes when this one is told to end.
func (s *system) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	s.close()
	os.Exit(int(notRun))
}

// close ends all processes and removes the temporary folder.
func (s *system) close() {
	for _, m := range append(append([]*machine{}, s.entries...), s.agents...) {
		if m.process != nil && m.process.Process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			_ = m.process.Wait()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(s.dir, keep)
	}
	if s.dir != "" {
		os.RemoveAll(s.dir)
	}
	s.record.Close()
}

// call sends a client's request to an entry and writes it into the record. The status is 0 if there was
// no answer.
func (s *system) call(entry int, patience time.Duration, method, path, key string, body any) (status int, answer string) {
	status, answer = s.callQuietly(entry, patience, method, path, key, body)
	s.note("client: %s %s at %s: %d %s", method, path, s.entries[entry].name, status, answer)
	return status, answer
}

func (s *system) callQuietly(entry int, patience time.Duration, method, path, key string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.entries[entry].at(frontPort)+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Yarrowgrade-Deadline", strconv.Itoa(int(patience.Milliseconds())))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "no answer"
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(bytes.TrimSpace(text))
}

// submit submits a job until it is accepted, as a client does.
func (s *system) submit(entry int, path, key string, body any) error {
	for range 20 {
		status, _ := s.call(entry, 3*time.Second, http.MethodPost, path, key, body)
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("the job isn't accepted")
}

// starts returns all starts of a job's tasks, on all workers.
func (s *system) starts(job string) []taskStart {
	var all []taskStart
	for _, w := range s.workers {
		all = append(all, w.startsOf(job)...)
	}
	return all
}

// running returns how many tasks of a job run.
func (s *system) running(job string) int {
	n := 0
	for _, w := range s.workers {
		n += w.runningOf(job)
	}
	return n
}

// await waits until a condition holds, and reports whether it does within the limit.
func await(limit time.Duration, holds func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// job returns the body of a job of one step, whose tasks do the given work.
func job(count int, w work, step map[string]any) map[string]any {
	spec, _ := json.Marshal(w)
	s := map[string]any{"count": count, "cpu": w.Need.CPU, "memMb": w.Need.MemMB, "gpu": w.Need.GPU}
	if w.Lasting {
		s["longRunning"] = true
	} else {
		s["estimateMs"] = w.Millis
	}
	for k, v := range step {
		s[k] = v
	}
	return map[string]any{"spec": string(spec), "steps": []any{s}}
}

// oneService is the service of all workers where there is only one.
func oneService(int) string { return service }

// route is a queue of the configuration.
func route(name, service string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "service": service, "priority": priority,
		"maxAttempts": 3, "stretch": 3.0, "targetLatencyMs": 1000,
	}
}

// configuration returns the first configuration, with the site's three queues.
func configuration(tenants ...map[string]any) map[string]any {
	return configurationOf(1, service, tenants...)
}

// configurationOf returns a version of the configuration that directs the queue batch to a service.
func configurationOf(version int, batchService string, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  []any{route("confirm", service, 0), route("match", service, 1), route("batch", batchService, 2)},
		"services": []any{
			map[string]any{"name": service, "admissionCheck": true}, map[string]any{"name": otherService, "admissionCheck": true},
		},
		"tenants": tenants,
		"limits":  map[string]any{"maxBodyBytes": 262144},
	}
}

func tenant(name, key string, guaranteed int) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "guaranteed": map[string]any{"gpu": guaranteed}}
}
