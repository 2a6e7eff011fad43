package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	lastingJob  = "00000000000000b2"
	lastingTask = lastingJob + ".0.0.0"
	// crashes is how many times the worker that runs the task crashes. crashPause is the time that
	// the task works undisturbed before each crash.
	crashes    = 3
	crashPause = 12 * time.Second
	// restartLimit is the time within which a lasting task has to run again while there is room.
	restartLimit = 6 * time.Second
)

// lastingGivenUp checks the rule LOST for a task that lasts, while workers crash one at a time.
func lastingGivenUp(log *recorder, trouble bool) verdict {
	needs = capacity{CPU: 8000, MemMB: 16000, GPU: 8}
	work := func(string) time.Duration { return 0 }
	c, err := newCluster(log, 2, newWorkers(4, capacity{CPU: 128000, MemMB: 262144, GPU: 8}, work))
	defer c.close()
	if err != nil {
		return verdict{err: err}
	}
	if err := c.begin(); err != nil {
		return verdict{err: err}
	}
	body := map[string]any{"spec": "serve", "steps": []map[string]any{
		{"count": 1, "cpu": needs.CPU, "memMb": needs.MemMB, "gpu": needs.GPU, "estimateMs": 1000, "longRunning": true},
	}}
	if status, _ := c.call(c.entries[0], http.MethodPost, lastingJob, body); status != http.StatusOK {
		return verdict{err: errors.New("the job was not accepted")}
	}
	for n := range crashes {
		w := c.awaitRun(lastingTask, 15*time.Second)
		if w == nil {
			return c.lastingVerdict(fmt.Sprintf("after %d crashes the task did not run again", n))
		}
		sleep(c.ctx, crashPause)
		c.call(c.entries[0], http.MethodGet, lastingJob, nil)
		if trouble {
			w.crash()
			sleep(c.ctx, time.Second)
			if err := w.start(); err != nil {
				return verdict{err: err}
			}
		}
	}
	// All workers are up and free, and nothing else happens from here on.
	if c.awaitRun(lastingTask, contactTime+restartLimit+6*time.Second) == nil {
		return c.lastingVerdict(fmt.Sprintf("after %d crashes the task did not run again", crashes))
	}
	return c.lastingVerdict("")
}

// lastingVerdict asks for the state of the job, which nobody has cancelled.
func (c *cluster) lastingVerdict(found string) verdict {
	var v verdict
	if found != "" {
		v.findings = append(v.findings, found)
	}
	for _, p := range c.entries {
		if _, text := c.call(p, http.MethodGet, lastingJob, nil); !strings.Contains(text, "running") {
			v.findings = append(v.findings, fmt.Sprintf("%s shows the job as %s", p.name, strings.TrimSpace(text)))
		}
	}
	return v
}

// awaitRun waits until a worker runs a task, and returns the worker, or nil.
func (c *cluster) awaitRun(task string, limit time.Duration) *worker {
	for end := time.Now().Add(limit); time.Now().Before(end); sleep(c.ctx, 50*time.Millisecond) {
		for _, w := range c.workers {
			for _, t := range w.running() {
				if t == task {
					return w
				}
			}
		}
	}
	return nil
}
