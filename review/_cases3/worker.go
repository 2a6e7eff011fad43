package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a worker grants, stopTime how long a stop takes.
	maxHold  = 6 * time.Second
	stopTime = 100 * time.Millisecond
	// lastingStart is the time after which a task that lasts is at work.
	lastingStart = 300 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats (heartbeatMs of the settings).
	heartbeatInterval = 1500 * time.Millisecond
)

// size is what a worker provides, or a task takes.
type size struct {
	CPU   int `json:"cpu,omitempty"`
	MemMB int `json:"memMb,omitempty"`
	GPU   int `json:"gpu,omitempty"`
}

// work is what a task does. It is the text of the job's spec.
type work struct {
	Need    size  `json:"need"`
	Millis  int64 `json:"ms,omitempty"`
	Lasting bool  `json:"lasting,omitempty"`
	// TailMs is the tail of a serving task's answers while nothing disturbs it. DisturbMs is what a task
	// that fills adds to it for each percent of its share.
	TailMs    int  `json:"tailMs,omitempty"`
	DisturbMs int  `json:"disturbMs,omitempty"`
	Fills     bool `json:"fills,omitempty"`
}

// counted returns what the room of a worker counts: not the processors of a task that fills.
func (w work) counted() size {
	if w.Fills {
		w.Need.CPU = 0
	}
	return w.Need
}

func (s size) less(o size) size {
	return size{CPU: s.CPU - o.CPU, MemMB: s.MemMB - o.MemMB, GPU: s.GPU - o.GPU}
}

// worker is a stand-in for a worker and what runs on it, as PROTOCOL.md describes it. Its tasks never fail.
type worker struct {
	name, zone, rack string
	service          string
	address, control string
	room             size
	note             func(format string, args ...any)

	mu       sync.Mutex
	tickedAt time.Time
	up       bool
	life     int
	bornAt   time.Time
	fence    int64
	runs     map[string]*taskRun
	refused  map[string]int
	ended    []taskEnd
	numbered int
	changed  chan struct{}
	server   *http.Server
	seq      int
	starts   []taskStart
	// hows holds how the runs of all lives have ended.
	hows []taskEnd
}

type taskRun struct {
	task  string
	run   int
	spec  work
	began time.Time
	// worked is the work done, pace the share in percent at which the task works.
	worked  time.Duration
	pace    int
	lease   time.Time
	stopsAt time.Time
}

type taskEnd struct {
	number int
	task   string
	run    int
	how    string
}

// taskStart is a start that the worker has begun.
type taskStart struct {
	task string
	run  int
	at   time.Time
}

// start begins the first life and the heartbeats.
func (w *worker) start() error {
	w.changed = make(chan struct{})
	if err := w.begin(); err != nil {
		return err
	}
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			w.tick()
		}
	}()
	go func() {
		for ; ; time.Sleep(heartbeatInterval) {
			w.heartbeat()
		}
	}()
	return nil
}

// begin begins a life: a new id, nothing running, no fence seen.
func (w *worker) begin() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.bornAt, w.fence, w.seq, w.numbered = true, time.Now(), 0, 0, 0
	w.life++
	w.runs, w.refused, w.ended = map[string]*taskRun{}, map[string]int{}, nil
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	return nil
}

func (w *worker) id() string { return fmt.Sprintf("i-%s-%d", w.name, w.life) }

// clock is the worker's steady clock, in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() + 1000 }

func (w *worker) heartbeat() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldMs": 0, "capacity": w.room, "labels": []string{"a", w.rack}, "clockMs": w.clock(), "seq": w.seq,
		"machine": "m-" + w.name,
	})
	url := "http://" + w.control + "/api/instances/" + w.id()
	w.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		response.Body.Close()
	}
}

// tick lets the runs work, and ends those whose time has come.
func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	passed := now.Sub(w.tickedAt)
	w.tickedAt = now
	for _, r := range w.runs {
		r.worked += min(passed, now.Sub(r.began)) * time.Duration(r.pace) / 100
		switch {
		case now.After(r.lease):
			w.end(r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.end(r, "stopped")
		case !r.spec.Lasting && r.worked >= time.Duration(r.spec.Millis)*time.Millisecond:
			w.end(r, "done")
		}
	}
}

