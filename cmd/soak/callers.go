package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/platform/standin"
)

// Times of callers.
const (
	callTimeout = 3 * time.Second
	retryPause  = 300 * time.Millisecond
	tries       = 3
	// answerLimit is how long an answer may take while nothing but planned work goes on.
	answerLimit = 2900 * time.Millisecond
)

// callers hand jobs in and remember what they were told.
type callers struct {
	cluster *cluster
	random  *rand.Rand
	// planned says that no call may break off or wait.
	planned bool
	// clients keep their connections open, one for each entry.
	clients []*http.Client

	mu        sync.Mutex
	number    int
	queueOf   map[job.ID]int
	accepted  map[job.ID]bool
	refused   map[job.ID]bool
	cancelled map[job.ID]bool
	broken    []string
}

func newCallers(c *cluster, random *rand.Rand, planned bool) *callers {
	cs := &callers{
		cluster: c, random: random, planned: planned,
		queueOf: map[job.ID]int{}, accepted: map[job.ID]bool{}, refused: map[job.ID]bool{}, cancelled: map[job.ID]bool{},
	}
	for range c.entries {
		cs.clients = append(cs.clients, &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}})
	}
	return cs
}

// caller is the way to an entry under a key.
func (cs *callers) caller(entry int, key string) standin.Caller {
	return standin.Caller{Address: cs.cluster.entries[entry].callers, Host: host, Key: key, Client: cs.clients[entry]}
}

func (cs *callers) breaks(format string, args ...any) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.broken = append(cs.broken, fmt.Sprintf(format, args...))
}

// judge checks an answer against what holds while nothing but planned work goes on. A call that found nobody listening was
// never taken, and may be made elsewhere.
func (cs *callers) judge(what string, a standin.Answer, reached bool) {
	if !cs.planned {
		return
	}
	if a.Status == 0 && reached {
		cs.breaks("CUT: %s broke off: %v", what, a.Err)
	}
	if a.Took > answerLimit {
		cs.breaks("HELD: %s was answered after %v", what, a.Took)
	}
}

// drawJob draws a job and the queue it is handed in to.
func (cs *callers) drawJob() (*job.Job, int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.number++
	r := cs.random
	queue := r.IntN(queues)
	j := &job.Job{
		ID: job.ID(fmt.Sprintf("%016x", cs.number)), Spec: fmt.Sprintf("spec %d", cs.number), Service: service, MaxAttempts: 4, Priority: queue,
	}
	for n := range 1 + r.IntN(2) {
		step := job.Step{
			Tasks: 1 + r.IntN(4), Resources: job.Resources{CPU: 2000, Memory: 4000, Accelerators: 1 + r.IntN(4)},
			Estimate: 2 * time.Second, Gang: r.IntN(2) == 0, Checkpoint: r.IntN(2) == 0,
		}
		step.SameRack = step.Gang && r.IntN(2) == 0
		if n > 0 {
			step.DependsOn = []int{0}
		}
		j.Steps = append(j.Steps, step)
	}
	cs.queueOf[j.ID] = queue
	return j, queue
}

// submit hands a job in at up to three entries.
func (cs *callers) submit(ctx context.Context, j *job.Job, queue, first int) {
	cs.cluster.platform.Workers.Expect(j)
	doubt := false
	for try := range tries {
		entry := (first + try) % len(cs.clients)
		answer := cs.caller(entry, keptKey).Submit(ctx, prefix(queue), j)
		cs.judge("handing in of "+string(j.ID), answer, answer.Reached())
		if answer.Accepted() {
			cs.mu.Lock()
			cs.accepted[j.ID] = true
			cs.mu.Unlock()
			return
		}
		doubt = doubt || !answer.Refused() && answer.Reached()
		time.Sleep(retryPause)
	}
	cs.mu.Lock()
	cs.refused[j.ID] = !doubt
	cs.mu.Unlock()
}

// cancel cancels a job at an entry. It may be carried out also where the answer says nothing.
func (cs *callers) cancel(ctx context.Context, id job.ID, queue, entry int) {
	cs.mu.Lock()
	cs.cancelled[id] = true
	cs.mu.Unlock()
	answer := cs.caller(entry, keptKey).Cancel(ctx, prefix(queue), id)
	cs.judge("cancelling of "+string(id), answer, answer.Reached())
}
