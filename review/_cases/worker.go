package main

import (
	"context"
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
	// maxHold is the longest lease that a worker grants.
	maxHold = 6 * time.Second
	// stopTime is how long a stop takes.
	stopTime = 200 * time.Millisecond
	// endsPerList is the largest number of ends that a list has.
	endsPerList = 500
	// tick is the interval at which a worker looks for runs that are over.
	tick = 5 * time.Millisecond
	// heartbeatTimeout is the time within which a heartbeat has to be acknowledged.
	heartbeatTimeout = time.Second
)

// worker is a stand-in of an application worker.
type worker struct {
	name, rack string
	capacity   capacity
	// duration returns how long a task works; zero means until it is stopped.
	duration func(task string) time.Duration
	// outcome returns how a task ends after its work; nil means done.
	outcome func(task string) string
	log     *recorder
	// control is the address to which heartbeats go.
	control  string
	address  string
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	lives int
	life  string
	up    bool
	// failing makes the worker break off all calls, which do nothing.
	failing bool
	born    time.Time
	seq     int
	drainBy time.Time
	fence   int64
	lease   int64
	lapsed  time.Time
	runs    map[string]*run
	highest map[string]int
	ends    []end
	lastEnd int
	noted   int
}

type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"memMb"`
	GPU   int `json:"gpu"`
}

type run struct {
	task     string
	number   int
	began    time.Time
	stopping time.Time
	needs    capacity
}

type end struct {
	number int
	task   string
	run    int
	how    string
	at     time.Time
}

// order is the body of any call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	LastSeen   int    `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// start brings up the next life of the worker at the worker's address.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.listener = l.Addr().String(), l
	w.lives++
	w.life = fmt.Sprintf("i-%s-%d", w.name, w.lives)
	w.up, w.born, w.seq, w.fence, w.lease, w.lastEnd, w.noted = true, time.Now(), 0, 0, 0, 0, 0
	w.lapsed, w.drainBy = time.Time{}, time.Time{}
	w.runs, w.highest, w.ends = map[string]*run{}, map[string]int{}, nil
	m := http.NewServeMux()
	m.HandleFunc("POST /api/run-start", w.serveOrder(w.startRun))
	m.HandleFunc("POST /api/run-stop", w.serveOrder(w.stopRun))
	m.HandleFunc("POST /api/hold", w.serveOrder(w.hold))
	m.HandleFunc("POST /api/pace", w.serveOrder(func(rw http.ResponseWriter, _ *http.Request, _ order) { w.answer(rw, 200, nil) }))
	w.server = &http.Server{Handler: m}
	go w.server.Serve(l)
	w.log.write("worker %s is up as %s", w.name, w.life)
	return nil
}

// crash ends the present life: all its runs die, and the address refuses connections.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	runs := []string{}
	for task := range w.runs {
		runs = append(runs, task)
	}
	w.log.write("worker %s (%s) crashes; running: %s", w.name, w.life, strings.Join(runs, " "))
	w.runs = map[string]*run{}
	server := w.server
	w.mu.Unlock()
	server.Close()
}

// setFailing makes the worker break off all calls, or ends that. Its heartbeats go on.
func (w *worker) setFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
	w.log.write("worker %s breaks off all calls: %t", w.name, failing)
}

func (w *worker) clock(now time.Time) int64 { return 1000 + now.Sub(w.born).Milliseconds() }

// clockNow returns the worker's clock. The lock must be held.
func (w *worker) clockNow() int64 { return w.clock(time.Now()) }

func (w *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	body := map[string]any{"clockMs": w.clockNow()}
	for k, v := range fields {
		body[k] = v
	}
	writeJSON(rw, status, body)
}

// serveOrder decodes a call, checks the life and the fence, and passes it on under the lock.
func (w *worker) serveOrder(apply func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			writeJSON(rw, http.StatusBadRequest, nil)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case !w.up || w.failing:
			panic(http.ErrAbortHandler)
		case r.Header.Get("X-Yarrowgrade-Expect-Instance") != w.life:
			w.answer(rw, http.StatusMisdirectedRequest, nil)
			return
		case o.Fence < w.fence:
			w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		w.fence = o.Fence
		w.advance(time.Now())
		apply(rw, r, o)
	}
}

// extend extends the lease, which never shortens.
func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clockNow()+maxHold.Milliseconds()))
}

