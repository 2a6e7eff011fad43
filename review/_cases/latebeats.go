package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The jobs of the case: each keeps one worker busy, and the others wait.
const lateJobs = 12

// lateHeartbeats checks the rule DRAIN while a cut holds back three heartbeats of a worker.
func lateHeartbeats(log *recorder, trouble bool) verdict {
	needs = capacity{CPU: 64000, MemMB: 100000, GPU: 8}
	work := func(string) time.Duration { return 6 * time.Second }
	c, err := newCluster(log, 2, newWorkers(3, capacity{CPU: 128000, MemMB: 262144, GPU: 8}, work))
	defer c.close()
	if err != nil {
		return verdict{err: err}
	}
	c.configure()
	for _, w := range c.workers[1:] {
		go w.beats(c.ctx, beatInterval)
	}
	// The heartbeats of the first worker are sent by this case, one at a time.
	leaving := c.workers[0]
	stop := c.steadyBeats(leaving)
	if err := c.ready(20 * time.Second); err != nil {
		return verdict{err: err}
	}
	sleep(c.ctx, settleTime)
	for i := range lateJobs {
		id := fmt.Sprintf("00000000000000%02x", 0xc0+i)
		body := map[string]any{"spec": "x", "steps": []map[string]any{
			{"count": 1, "cpu": needs.CPU, "memMb": needs.MemMB, "gpu": needs.GPU, "estimateMs": 6000},
		}}
		if status, _ := c.call(c.entries[0], http.MethodPost, id, body); status != http.StatusOK {
			return verdict{err: errors.New("a job was not accepted")}
		}
	}
	sleep(c.ctx, time.Second)
	stop()
	// The cut holds back three heartbeats: each is sent when it is due and arrives after the cut.
	var heldBack [][]byte
	var life string
	log.write("a cut holds back the heartbeats of %s for 4.5 s", leaving.name)
	for range 3 {
		var body []byte
		life, body, _ = leaving.beat(beatInterval)
		if trouble {
			heldBack = append(heldBack, body)
		} else {
			leaving.send(c.ctx, life, body)
		}
		sleep(c.ctx, beatInterval)
	}
	log.write("the cut is over")
	// The worker leaves, as planned: it says so with each heartbeat and goes on for ten seconds.
	leaving.mu.Lock()
	leaving.drainBy = time.Now().Add(10 * time.Second)
	leaving.mu.Unlock()
	_, body, _ := leaving.beat(beatInterval)
	if !leaving.send(c.ctx, life, body) {
		return verdict{err: errors.New("the heartbeat was not acknowledged")}
	}
	acked := time.Now()
	log.write("%s: the heartbeat that says draining is acknowledged", leaving.name)
	for range 2 {
		sleep(c.ctx, beatInterval)
		_, body, _ := leaving.beat(beatInterval)
		leaving.send(c.ctx, life, body)
		log.write("%s: says draining again", leaving.name)
	}
	sleep(c.ctx, 1300*time.Millisecond)
	for _, body := range heldBack {
		leaving.send(c.ctx, life, body)
		log.write("%s: a heartbeat that was held back arrives: %s", leaving.name, body)
	}
	sleep(c.ctx, 200*time.Millisecond)
	for range 3 {
		_, body, _ := leaving.beat(beatInterval)
		leaving.send(c.ctx, life, body)
		log.write("%s: says draining again", leaving.name)
		sleep(c.ctx, beatInterval)
	}
	var v verdict
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, s := range log.starts {
		if late := s.at.Sub(acked); s.worker == leaving.name && late > drainTime {
			v.findings = append(v.findings, fmt.Sprintf(
				"%s run %d starts on %s %d ms after it was acknowledged as draining", s.task, s.run, s.worker, late.Milliseconds()))
		}
	}
	return v
}

// steadyBeats sends heartbeats of a worker until the returned function is called, which waits for
// the last one.
func (c *cluster) steadyBeats(w *worker) (stop func()) {
	var wg sync.WaitGroup
	end := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			if life, body, up := w.beat(beatInterval); up {
				w.send(c.ctx, life, body)
			}
			select {
			case <-end:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return func() { close(end); wg.Wait() }
}
