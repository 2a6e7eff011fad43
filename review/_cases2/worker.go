package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as its settings state them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 6 * time.Second
	stopTime          = 300 * time.Millisecond
	gangTimeout       = 3 * time.Second
	listedEnds        = 500
)

// resources is what a task needs or a worker has.
type resources struct{ cpu, mem, gpu int }

// world holds what the workers have in common: the jobs, which tell what a task needs, and the lock of
// all workers.
type world struct {
	mu      sync.Mutex
	trace   *trace
	jobs    map[string]jobDocument
	workers []*worker
	// plan returns how long a run works and how it ends.
	plan func(w *worker, task string, run int) (time.Duration, string)
	// begun lists the starts.
	begun []start
	// ended lists the ends.
	ended []end
}

// start is a task that a worker has begun.
type start struct {
	at     time.Time
	worker *worker
	task   string
	run    int
	// late is set if the order got no answer and was carried out later.
	late bool
}

type end struct {
	at     time.Time
	number int
	worker *worker
	task   string
	run    int
	how    string
	saved  string
}

// worker is a stand-in for a worker.
type worker struct {
	world    *world
	name     string
	service  string
	zone     string
	labels   []string
	capacity resources
	// address is where the agent calls the worker, control where the agent takes heartbeats.
	address, control string

	lives    int
	id       string
	born     time.Time
	up       bool
	draining time.Time
	leavesAt time.Time
	// drainAcked is when the first heartbeat that says draining was acknowledged.
	drainAcked time.Time
	sequence   int
	// acked is the number of heartbeats that were acknowledged.
	acked    int
	fence    int64
	leaseEnd int64
	runs     map[string]*running
	highest  map[string]int
	ends     []end
	lastEnd  int
	// seen is the number of the last end that was taken note of.
	seen int

	// unreachable makes calls hang, and sends no heartbeats.
	unreachable bool
	// loses decides whether a start gets no answer. It is then carried out after the returned time.
	loses func(task string, run int) (time.Duration, bool)
	// beat, if set, takes the heartbeats in place of send.
	beat func(sequence int, body []byte)
}

// running is a run on a worker.
type running struct {
	task    string
	run     int
	need    resources
	arrived time.Time
	// begins is when the work began: at once, or for a gang when all its members were there.
	begins time.Time
	work   time.Duration
	how    string
	stopAt time.Time
}

func (ws *world) step(task string) stepDocument {
	parts := strings.Split(task, ".")
	job, known := ws.jobs[parts[0]]
	if !known || len(parts) != 4 {
		return stepDocument{}
	}
	return job.Steps[int64Of(parts[2])]
}

// add starts a worker, which waits for its agent's address.
func (ws *world) add(name, zone, rack string, capacity resources) (*worker, error) {
	w := &worker{
		world:    ws,
		name:     name,
		service:  serviceName,
		zone:     zone,
		labels:   []string{"a", rack},
		capacity: capacity,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.begin()
	server := &http.Server{Handler: w.handler()}
	go func() { _ = server.Serve(l) }()
	ws.workers = append(ws.workers, w)
	return w, nil
}

// begin begins a life. The lock must be held, or the worker unknown to others.
func (w *worker) begin() {
	w.lives++
	w.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(w.name, "-", ""), w.lives)
	w.born, w.up, w.sequence, w.fence, w.leaseEnd, w.lastEnd, w.seen = time.Now(), true, 0, 0, 0, 0, 0
	w.draining, w.leavesAt, w.drainAcked = time.Time{}, time.Time{}, time.Time{}
	w.runs, w.highest, w.ends = map[string]*running{}, map[string]int{}, nil
}

// crash ends the present life, and begins the next one after a time.
func (w *worker) crash(away time.Duration) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.world.trace.log(w.name, "%s crashes with %d runs", w.id, len(w.runs))
	w.up = false
	w.runs = map[string]*running{}
	time.AfterFunc(away, func() {
		w.world.mu.Lock()
		w.begin()
		w.world.trace.log(w.name, "%s begins", w.id)
		w.world.mu.Unlock()
		w.heartbeat()
	})
}

// drain announces that the worker leaves, at the earliest after a time.
func (w *worker) drain(after time.Duration) {
	w.world.mu.Lock()
	w.draining, w.leavesAt = time.Now(), time.Now().Add(after)
	w.world.trace.log(w.name, "%s drains; it stays for %v at least", w.id, after)
	w.world.mu.Unlock()
	w.heartbeat()
}

