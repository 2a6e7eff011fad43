package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// staleJobs are the jobs that come, staleGap apart, while a worker fails what it is asked.
	staleJobs = 20
	staleGap  = 40 * time.Millisecond
	// Times since the worker began to fail: when the leader is killed, when the jobs are cancelled,
	// when the next leader freezes and for how long, and when the worker is well again.
	leaderKilled  = 1600 * time.Millisecond
	jobsCancelled = 2400 * time.Millisecond
	leaderFrozen  = 6400 * time.Millisecond
	frozenFor     = 1500 * time.Millisecond
	workerWell    = 6600 * time.Millisecond
)

// staleStart checks the rule UNASKED while a worker fails all calls, the leader is killed, and jobs
// are cancelled.
func staleStart(log *recorder, trouble bool) verdict {
	needs = capacity{CPU: 1000, MemMB: 1000}
	work := func(string) time.Duration { return 8 * time.Second }
	c, err := newCluster(log, 3, newWorkers(5, capacity{CPU: 128000, MemMB: 262144, GPU: 8}, work))
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
	// The first job shows where the next ones go.
	first := "00000000000000aa"
	if !c.submitSmall(c.other(leader), first) {
		return verdict{err: errors.New("a job was not accepted")}
	}
	w := c.awaitRun(first+".0.0.0", 5*time.Second)
	if w == nil {
		return verdict{err: errors.New("the first job did not start")}
	}
	began := time.Now()
	if trouble {
		w.setFailing(true)
	}
	var jobs []string
	for i := range staleJobs {
		id := fmt.Sprintf("00000000000001%02x", i)
		if !c.submitSmall(c.other(leader), id) {
			return verdict{err: errors.New("a job was not accepted")}
		}
		jobs = append(jobs, id)
		sleep(c.ctx, staleGap)
	}
	c.until(began, leaderKilled)
	alive := c.other(leader)
	if trouble {
		leader.kill()
	}
	c.until(began, jobsCancelled)
	acked := map[string]time.Time{}
	for _, id := range jobs {
		if status, _ := c.call(alive, http.MethodDelete, id, nil); status == http.StatusOK {
			acked[id] = time.Now()
		}
	}
	if trouble {
		if err := leader.start(); err != nil {
			return verdict{err: err}
		}
		c.until(began, leaderFrozen)
		next := c.leader()
		if next == nil {
			return verdict{err: errors.New("no entry leads after the kill")}
		}
		next.signal(syscall.SIGSTOP)
		c.until(began, workerWell)
		w.setFailing(false)
		c.until(began, leaderFrozen+frozenFor)
		next.signal(syscall.SIGCONT)
	}
	c.until(began, workerWell+5*time.Second)
	return verdict{findings: log.startedAfter(acked, cancelTime)}
}

// other returns an entry other than the given one.
func (c *cluster) other(p *process) *process {
	for _, o := range c.entries {
		if o != p {
			return o
		}
	}
	return nil
}

// submitSmall submits a job of two tasks, and reports whether it was accepted.
func (c *cluster) submitSmall(p *process, id string) bool {
	body := map[string]any{"spec": "x", "steps": []map[string]any{
		{"count": 2, "cpu": needs.CPU, "memMb": needs.MemMB, "estimateMs": 8000},
	}}
	status, _ := c.call(p, http.MethodPost, id, body)
	return status == http.StatusOK
}

// until waits until some time has passed since a moment.
func (c *cluster) until(since time.Time, d time.Duration) { sleep(c.ctx, time.Until(since.Add(d))) }