// end ends a run. The lock must be held.
func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.refused[r.task] = max(w.refused[r.task], r.run)
	w.numbered++
	w.ended = append(w.ended, taskEnd{w.numbered, r.task, r.run, how})
	w.hows = append(w.hows, taskEnd{w.numbered, r.task, r.run, how})
	w.note("worker %s: %s run %d ended %s", w.name, r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Percent    int    `json:"percent"`
	LastSeen   int    `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := map[string]any{"clockMs": w.clock()}
	if r.Header.Get("X-Yarrowgrade-Expect-Instance") != w.id() {
		reply(rw, http.StatusMisdirectedRequest, answer)
		return
	}
	if o.Fence < w.fence {
		answer["reason"] = "fence"
		reply(rw, http.StatusConflict, answer)
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		w.startRun(rw, o, answer)
	case "/api/run-stop":
		w.stopRun(rw, o, answer)
	case "/api/hold":
		w.hold(rw, r, o, answer)
	case "/api/pace":
		if r := w.runs[o.Task]; r != nil && r.run == o.Run && r.pace != o.Percent {
			r.pace = o.Percent
			w.note("worker %s: %s run %d works at %d percent", w.name, o.Task, o.Run, o.Percent)
		}
		reply(rw, http.StatusOK, answer)
	default:
		reply(rw, http.StatusNotFound, nil)
	}
}

// until converts a deadline by the worker's clock.
func (w *worker) until(deadlineMs int64) time.Time {
	t := time.Now().Add(time.Duration(deadlineMs-w.clock()) * time.Millisecond)
	if longest := time.Now().Add(maxHold); t.After(longest) {
		return longest
	}
	return t
}

func (w *worker) startRun(rw http.ResponseWriter, o orderBody, answer map[string]any) {
	reject := func(reason string) {
		answer["reason"] = reason
		reply(rw, http.StatusConflict, answer)
	}
	lease := w.until(o.DeadlineMs)
	var spec work
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		reply(rw, http.StatusBadRequest, answer)
		return
	}
	if present := w.runs[o.Task]; present != nil && present.run == o.Run {
		reply(rw, http.StatusOK, answer)
		return
	}
	if o.Run <= w.refused[o.Task] || w.runs[o.Task] != nil {
		reject("old")
		return
	}
	if !lease.After(time.Now()) {
		reject("late")
		return
	}
	free := w.room
	for _, r := range w.runs {
		free = free.less(r.spec.counted())
	}
	if spec.counted().CPU > free.CPU || spec.Need.MemMB > free.MemMB || spec.Need.GPU > free.GPU {
		reject("room")
		return
	}
	w.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, spec: spec, began: time.Now(), lease: lease, pace: 100}
	w.extend(lease)
	w.starts = append(w.starts, taskStart{o.Task, o.Run, time.Now()})
	w.note("worker %s begins %s run %d", w.name, o.Task, o.Run)
	reply(rw, http.StatusOK, answer)
}

// extend extends the lease of all runs; it never shortens it. The lock must be held.
func (w *worker) extend(until time.Time) {
	for _, r := range w.runs {
		if until.After(r.lease) {
			r.lease = until
		}
	}
}

func (w *worker) stopRun(rw http.ResponseWriter, o orderBody, answer map[string]any) {
	r := w.runs[o.Task]
	switch {
	case r != nil && r.run == o.Run && r.stopsAt.IsZero():
		r.stopsAt = time.Now().Add(stopTime)
		w.note("worker %s is told to stop %s run %d", w.name, o.Task, o.Run)
	case r == nil || r.run != o.Run:
		w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	}
	reply(rw, http.StatusOK, answer)
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o orderBody, answer map[string]any) {
	if o.DeadlineMs > 0 {
		w.extend(w.until(o.DeadlineMs))
	}
	w.ended = slices.DeleteFunc(w.ended, func(e taskEnd) bool { return e.number <= o.LastSeen })
	life := w.life
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0 && w.life == life; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.life != life || !w.up {
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.run, "", run.percent(), w.figure(run)})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer["clockMs"], answer["running"], answer["finished"] = w.clock(), running, finished
	reply(rw, http.StatusOK, answer)
}

// figure is the fifth entry of a run's row: a serving task's tail in milliseconds, otherwise the
// processors in use. The lock must be held.
func (w *worker) figure(r *taskRun) int {
	if r.spec.TailMs == 0 {
		return r.spec.Need.CPU * r.pace / 100
	}
	tail := r.spec.TailMs
	for _, other := range w.runs {
		tail += other.spec.DisturbMs * other.pace
	}
	return tail
}

func (r *taskRun) percent() int {
	age := time.Since(r.began)
	if r.spec.Lasting {
		if age > lastingStart {
			return 100
		}
		return 0
	}
	return int(min(r.worked.Milliseconds()*100/max(r.spec.Millis, 1), 99))
}

// startsOf returns the starts of a job's tasks that this worker has begun.
func (w *worker) startsOf(job string) []taskStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	var starts []taskStart
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			starts = append(starts, s)
		}
	}
	return starts
}

// endsOf returns how many runs of a job have ended here in a given way.
func (w *worker) endsOf(job, how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.hows {
		if e.how == how && strings.HasPrefix(e.task, job+".") {
			n++
		}
	}
	return n
}

// runningOf returns how many tasks of a job run here.
func (w *worker) runningOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.runs {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// used returns the accelerators in use.
func (w *worker) used() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.runs {
		n += r.spec.Need.GPU
	}
	return n
}