// clock is the worker's steady clock in milliseconds.
func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// heartbeats sends heartbeats until the program ends.
func (w *worker) heartbeats() {
	for {
		w.heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

func (w *worker) heartbeat() {
	w.world.mu.Lock()
	if !w.up || w.unreachable {
		w.world.mu.Unlock()
		return
	}
	w.sequence++
	sequence, id, draining := w.sequence, w.id, !w.draining.IsZero()
	body := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldMs": 0, "clockMs": w.clock(), "seq": sequence, "labels": w.labels,
		"capacity": map[string]int{"cpu": w.capacity.cpu, "memMb": w.capacity.mem, "gpu": w.capacity.gpu},
	}
	if draining {
		body["state"], body["remainingMs"] = "draining", max(time.Until(w.leavesAt).Milliseconds(), 0)
	}
	data, _ := json.Marshal(body)
	beat := w.beat
	if beat != nil {
		beat(sequence, data)
	}
	w.world.mu.Unlock()
	if beat == nil {
		go w.send(id, sequence, draining, data)
	}
}

var beats = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one heartbeat, and reports whether it was acknowledged.
func (w *worker) send(id string, sequence int, draining bool, body []byte) bool {
	request, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/api/instances/"+id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := beats.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	acked := response.StatusCode/100 == 2
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if acked {
		w.acked++
	}
	if acked && draining && w.id == id && w.drainAcked.IsZero() {
		w.drainAcked = time.Now()
		w.world.trace.log(w.name, "heartbeat %d of %s, draining, is acknowledged", sequence, id)
	}
	return acked
}

// acknowledged reports whether a heartbeat of the worker was acknowledged.
func (w *worker) acknowledged() bool {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	return w.acked > 0
}

// call is the body of any call to a worker.
type call struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	Fence          int64  `json:"fence"`
	LastCheckpoint string `json:"lastCheckpoint"`
	LastSeen       int    `json:"lastSeen"`
	WaitMs         int64  `json:"waitMs"`
}

func (w *worker) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /api/run-start", w.serve(w.start))
	m.HandleFunc("POST /api/run-stop", w.serve(w.stop))
	m.HandleFunc("POST /api/pace", w.serve(func(call) (int, string) { return http.StatusOK, "" }))
	m.HandleFunc("POST /api/hold", w.serveHold)
	return m
}

// accept reads a call. It returns false if the call is answered or dropped: the worker is down or
// unreachable, lives another life, or has seen a higher fence.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (c call, ok bool) {
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &c) != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock()})
		return c, false
	}
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.unreachable || !w.up {
		w.world.mu.Unlock()
		<-r.Context().Done()
		w.world.mu.Lock()
		return c, false
	}
	if expected := r.Header.Get("X-Yarrowgrade-Expect-Instance"); expected != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{})
		return c, false
	}
	if c.Fence < w.fence {
		w.refuse(rw, "fence")
		return c, false
	}
	w.fence = c.Fence
	return c, true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

// serve serves starts and stops.
func (w *worker) serve(carryOut func(call) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		c, ok := w.accept(rw, r)
		if !ok {
			return
		}
		w.world.mu.Lock()
		if r.URL.Path == "/api/run-start" && w.loses != nil {
			if delay, lost := w.loses(c.Task, c.Run); lost {
				w.world.trace.log(w.name, "order to start %s run %d gets no answer; carried out in %v", c.Task, c.Run, delay)
				life, fence := w.id, c.Fence
				time.AfterFunc(delay, func() { w.carryOutLate(life, fence, c) })
				w.world.mu.Unlock()
				<-r.Context().Done()
				return
			}
		}
		status, reason := carryOut(c)
		clock := w.clock()
		w.world.mu.Unlock()
		body := map[string]any{"clockMs": clock}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(rw, status, body)
	}
}

// carryOutLate carries out a start that got no answer.
func (w *worker) carryOutLate(life string, fence int64, c call) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.id != life || !w.up || fence < w.fence {
		return
	}
	before := len(w.world.begun)
	status, reason := w.start(c)
	w.world.trace.log(w.name, "late order to start %s run %d: %d %s", c.Task, c.Run, status, reason)
	if len(w.world.begun) > before {
		w.world.begun[before].late = true
	}
}

// extend extends the lease.
func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
}

// start carries out a start. The lock must be held.
func (w *worker) start(c call) (status int, reason string) {
	w.advance()
	if c.DeadlineMs <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(c.DeadlineMs)
	if r := w.runs[c.Task]; r != nil && r.run == c.Run {
		return http.StatusOK, ""
	}
	if c.Run <= w.highest[c.Task] || w.runs[c.Task] != nil {
		return http.StatusConflict, "old"
	}
	step := w.world.step(c.Task)
	need := resources{step.CPU, step.MemMB, step.GPU}
	free := w.capacity
	for _, r := range w.runs {
		free = resources{free.cpu - r.need.cpu, free.mem - r.need.mem, free.gpu - r.need.gpu}
	}
	if need.cpu > free.cpu || need.mem > free.mem || need.gpu > free.gpu {
		return http.StatusConflict, "room"
	}
	r := &running{task: c.Task, run: c.Run, need: need, arrived: time.Now()}
	r.work, r.how = w.world.plan(w, c.Task, c.Run)
	w.runs[c.Task] = r
	w.highest[c.Task] = c.Run
	w.world.begun = append(w.world.begun, start{at: time.Now(), worker: w, task: c.Task, run: c.Run})
	w.world.trace.log(w.name, "%s begins %s run %d", w.id, c.Task, c.Run)
	if !step.Gang {
		r.begins = time.Now()
		return http.StatusOK, ""
	}
	members := w.world.members(c.Task, c.Run)
	if len(members) == step.Count {
		for _, m := range members {
			m.begins = time.Now()
		}
	}
	return http.StatusOK, ""
}

