package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	cancelJob = "00000000000000d4"
	// The job runs its step cancelTimes times.
	cancelTimes    = 7
	cancelInterval = 4 * time.Second
)

// cancelUnknown checks the rule UNASKED: the entry that accepted a job is killed, and the caller
// cancels the job at an entry that the store does not answer at that time.
func cancelUnknown(log *recorder, trouble bool) verdict {
	needs = capacity{CPU: 1000, MemMB: 1000}
	work := func(string) time.Duration { return 2 * time.Second }
	c, err := newCluster(log, 3, newWorkers(3, capacity{CPU: 128000, MemMB: 262144, GPU: 8}, work))
	defer c.close()
	if err != nil {
		return verdict{err: err}
	}
	if err := c.begin(); err != nil {
		return verdict{err: err}
	}
	leader := c.leader()
	if leader == nil {
		return verdict{err: errors.New("no entry leads")}
	}
	var others []*process
	for _, p := range c.entries {
		if p != leader {
			others = append(others, p)
		}
	}
	accepts, turnedAway := others[0], others[1]
	log.write("%s leads", leader.name)
	if trouble {
		log.write("the store stops to answer %s", turnedAway.name)
		c.store.setFault(turnedAway.name, silent)
		sleep(c.ctx, 400*time.Millisecond)
	}
	body := map[string]any{
		"spec": "x", "times": cancelTimes, "startAtMs": time.Now().UnixMilli(), "intervalMs": cancelInterval.Milliseconds(),
		"steps": []map[string]any{{"count": 2, "cpu": needs.CPU, "memMb": needs.MemMB, "estimateMs": 2000}},
	}
	if status, _ := c.call(accepts, http.MethodPost, cancelJob, body); status != http.StatusOK {
		return verdict{err: errors.New("the job was not accepted")}
	}
	if trouble {
		accepts.kill()
	}
	status := 0
	for status/100 != 2 && status != http.StatusGone {
		status, _ = c.call(turnedAway, http.MethodDelete, cancelJob, nil)
		if status/100 != 2 && status != http.StatusGone {
			sleep(c.ctx, time.Second)
		}
	}
	calm := time.Now()
	log.write("the cancel is answered with %d", status)
	if trouble {
		c.store.setFault(turnedAway.name, healthy)
		log.write("the store answers %s again", turnedAway.name)
		sleep(c.ctx, time.Second)
		if err := accepts.start(); err != nil {
			return verdict{err: err}
		}
		calm = time.Now()
	}
	sleep(c.ctx, cancelTimes*cancelInterval)
	c.call(turnedAway, http.MethodGet, cancelJob, nil)
	var v verdict
	log.mu.Lock()
	defer log.mu.Unlock()
	// The cancel is acknowledged by its answer or, if a 410 should be no acknowledgement, it has been
	// waited for ackMs in steady state. Only starts that are late by both readings are findings.
	limit := contactTime + ackTime + cancelTime
	for _, s := range log.starts {
		if late := s.at.Sub(calm); late > limit {
			v.findings = append(v.findings, fmt.Sprintf("%s run %d starts on %s %d ms after the last disruption, "+
				"which came after the answer %d to the cancel", s.task, s.run, s.worker, late.Milliseconds(), status))
		}
	}
	return v
}
