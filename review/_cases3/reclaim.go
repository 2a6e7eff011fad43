package main

import (
	"fmt"
	"net/http"
	"time"
)

// The small site's workers: 11 of 128 cores, 256 GB and 8 GPUs, 3 a rack.
const (
	siteEntries = 3
	siteWorkers = 11
	sitePerRack = 3
)

// lots is a team that is guaranteed nothing.
var lots = tenant("lots", "key-lots", 0)

var siteRoom = size{CPU: 128000, MemMB: 262144, GPU: 8}

// reclaimLimit is reclaimMs of the settings.
const reclaimLimit = 2900 * time.Millisecond

// watchTime is how long a job that has not begun in time is watched further, for the record.
const watchTime = 20 * time.Second

// whole is what a task takes that needs all accelerators of a worker.
var whole = size{CPU: 15000, MemMB: 39000, GPU: 8}

// judgeReclaim submits a guaranteed job and judges rule RECLAIM: at reclaimMs after its acknowledgement
// every task of its first step must have begun.
func judgeReclaim(s *system, id, key string, tasks int, body any) (result, error) {
	if err := s.submit(0, "/confirm/"+id, key, body); err != nil {
		return notRun, err
	}
	acked := time.Now()
	begun := func() bool { return distinct(s.starts(id)) >= tasks }
	await(time.Until(acked.Add(reclaimLimit)), begun)
	if begun() {
		s.note("job %s has begun all %d tasks within %v: rule RECLAIM held", id, tasks, reclaimLimit)
		return held, nil
	}
	s.note("%v after its acknowledgement job %s has begun %d of %d tasks: rule RECLAIM is broken",
		reclaimLimit, id, distinct(s.starts(id)), tasks)
	if await(watchTime, begun) {
		s.note("it began %.1f s after its acknowledgement", time.Since(acked).Seconds())
	} else {
		s.note("%.1f s after its acknowledgement it has begun %d of %d tasks", time.Since(acked).Seconds(),
			distinct(s.starts(id)), tasks)
	}
	s.call(1, 3*time.Second, http.MethodGet, "/confirm/"+id, key, nil)
	return broken, nil
}

// distinct returns the number of tasks among the starts.
func distinct(starts []taskStart) int {
	tasks := map[string]bool{}
	for _, s := range starts {
		tasks[s.task] = true
	}
	return len(tasks)
}

// reclaimFromLasting fills the site with lasting jobs of a team without a guarantee, and then submits an
// urgent job that its team's guarantee covers.
func reclaimFromLasting(recordPath string, trouble bool) (result, error) {
	config := configuration(tenant("city", "key-city", 24), lots)
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, config, oneService)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	const burstTasks = 44
	if trouble {
		one := work{Need: size{CPU: 11000, MemMB: 16000, GPU: 1}, Lasting: true}
		ids := []string{"aaaaaaaaaaaaaaa1", "aaaaaaaaaaaaaaa2"}
		for _, id := range ids {
			if err := s.submit(0, "/batch/"+id, "key-lots", job(burstTasks, one, nil)); err != nil {
				return notRun, err
			}
		}
		full := func() bool { return s.running(ids[0])+s.running(ids[1]) == 2*burstTasks }
		if !await(15*time.Second, full) {
			return notRun, fmt.Errorf("%d of %d lasting tasks run", s.running(ids[0])+s.running(ids[1]), 2*burstTasks)
		}
		s.note("the burst runs: %d lasting tasks of a team that is guaranteed nothing", 2*burstTasks)
		time.Sleep(5 * time.Second)
	}
	urgent := work{Need: whole, Millis: 2500}
	return judgeReclaim(s, "bbbbbbbbbbbbbbb1", "key-city", 3, job(3, urgent, nil))
}

// reclaimAcrossRacks fills the workers with work that may be stopped, runs an urgent guaranteed task in
// each rack, and then submits an urgent guaranteed gang that would run faster within a rack.
func reclaimAcrossRacks(recordPath string, trouble bool) (result, error) {
	config := configuration(tenant("city", "key-city", 32), tenant("gates", "key-gates", 24), lots)
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, config, oneService)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	const racks = 4
	if err := s.submit(0, "/match/ddddddddddddddd1", "key-lots", job(siteWorkers, work{Need: whole, Millis: 60000}, nil)); err != nil {
		return notRun, err
	}
	if !await(10*time.Second, func() bool { return s.busy() == siteWorkers }) {
		return notRun, fmt.Errorf("%d workers are busy, want all", s.busy())
	}
	time.Sleep(2 * time.Second)
	if trouble {
		started := 0
		for i := 1; i <= racks; i++ {
			id := fmt.Sprintf("ccccccccccccccc%d", i)
			body := job(1, work{Need: whole, Millis: 25000}, map[string]any{"colocate": fmt.Sprintf("r%d", i)})
			if err := s.submit(0, "/confirm/"+id, "key-city", body); err != nil {
				return notRun, err
			}
			if await(reclaimLimit, func() bool { return s.running(id) == 1 }) {
				started++
			}
		}
		if started != racks {
			return notRun, fmt.Errorf("%d urgent jobs run, want %d", started, racks)
		}
		time.Sleep(time.Second)
	}
	gang := map[string]any{"gang": true, "sameRack": true}
	return judgeReclaim(s, "eeeeeeeeeeeeeee1", "key-gates", 3, job(3, work{Need: whole, Millis: 2500}, gang))
}

// busy returns how many workers have accelerators in use.
func (s *system) busy() int {
	n := 0
	for _, w := range s.workers {
		if w.used() > 0 {
			n++
		}
	}
	return n
}
