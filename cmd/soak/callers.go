package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
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
	// answerLimit is how long an answer may take on a day of planned work.
	answerLimit = 2900 * time.Millisecond
)

// callers submit jobs and remember what they were told.
type callers struct {
	cluster *cluster
	random  *rand.Rand
	// planned means that no call may be cut or delayed.
	planned bool
	// standstill knows when this process did not run.
	standstill *standstill
	// clients are one for each entry; they keep their connections open.
	clients []*http.Client

	mu      sync.Mutex
	number  int
	queueOf map[job.ID]int
	// refused holds the jobs that were not accepted, and whether every attempt was certainly
	// refused.
	accepted  map[job.ID]bool
	refused   map[job.ID]bool
	cancelled map[job.ID]bool
	// cancelledAt is when an entry has answered that a job is cancelled.
	cancelledAt map[job.ID]time.Time
	violations  []string
	// lateReadings describe calls that were held by a standstill of this process alone.
	lateReadings []string
}

func newCallers(c *cluster, random *rand.Rand, planned bool, s *standstill) *callers {
	cs := &callers{
		cluster:     c,
		random:      random,
		planned:     planned,
		standstill:  s,
		queueOf:     map[job.ID]int{},
		accepted:    map[job.ID]bool{},
		refused:     map[job.ID]bool{},
		cancelled:   map[job.ID]bool{},
		cancelledAt: map[job.ID]time.Time{},
	}
	for range c.entries {
		transport := &http.Transport{MaxIdleConnsPerHost: 4}
		cs.clients = append(cs.clients, &http.Client{Timeout: callTimeout, Transport: transport})
	}
	return cs
}

// caller returns a caller at an entry, under an API key.
func (cs *callers) caller(entry int, key string) standin.Caller {
	return standin.Caller{
		Address: cs.cluster.entries[entry].callers,
		Host:    host,
		Key:     key,
		Client:  cs.clients[entry],
	}
}

func (cs *callers) violate(format string, args ...any) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.violations = append(cs.violations, fmt.Sprintf(format, args...))
}

// judge checks an answer that has just come on a day of planned work. A call that found nobody
// listening was not taken, and may be retried elsewhere. What this process only read late, or gave up
// by its own timer, while it did not run is told apart: nobody was held or cut by the system.
func (cs *callers) judge(what string, a standin.Response, reached bool) {
	if !cs.planned {
		return
	}
	stood := cs.stoodStill(a)
	heldLong := a.Took-stood > answerLimit
	givenUp := a.Status == 0 && reached
	if a.Took > answerLimit && !heldLong && (!givenUp || isTimeout(a.Err)) {
		cs.noteLate("late reading: %s was answered after %v, of which this process stood still for %v (%v)",
			what, a.Took, stood, a.Err)
		return
	}
	if givenUp {
		cs.violate("CUT: %s broke off: %v", what, a.Err)
	}
	if heldLong {
		cs.violate("HELD: %s was answered after %v, of which this process stood still for %v", what, a.Took, stood)
	}
}

// stoodStill returns for how long this process did not run during a call that has just ended; zero for
// one that was answered in time.
func (cs *callers) stoodStill(a standin.Response) time.Duration {
	if a.Took <= answerLimit {
		return 0
	}
	now := time.Now()
	return cs.standstill.between(now.Add(-a.Took), now)
}

func (cs *callers) noteLate(format string, args ...any) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lateReadings = append(cs.lateReadings, fmt.Sprintf(format, args...))
}

// isTimeout reports whether a call ended by the caller's own timer.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// drawJob draws a job and the queue to submit it to.
func (cs *callers) drawJob() (*job.Job, int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.number++
	r := cs.random
	queue := r.IntN(queues)
	j := &job.Job{
		ID:          job.ID(fmt.Sprintf("%016x", cs.number)),
		Spec:        fmt.Sprintf("spec %d", cs.number),
		Service:     service,
		MaxAttempts: 4,
		Priority:    queue,
	}
	for n := range 1 + r.IntN(2) {
		step := job.Step{
			Tasks:      1 + r.IntN(4),
			Resources:  job.Resources{CPU: 2000, Memory: 4000, Accelerators: 1 + r.IntN(4)},
			Estimate:   2 * time.Second,
			Gang:       r.IntN(2) == 0,
			Checkpoint: r.IntN(2) == 0,
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

// submit submits a job, at up to three entries.
func (cs *callers) submit(ctx context.Context, j *job.Job, queue, first int) {
	cs.cluster.platform.Workers.Expect(j)
	doubt := false
	for try := range tries {
		entry := (first + try) % len(cs.clients)
		answer := cs.caller(entry, keptKey).Submit(ctx, prefix(queue), j)
		cs.judge("submission of "+string(j.ID), answer, answer.Reached())
		if answer.Accepted() {
			cs.mu.Lock()
			cs.accepted[j.ID] = true
			cs.mu.Unlock()
			return
		}
		doubt = doubt || !answer.Rejected() && answer.Reached()
		time.Sleep(retryPause)
	}
	cs.mu.Lock()
	cs.refused[j.ID] = !doubt
	cs.mu.Unlock()
}

// cancel cancels a job at an entry. The job may be cancelled even if no answer says so.
func (cs *callers) cancel(ctx context.Context, id job.ID, queue, entry int) {
	cs.mu.Lock()
	cs.cancelled[id] = true
	cs.mu.Unlock()
	answer := cs.caller(entry, keptKey).Cancel(ctx, prefix(queue), id)
	cs.judge("cancellation of "+string(id), answer, answer.Reached())
	if answer.Accepted() {
		cs.mu.Lock()
		cs.cancelledAt[id] = time.Now()
		cs.mu.Unlock()
	}
}
