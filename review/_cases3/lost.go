package main

import (
	"fmt"
	"net/http"
	"time"
)

// idleLimit is the time of rule LOST for which a job may have nothing running although there is room.
const idleLimit = 3 * time.Second

// configLimit is configApplyMs of the settings.
const configLimit = 2 * time.Second

// oldWorkers is the number of workers of the service to which the queue is directed first.
const oldWorkers = 5

// redirectedQueue fills a service with a job that lasts, submits a job that waits there, and then directs
// the job's queue to another service, whose workers are empty.
func redirectedQueue(recordPath string, trouble bool) (result, error) {
	serviceOf := func(worker int) string {
		if worker < oldWorkers {
			return service
		}
		return otherService
	}
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, configuration(lots), serviceOf)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	const filler, waiting, later = "aaaaaaaaaaaaaaa1", "bbbbbbbbbbbbbbb1", "ccccccccccccccc1"
	if err := s.submit(0, "/match/"+filler, "key-lots", job(oldWorkers, work{Need: whole, Lasting: true}, nil)); err != nil {
		return notRun, err
	}
	if !await(10*time.Second, func() bool { return s.running(filler) == oldWorkers }) {
		return notRun, fmt.Errorf("%d lasting tasks run, want %d", s.running(filler), oldWorkers)
	}
	task := work{Need: whole, Millis: 2000}
	if err := s.submit(0, "/batch/"+waiting, "key-lots", job(1, task, nil)); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	r := held
	if trouble {
		s.store.put("keyed.op", "config", configurationOf(2, otherService, lots))
		s.note("version 2 is acknowledged: queue batch is directed to %s, whose %d workers are empty",
			otherService, siteWorkers-oldWorkers)
		time.Sleep(configLimit)
		if err := s.submit(1, "/batch/"+later, "key-lots", job(1, task, nil)); err != nil {
			return notRun, err
		}
		if !await(idleLimit, func() bool { return len(s.starts(later)) > 0 }) {
			return notRun, fmt.Errorf("a job of version 2 doesn't begin")
		}
		if !await(watchTime, func() bool { return len(s.starts(waiting)) > 0 }) {
			s.note("%v after version 2 was in force job %s has nothing running, and all workers of %s are empty: "+
				"rule LOST is broken", watchTime, waiting, otherService)
			s.call(1, 3*time.Second, http.MethodGet, "/batch/"+waiting, "key-lots", nil)
			r = broken
		}
	} else {
		s.note("the service is full: rule LOST doesn't ask for a start of job %s", waiting)
	}
	if len(s.starts(waiting)) == 0 {
		s.call(0, 3*time.Second, http.MethodDelete, "/match/"+filler, "key-lots", nil)
		if !await(idleLimit+time.Second, func() bool { return len(s.starts(waiting)) > 0 }) {
			return notRun, fmt.Errorf("the waiting job doesn't begin when the old service is empty")
		}
	}
	return r, nil
}

// waitForDataRack fills a rack, and then submits a job whose data is there, while the other racks are
// empty.
func waitForDataRack(recordPath string, trouble bool) (result, error) {
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, configuration(lots), oneService)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	data := map[string]any{"colocate": "r1"}
	if trouble {
		if err := s.submit(0, "/match/aaaaaaaaaaaaaaa1", "key-lots", job(sitePerRack, work{Need: whole, Millis: 60000}, data)); err != nil {
			return notRun, err
		}
		if !await(10*time.Second, func() bool { return s.busy() == sitePerRack }) {
			return notRun, fmt.Errorf("%d workers are busy, want %d", s.busy(), sitePerRack)
		}
		time.Sleep(5 * time.Second)
	}
	const id = "bbbbbbbbbbbbbbb1"
	if err := s.submit(1, "/match/"+id, "key-lots", job(1, work{Need: whole, Millis: 20000}, data)); err != nil {
		return notRun, err
	}
	acked := time.Now()
	// The span of the rule begins once the calls' effects are visible.
	const slack = time.Second
	begun := func() bool { return len(s.starts(id)) > 0 }
	if await(idleLimit+slack, begun) {
		s.note("job %s began within %v: rule LOST held", id, idleLimit+slack)
		return held, nil
	}
	s.note("for %v job %s has had nothing running, with %d of %d workers empty: rule LOST is broken",
		time.Since(acked).Round(time.Millisecond), id, siteWorkers-s.busy(), siteWorkers)
	if await(40*time.Second, begun) {
		s.note("it began %.1f s after its acknowledgement", time.Since(acked).Seconds())
	} else {
		s.note("%.1f s after its acknowledgement it has not begun", time.Since(acked).Seconds())
	}
	return broken, nil
}
