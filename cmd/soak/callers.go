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

// Timing of callers.
const (
	callTimeout       = 3 * time.Second
	retryDelay        = 300 * time.Millisecond
	maxSubmitAttempts = 3
	// maxAnswerTime is the longest time that an answer may take in a scenario of planned work.
	maxAnswerTime = 2900 * time.Millisecond
)

// callers submit and cancel jobs, and record the answers.
type callers struct {
	cluster *cluster
	random  *rand.Rand
	// planned means that no call may be cut or delayed.
	planned bool
	// stalls measures when this process did not run.
	stalls *stallMonitor
	// clients has one client per entry. Each keeps its connections open.
	clients []*http.Client

	mu       sync.Mutex
	number   int
	queueOf  map[job.ID]int
	accepted map[job.ID]bool
	// refused holds the jobs that were not accepted. Its value is true if every attempt was
	// definitely refused, and false if one may have been accepted without an answer.
	refused   map[job.ID]bool
	cancelled map[job.ID]bool
	// shed counts the attempts that were refused because the service was overloaded.
	shed int
	// cancelledAt is the time at which an entry confirmed the cancellation of a job.
	cancelledAt map[job.ID]time.Time
	violations  []string
	// lateReadings describe calls that were delayed only by a stall of this process.
	lateReadings []string
}

func newCallers(c *cluster, random *rand.Rand, planned bool, s *stallMonitor) *callers {
	cs := &callers{
		cluster:     c,
		random:      random,
		planned:     planned,
		stalls:      s,
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

// caller returns a caller that uses an entry and an API key.
func (cs *callers) caller(entry int, key string) standin.Caller {
	return standin.Caller{
		Address: cs.cluster.entries[entry].callerAddress,
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

// checkAnswer checks an answer that has just arrived in a scenario of planned work. A call that
// found no listener was not accepted and may be retried at another entry. Answers that this process
// read late, or calls that its own timer ended, because it was stalled are recorded separately: the
// system neither delayed nor cut them.
func (cs *callers) checkAnswer(what string, a standin.Response, reached bool) {
	if !cs.planned {
		return
	}
	stalled := cs.stalledDuring(a)
	heldLong := a.Took-stalled > maxAnswerTime
	givenUp := a.Status == 0 && reached
	if a.Took > maxAnswerTime && !heldLong && (!givenUp || isTimeout(a.Err)) {
		cs.recordLateReading("late reading: %s was answered after %v, of which this process was stalled for %v (%v)",
			what, a.Took, stalled, a.Err)
		return
	}
	if givenUp {
		cs.violate("CUT: %s ended without an answer: %v", what, a.Err)
	}
	if heldLong {
		cs.violate("HELD: %s was answered after %v, of which this process was stalled for %v", what, a.Took, stalled)
	}
}

// stalledDuring returns how long this process was stalled during a call that has just ended. It
// returns zero for a call that was answered in time.
func (cs *callers) stalledDuring(a standin.Response) time.Duration {
	if a.Took <= maxAnswerTime {
		return 0
	}
	now := time.Now()
	return cs.stalls.stalledBetween(now.Add(-a.Took), now)
}

func (cs *callers) recordLateReading(format string, args ...any) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lateReadings = append(cs.lateReadings, fmt.Sprintf(format, args...))
}

// isTimeout reports whether the caller's own timer ended a call.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// newRandomJob generates a job and chooses the queue to submit it to.
func (cs *callers) newRandomJob() (*job.Job, int) {
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

// submit submits a job in up to maxSubmitAttempts attempts, each at the next entry.
func (cs *callers) submit(ctx context.Context, j *job.Job, queue, first int) {
	cs.cluster.platform.Workers.Expect(j)
	uncertain := false
	for attempt := range maxSubmitAttempts {
		entry := (first + attempt) % len(cs.clients)
		answer := cs.caller(entry, validKey).Submit(ctx, prefix(queue), j)
		cs.checkAnswer("submission of "+string(j.ID), answer, answer.Reached())
		if answer.Accepted() {
			cs.mu.Lock()
			cs.accepted[j.ID] = true
			cs.mu.Unlock()
			return
		}
		if answer.Status == http.StatusTooManyRequests {
			cs.mu.Lock()
			cs.shed++
			cs.mu.Unlock()
		}
		uncertain = uncertain || !answer.Rejected() && answer.Reached()
		time.Sleep(retryDelay)
	}
	cs.mu.Lock()
	cs.refused[j.ID] = !uncertain
	cs.mu.Unlock()
}

// cancel cancels a job at an entry. The job may be cancelled even if no answer confirms it.
func (cs *callers) cancel(ctx context.Context, id job.ID, queue, entry int) {
	cs.mu.Lock()
	cs.cancelled[id] = true
	cs.mu.Unlock()
	answer := cs.caller(entry, validKey).Cancel(ctx, prefix(queue), id)
	cs.checkAnswer("cancellation of "+string(id), answer, answer.Reached())
	if answer.Accepted() {
		cs.mu.Lock()
		cs.cancelledAt[id] = time.Now()
		cs.mu.Unlock()
	}
}
