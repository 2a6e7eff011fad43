package main

import (
	"fmt"
	"net/http"
	"time"
)

// unusableAfterSharing runs one serving task on each worker, and then a job of tasks that fill beside them
// and disturb them, for which agents pace them down. Long after that job is cancelled, it submits an
// ordinary job.
func unusableAfterSharing(recordPath string, trouble bool) (result, error) {
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, configuration(lots), oneService)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	one := size{CPU: 11000, MemMB: 16000, GPU: 1}
	const serving, filling, judged = "aaaaaaaaaaaaaaa1", "bbbbbbbbbbbbbbb1", "ccccccccccccccc1"
	const target, tail, disturb = 50, 40, 2
	serves := work{Need: one, Lasting: true, TailMs: tail}
	step := map[string]any{"targetMs": target, "antiAffinity": 1, "image": "counter"}
	if err := s.submit(0, "/match/"+serving, "key-lots", job(siteWorkers, serves, step)); err != nil {
		return notRun, err
	}
	if !await(15*time.Second, func() bool { return s.running(serving) == siteWorkers }) {
		return notRun, fmt.Errorf("%d serving tasks run, want %d", s.running(serving), siteWorkers)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		fills := work{Need: size{CPU: 11000, MemMB: 16000}, Millis: 9500, Fills: true, DisturbMs: disturb}
		step := map[string]any{"fills": true, "antiAffinity": 1, "image": "scan"}
		if err := s.submit(0, "/batch/"+filling, "key-lots", job(siteWorkers, fills, step)); err != nil {
			return notRun, err
		}
		time.Sleep(20 * time.Second)
		s.note("%d tasks that fill run, %d of their runs have been stopped", s.running(filling), s.ends(filling, "stopped"))
		s.call(0, 3*time.Second, http.MethodDelete, "/batch/"+filling, "key-lots", nil)
		time.Sleep(15 * time.Second)
	}
	s.note("%d of %d accelerators are in use", s.used(), siteWorkers*siteRoom.GPU)
	if err := s.submit(1, "/batch/"+judged, "key-lots", job(1, work{Need: one, Millis: 2000}, nil)); err != nil {
		return notRun, err
	}
	acked := time.Now()
	begun := func() bool { return len(s.starts(judged)) > 0 }
	if await(idleLimit+time.Second, begun) {
		s.note("job %s began %.1f s after its acknowledgement: rule LOST held", judged, time.Since(acked).Seconds())
		return held, nil
	}
	s.note("for %.1f s job %s has had nothing running: rule LOST is broken", time.Since(acked).Seconds(), judged)
	if await(watchTime, begun) {
		s.note("it began %.1f s after its acknowledgement", time.Since(acked).Seconds())
		return broken, nil
	}
	s.note("%.1f s after its acknowledgement it has not begun", time.Since(acked).Seconds())
	s.call(1, 3*time.Second, http.MethodGet, "/batch/"+judged, "key-lots", nil)
	return broken, nil
}

// used returns the accelerators in use.
func (s *system) used() int {
	n := 0
	for _, w := range s.workers {
		n += w.used()
	}
	return n
}

// ends returns how many runs of a job have ended in a given way.
func (s *system) ends(job, how string) int {
	n := 0
	for _, w := range s.workers {
		n += w.endsOf(job, how)
	}
	return n
}
