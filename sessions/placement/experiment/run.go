package main

import (
	"container/heap"
	"math"
	"sort"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

func pow(x, y float64) float64 { return math.Pow(x, y) }

// Times that the system takes, in the experiment.
const (
	// stopTime is how long a victim takes to checkpoint and stop.
	stopTime = 5 * time.Second
	// decideEvery is how often decisions are made while nothing happens: waiting times grow meanwhile.
	decideEvery = 5 * time.Minute
)

// spreadSize is the size of gangs whose spread over workers is measured: two whole workers of today's deployments.
const spreadSize = 16

// session is a session of a run.
type session struct {
	arrival
	left      time.Duration
	started   time.Duration
	since     time.Duration
	firstWait time.Duration
	everRan   bool
	restarts  int
}

// urgent reports whether it arrived as urgent: those of the kind are told by their name, also where a variant ignores it.
func (s *session) urgent() bool { return strings.HasSuffix(s.w.Session, urgentSuffix) }

// event is something that happens at a time: an arrival, an end, or a release.
type event struct {
	at      time.Duration
	arrive  *session
	end     int64
	release int64
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run is one pass of a workload through the decision core.
type run struct {
	load    workload
	profile placement.Profile
	in      placement.Input
	now     time.Duration
	events  events
	waiting map[string]*session
	running map[int64]*session
	token   int64
	done    []finished
	frag    fragmentation
	// spread sums the workers of gangs of spreadSize accelerators, of which there were spreads.
	spread, spreads float64
	decided         int
	spent           time.Duration
}

// finished is a session that ended.
type finished struct {
	size       int
	team       string
	urgent     bool
	completion time.Duration
	wait       time.Duration
	restarts   int
}

// fragmentation sums over time.
type fragmentation struct {
	last time.Duration
	// stranded is the share of all accelerators that were free while sessions waited, weighted by time.
	stranded, contended float64
	// largest is the largest gang that fits into one worker, weighted by time.
	largest, total float64
}

// simulate runs the workload to the end of its last session.
func simulate(load workload, profile placement.Profile) *run {
	r := &run{load: load, profile: profile, waiting: map[string]*session{}, running: map[int64]*session{}}
	r.in.Workers = cloneWorkers(load.workers)
	r.in.Entitlements = append([]placement.Entitlement(nil), load.teams...)
	for _, a := range load.arrivals {
		heap.Push(&r.events, event{at: a.at, arrive: &session{arrival: a, left: a.work}})
	}
	for t := time.Duration(0); t < load.length; t += decideEvery {
		heap.Push(&r.events, event{at: t})
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		r.measure(e.at)
		r.now = e.at
		r.take(e)
		if r.events.Len() == 0 || r.events[0].at > r.now {
			r.decide()
		}
	}
	return r
}

func cloneWorkers(workers []placement.Worker) []placement.Worker {
	list := append([]placement.Worker(nil), workers...)
	for i := range list {
		list[i].Holders = make([]int64, len(list[i].Holders))
	}
	return list
}

func (r *run) take(e event) {
	switch {
	case e.arrive != nil:
		e.arrive.since = r.now
		r.waiting[e.arrive.w.Session] = e.arrive
	case e.end != 0:
		if s, found := r.running[e.end]; found && !r.stopping(e.end) {
			r.free(e.end)
			r.done = append(r.done, finished{
				size: s.w.Shape.Accelerators, team: s.w.Team, urgent: s.urgent(),
				completion: r.now - s.at, wait: s.firstWait, restarts: s.restarts,
			})
		}
	case e.release != 0:
		s := r.running[e.release]
		s.left -= r.now - s.started
		s.since, s.restarts = r.now, s.restarts+1
		r.free(e.release)
		r.waiting[s.w.Session] = s
	}
}

func (r *run) stopping(token int64) bool {
	for _, p := range r.in.Running {
		if p.Token == token {
			return p.Stopping
		}
	}
	return false
}

// free ends a placement.
func (r *run) free(token int64) {
	delete(r.running, token)
	for _, w := range r.in.Workers {
		for a, h := range w.Holders {
			if h == token {
				w.Holders[a] = 0
			}
		}
	}
	for i, p := range r.in.Running {
		if p.Token != token {
			continue
		}
		if !p.Borrowed {
			r.unuse(p)
		}
		r.in.Running = append(r.in.Running[:i:i], r.in.Running[i+1:]...)
		return
	}
}

// unuse gives back the guarantee that the placement used. Each team of the workloads has one.
func (r *run) unuse(p placement.Running) {
	for i, e := range r.in.Entitlements {
		if e.Team == p.Team && e.Used > 0 {
			r.in.Entitlements[i].Used--
			return
		}
	}
}

func (r *run) decide() {
	r.in.Waiting = r.in.Waiting[:0]
	for _, s := range r.waiting {
		w := s.w
		w.Waited, w.Estimate = r.now-s.since, s.left
		r.in.Waiting = append(r.in.Waiting, w)
	}
	if len(r.in.Waiting) == 0 {
		return
	}
	sort.Slice(r.in.Waiting, func(i, j int) bool { return r.in.Waiting[i].Session < r.in.Waiting[j].Session })
	for i := range r.in.Running {
		s := r.running[r.in.Running[i].Token]
		r.in.Running[i].Unsaved = r.now - s.started
		r.in.Running[i].Left = s.left - (r.now - s.started)
	}
	began := time.Now()
	decisions := placement.Decide(r.in, r.profile)
	r.spent += time.Since(began)
	r.decided++
	for _, d := range decisions {
		r.apply(d)
	}
}

func (r *run) apply(d placement.Decision) {
	for _, token := range d.Victims {
		for i := range r.in.Running {
			if r.in.Running[i].Token == token {
				r.in.Running[i].Stopping, r.in.Running[i].For = true, d.Session
				heap.Push(&r.events, event{at: r.now + stopTime, release: token})
			}
		}
	}
	if len(d.Members) == 0 {
		return
	}
	r.token++
	if s := r.waiting[d.Session]; s.w.Shape.Accelerators == spreadSize {
		r.spread += float64(len(d.Members))
		r.spreads++
	}
	s := r.waiting[d.Session]
	delete(r.waiting, d.Session)
	s.started = r.now
	if !s.everRan {
		s.everRan, s.firstWait = true, r.now-s.at
	}
	r.running[r.token] = s
	r.place(d, s)
	heap.Push(&r.events, event{at: r.now + s.left, end: r.token})
}

func (r *run) place(d placement.Decision, s *session) {
	for _, m := range d.Members {
		for i := range r.in.Workers {
			if r.in.Workers[i].Name != m.Worker {
				continue
			}
			for _, a := range m.Accelerators {
				r.in.Workers[i].Holders[a] = r.token
			}
		}
	}
	if !d.Borrowed {
		r.in.Entitlements[placement.UnusedEntitlement(r.in.Entitlements, s.w.Team, s.w.Shape)].Used++
	}
	r.in.Running = append(r.in.Running, placement.Running{
		Token: r.token, Session: d.Session, Team: s.w.Team, Shape: s.w.Shape, Borrowed: d.Borrowed, Urgent: s.w.Urgent,
	})
}

// measure adds the time since the last event to the fragmentation.
func (r *run) measure(now time.Duration) {
	span := (now - r.frag.last).Seconds()
	r.frag.last = now
	if span <= 0 || now > r.load.length {
		return
	}
	free, size, largest := 0, 0, 0
	for _, w := range r.in.Workers {
		here := 0
		for _, h := range w.Holders {
			if h == 0 {
				here++
			}
		}
		free, size, largest = free+here, size+len(w.Holders), max(largest, here)
	}
	r.frag.total += span
	r.frag.largest += span * float64(largest)
	if len(r.waiting) > 0 {
		r.frag.contended += span
		r.frag.stranded += span * float64(free) / float64(size)
	}
}