// members returns the present members of a gang's run, by worker. The lock must be held.
func (ws *world) members(task string, run int) map[*worker]*running {
	gang := task[:strings.LastIndex(task, ".")+1]
	members := map[*worker]*running{}
	for _, w := range ws.workers {
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, gang) && r.run == run {
				members[w] = r
			}
		}
	}
	return members
}

func (w *worker) stop(c call) (status int, reason string) {
	w.advance()
	r := w.runs[c.Task]
	if r == nil || r.run != c.Run {
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		return http.StatusOK, ""
	}
	if r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

// advance ends the runs whose time has come. The lock must be held.
func (w *worker) advance() {
	now := time.Now()
	for _, r := range w.runs {
		switch {
		case w.clock() >= w.leaseEnd:
			w.finish(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(r, "stopped")
		case r.begins.IsZero():
			if w.world.step(r.task).Gang && now.Sub(r.arrived) > gangTimeout {
				w.finish(r, "alone")
			}
		case r.work > 0 && now.Sub(r.begins) >= r.work:
			w.finish(r, r.how)
		}
	}
}

// finish ends a run. The members of a gang end together: done, or broken if they have not ended in
// the same way at the same time.
func (w *worker) finish(r *running, how string) {
	if w.runs[r.task] != r {
		return
	}
	members := map[*worker]*running{}
	if w.world.step(r.task).Gang && !r.begins.IsZero() {
		members = w.world.members(r.task, r.run)
	}
	w.end(r, how)
	for other, m := range members {
		if m == r {
			continue
		}
		switch {
		case how == "done":
			other.end(m, "done")
		case m.how == how && m.work == r.work:
			other.end(m, how)
		default:
			other.end(m, "broken")
		}
	}
}

func (w *worker) end(r *running, how string) {
	delete(w.runs, r.task)
	w.lastEnd++
	e := end{at: time.Now(), number: w.lastEnd, worker: w, task: r.task, run: r.run, how: how}
	w.ends = append(w.ends, e)
	w.world.ended = append(w.world.ended, e)
	w.world.trace.log(w.name, "%s ends %s run %d: %s (end %d)", w.id, r.task, r.run, how, e.number)
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.world.mu.Lock()
	w.advance()
	if c.DeadlineMs > w.clock() {
		w.extend(c.DeadlineMs)
	}
	w.seen = max(w.seen, c.LastSeen)
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= c.LastSeen })
	life := w.id
	w.world.mu.Unlock()
	deadline := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for {
		w.world.mu.Lock()
		if w.unreachable || !w.up || w.id != life {
			w.world.mu.Unlock()
			<-r.Context().Done()
			return
		}
		w.advance()
		if len(w.ends) > 0 || !time.Now().Before(deadline) {
			body := w.list()
			w.world.mu.Unlock()
			writeJSON(rw, http.StatusOK, body)
			return
		}
		w.world.mu.Unlock()
		select {
		case <-time.After(10 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// list returns the answer to a hold. The lock must be held.
func (w *worker) list() map[string]any {
	runs, ends := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 0
		if !r.begins.IsZero() && r.work > 0 {
			percent = int(min(99, 100*time.Since(r.begins)/r.work))
		}
		if !r.begins.IsZero() && w.world.step(r.task).LongRunning {
			percent = 100
		}
		runs = append(runs, []any{r.task, r.run, "", percent, r.need.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clockMs": w.clock(), "running": runs, "finished": ends}
}

// divert hands the heartbeats of a worker to a function, which is called with the lock held; nil sends
// them again.
func (w *worker) divert(to func(sequence int, body []byte)) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.beat = to
}

// cutOff cuts a worker off for a while. It runs on.
func (w *worker) cutOff(duration time.Duration) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.unreachable = true
	w.world.trace.log(w.name, "is cut off for %v", duration)
	time.AfterFunc(duration, func() {
		w.world.mu.Lock()
		w.unreachable = false
		w.world.trace.log(w.name, "can be reached again")
		w.world.mu.Unlock()
		w.heartbeat()
	})
}

// idle returns a worker that runs nothing.
func (ws *world) idle() *worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.workers {
		if len(w.runs) == 0 {
			return w
		}
	}
	return nil
}

// runs returns a worker that runs a task of the job.
func (ws *world) runs(job string) *worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.workers {
		for task := range w.runs {
			if strings.HasPrefix(task, job) {
				return w
			}
		}
	}
	return nil
}

// tick advances all workers until the program ends.
func (ws *world) tick() {
	for {
		time.Sleep(10 * time.Millisecond)
		ws.mu.Lock()
		for _, w := range ws.workers {
			if w.up {
				w.advance()
			}
		}
		ws.mu.Unlock()
	}
}
