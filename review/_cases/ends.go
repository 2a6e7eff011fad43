package main

import (
	"errors"
	"hash/fnv"
	"net/http"
	"strings"
	"time"
)

// The job of the case: many small tasks.
const (
	endsJob   = "00000000000000e1"
	endsTasks = 1500
)

// manyEnds checks the rule TWICE while the store is down for some seconds and more runs end on a
// worker than fit into one list.
func manyEnds(log *recorder, trouble bool) verdict {
	needs = capacity{CPU: 100, MemMB: 100}
	work := func(task string) time.Duration {
		h := fnv.New32a()
		h.Write([]byte(task))
		return 3500*time.Millisecond + time.Duration(h.Sum32()%4000)*time.Millisecond
	}
	c, err := newCluster(log, 2, newWorkers(2, capacity{CPU: 128000, MemMB: 262144, GPU: 8}, work))
	defer c.close()
	if err != nil {
		return verdict{err: err}
	}
	if err := c.begin(); err != nil {
		return verdict{err: err}
	}
	body := map[string]any{"spec": "x", "steps": []map[string]any{
		{"count": endsTasks, "cpu": needs.CPU, "memMb": needs.MemMB, "estimateMs": 5500},
	}}
	if status, _ := c.call(c.entries[0], http.MethodPost, endsJob, body); status != http.StatusOK {
		return verdict{err: errors.New("the job was not accepted")}
	}
	sleep(c.ctx, 3*time.Second)
	log.write("running: %d and %d tasks", len(c.workers[0].running()), len(c.workers[1].running()))
	if trouble {
		log.write("the store answers 503")
		c.store.setFault("", busy)
		sleep(c.ctx, 4500*time.Millisecond)
		c.store.setFault("", healthy)
		log.write("the store serves again")
	}
	for range 25 {
		sleep(c.ctx, time.Second)
		if _, text := c.call(c.entries[0], http.MethodGet, endsJob, nil); strings.Contains(text, "completed") {
			break
		}
	}
	sleep(c.ctx, 2*time.Second)
	log.write("lists that left out ends: %d", log.longLists.Load())
	return verdict{findings: log.startedTwice()}
}
