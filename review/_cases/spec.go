package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// smallJobs is how many small jobs come, one a second. After largeAfter of them the large jobs
	// come at once.
	smallJobs  = 25
	largeAfter = 6
	largeJobs  = 2
	largeTasks = 600
	// maxSpec is the largest size of a specification, in bytes. A large job has a document of that
	// size, made of specRow.
	maxSpec = 4000
	specRow = "<row id=\"1\"/>\n"
	// patience is how long after the last job the case watches.
	patience = 30 * time.Second
)

// largeSpec checks the rule LOST while large jobs with long specifications come at once.
func largeSpec(log *recorder, trouble bool) verdict {
	needs = capacity{CPU: 200, MemMB: 256}
	work := func(string) time.Duration { return 3 * time.Second }
	c, err := newCluster(log, 2, newWorkers(3, capacity{CPU: 128000, MemMB: 262144, GPU: 8}, work))
	defer c.close()
	if err != nil {
		return verdict{err: err}
	}
	if err := c.begin(); err != nil {
		return verdict{err: err}
	}
	idle := newIdleWatch(c)
	go idle.run()
	document := strings.Repeat(specRow, maxSpec/len(specRow))
	submit := func(id string, count int, spec string) error {
		body := map[string]any{"spec": spec, "steps": []map[string]any{
			{"count": count, "cpu": needs.CPU, "memMb": needs.MemMB, "estimateMs": 3000},
		}}
		if status, _ := c.call(c.entries[0], http.MethodPost, id, body); status != http.StatusOK {
			return errors.New("a job was not accepted")
		}
		idle.add(id, count)
		return nil
	}
	for i := range smallJobs {
		if i == largeAfter && trouble {
			for n := range largeJobs {
				if err := submit(fmt.Sprintf("000000000000f%03x", n), largeTasks, document); err != nil {
					return verdict{err: err}
				}
			}
		}
		if err := submit(fmt.Sprintf("000000000000a%03x", i), 3, "small"); err != nil {
			return verdict{err: err}
		}
		sleep(c.ctx, time.Second)
	}
	sleep(c.ctx, patience)
	for _, id := range idle.ids() {
		c.call(c.entries[1], http.MethodGet, id, nil)
	}
	return verdict{findings: idle.findings()}
}