func (w *worker) startRun(rw http.ResponseWriter, _ *http.Request, o order) {
	if o.DeadlineMs <= w.clockNow() {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.DeadlineMs)
	present := w.runs[o.Task]
	switch {
	case present != nil && present.number == o.Run:
		w.answer(rw, http.StatusOK, nil)
		return
	case present != nil || o.Run <= w.highest[o.Task]:
		w.log.write("start %s run %d on %s: 409 old", o.Task, o.Run, w.name)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	needs := needsOf(o.Task)
	if !w.fits(needs) {
		w.log.write("start %s run %d on %s: 409 room", o.Task, o.Run, w.name)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	w.runs[o.Task] = &run{task: o.Task, number: o.Run, began: time.Now(), needs: needs}
	w.log.start(w, o.Task, o.Run)
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) fits(needs capacity) bool {
	free := w.capacity
	for _, r := range w.runs {
		free.CPU, free.MemMB, free.GPU = free.CPU-r.needs.CPU, free.MemMB-r.needs.MemMB, free.GPU-r.needs.GPU
	}
	return needs.CPU <= free.CPU && needs.MemMB <= free.MemMB && needs.GPU <= free.GPU
}

func (w *worker) stopRun(rw http.ResponseWriter, _ *http.Request, o order) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		if r.stopping.IsZero() {
			r.stopping = time.Now().Add(stopTime)
		}
		w.log.write("stop %s run %d on %s", o.Task, o.Run, w.name)
	} else {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	}
	w.answer(rw, http.StatusOK, nil)
}

// hold extends the lease, forgets ends, and answers with the lists once there is an end or the wait
// is over. The lock is released while it waits.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	w.note(o.LastSeen)
	life := w.life
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(until); {
		w.mu.Unlock()
		time.Sleep(tick)
		w.mu.Lock()
		if !w.up || w.failing || w.life != life || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.advance(time.Now())
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", w.percent(r)})
	}
	for _, e := range w.ends[:min(len(w.ends), endsPerList)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	if len(w.ends) > endsPerList {
		w.log.longLists.Add(1)
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

func (w *worker) percent(r *run) int {
	total := w.duration(r.task)
	if total == 0 {
		return 100
	}
	return min(99, int(100*time.Since(r.began)/total))
}

// note forgets ends up to a number. An end is taken note of unless the lease lapsed since.
func (w *worker) note(seen int) {
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool {
		if e.number > seen {
			return false
		}
		if !w.lapsed.After(e.at) {
			w.log.noted(e)
		}
		return true
	})
}

// advance ends the runs that are over. The lock must be held.
func (w *worker) advance(now time.Time) {
	if w.clock(now) >= w.lease {
		w.lapsed = now
	}
	for _, r := range w.runs {
		total := w.duration(r.task)
		switch {
		case w.clock(now) >= w.lease:
			w.finish(r, "lapsed", now)
		case !r.stopping.IsZero() && now.After(r.stopping):
			w.finish(r, "stopped", now)
		case total > 0 && now.Sub(r.began) >= total:
			w.finish(r, w.outcomeOf(r.task), now)
		}
	}
}

func (w *worker) finish(r *run, how string, now time.Time) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	e := end{number: w.lastEnd, task: r.task, run: r.number, how: how, at: now}
	w.ends = append(w.ends, e)
	w.log.end(w, e)
}

// running returns the tasks that the worker runs.
func (w *worker) running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return nil
	}
	w.advance(time.Now())
	tasks := []string{}
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	return tasks
}

// beat returns the body of the next heartbeat, and the life that sends it.
func (w *worker) beat(interval time.Duration) (life string, body []byte, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return "", nil, false
	}
	w.seq++
	report := map[string]any{
		"service": service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"coldMs": 0, "capacity": w.capacity, "labels": []string{"a", w.rack}, "clockMs": w.clockNow(), "seq": w.seq,
	}
	if !w.drainBy.IsZero() {
		report["state"], report["remainingMs"] = "draining", max(time.Until(w.drainBy).Milliseconds(), 0)
	}
	body, _ = json.Marshal(report)
	return w.life, body, true
}

// send sends a heartbeat, and reports whether it was acknowledged.
func (w *worker) send(ctx context.Context, life string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return put(ctx, "http://"+w.control+"/api/instances/"+life, body)
}

// beats sends heartbeats until ctx ends.
func (w *worker) beats(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		if life, body, up := w.beat(interval); up {
			w.send(ctx, life, body)
		}
		sleep(ctx, interval)
	}
}

// outcomeOf returns how a task ends after its work.
func (w *worker) outcomeOf(task string) string {
	if w.outcome == nil {
		return "done"
	}
	return w.outcome(task)
}
