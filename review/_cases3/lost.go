package main

import (
	"fmt"
	"net/http"
	"strings"
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

// failedByCrashes crashes the worker under a sound task of a batch job, and the one under a task that
// lasts, three times each.
func failedByCrashes(recordPath string, trouble bool) (result, error) {
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, configuration(lots), oneService)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	const batch, lasting = "aaaaaaaaaaaaaaa1", "bbbbbbbbbbbbbbb1"
	if err := s.submit(0, "/batch/"+lasting, "key-lots", job(1, work{Need: whole, Lasting: true}, nil)); err != nil {
		return notRun, err
	}
	if err := s.submit(0, "/batch/"+batch, "key-lots", job(1, work{Need: whole, Millis: 15000}, nil)); err != nil {
		return notRun, err
	}
	const crashes, down, age = 3, 4500 * time.Millisecond, 2 * time.Second
	for n := 1; n <= crashes && trouble; n++ {
		for _, id := range []string{lasting, batch} {
			if !await(15*time.Second, func() bool { return s.running(id) == 1 }) {
				return notRun, fmt.Errorf("job %s doesn't run before crash %d", id, n)
			}
		}
		time.Sleep(age)
		for _, id := range []string{lasting, batch} {
			for _, w := range s.workers {
				if w.runningOf(id) == 1 {
					w.crash(down)
				}
			}
		}
	}
	// Both jobs have their turn, and nine workers or more are empty: six seconds after the last worker has
	// returned the task that lasts must run, and the batch job must be done after its work.
	time.Sleep(down + 6*time.Second)
	r := held
	await(20*time.Second, func() bool { return s.state(batch) == "completed" })
	for _, id := range []string{lasting, batch} {
		state := s.state(id)
		failed := s.ends(id, "failed")
		s.note("job %s appears as %s after %d starts; %d ends `failed`; %d of its tasks run",
			id, state, len(s.starts(id)), failed, s.running(id))
		if state == "failed" && failed == 0 {
			s.note("job %s appears as failed without an end `failed`: rule LOST is broken", id)
			r = broken
		}
	}
	return r, nil
}

// state returns the state of a job in the queue /batch/ as a client sees it.
func (s *system) state(id string) string {
	_, answer := s.callQuietly(1, 3*time.Second, http.MethodGet, "/batch/"+id, "key-lots", nil)
	_, text, _ := strings.Cut(answer, `"state":"`)
	state, _, _ := strings.Cut(text, `"`)
	return state
}

// ends returns how many runs of a job have ended in a given way.
func (s *system) ends(job, how string) int {
	n := 0
	for _, w := range s.workers {
		n += w.endsOf(job, how)
	}
	return n
}
