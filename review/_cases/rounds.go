package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// The large job: its step runs roundsTimes times, all due at once.
	roundsJob   = "000000000000f100"
	roundsTimes = 200
	roundsTasks = 1000
	// roundsSmall is how many small jobs come, one a second.
	roundsSmall = 25
)

// manyRounds checks the rule LOST for small jobs while a job of many tasks that are due at once comes.
func manyRounds(log *recorder, trouble bool) verdict {
	needs = capacity{CPU: 1000, MemMB: 1000}
	work := func(string) time.Duration { return 2 * time.Second }
	c, err := newCluster(log, 2, newWorkers(3, capacity{CPU: 128000, MemMB: 262144, GPU: 8}, work))
	defer c.close()
	if err != nil {
		return verdict{err: err}
	}
	if err := c.begin(); err != nil {
		return verdict{err: err}
	}
	if trouble {
		body := map[string]any{
			"spec": "x", "times": roundsTimes, "startAtMs": time.Now().UnixMilli(), "intervalMs": 1,
			"steps": []map[string]any{{"count": roundsTasks, "cpu": needs.CPU, "memMb": needs.MemMB, "estimateMs": 2000}},
		}
		if status, _ := c.call(c.entries[0], http.MethodPost, roundsJob, body); status != http.StatusOK {
			return verdict{err: errors.New("the large job was not accepted")}
		}
	}
	idle := newIdleWatch(c)
	go idle.run()
	for i := range roundsSmall {
		id := fmt.Sprintf("000000000000a%03x", i)
		body := map[string]any{"spec": "small", "steps": []map[string]any{
			{"count": 2, "cpu": needs.CPU, "memMb": needs.MemMB, "estimateMs": 2000},
		}}
		// Under overload a job may be refused, and is then not owed.
		if status, _ := c.call(c.entries[i%2], http.MethodPost, id, body); status == http.StatusOK {
			idle.add(id, 2)
		}
		sleep(c.ctx, time.Second)
	}
	sleep(c.ctx, 10*time.Second)
	return verdict{findings: idle.findings()}
}
