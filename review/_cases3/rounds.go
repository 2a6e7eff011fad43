package main

import (
	"net/http"
	"time"
)

// manyRounds submits a job of many rounds that are all due, and then an ordinary one of another team.
func manyRounds(recordPath string, trouble bool) (result, error) {
	config := configuration(tenant("city", "key-city", 0), lots)
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, config, oneService)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	const large, judged = "aaaaaaaaaaaaaaa1", "bbbbbbbbbbbbbbb1"
	rounds := 200
	if !trouble {
		rounds = 2
	}
	body := job(1000, work{Need: size{CPU: 100, MemMB: 10}, Millis: 3000}, nil)
	body["times"], body["startAtMs"], body["intervalMs"] = rounds, time.Now().UnixMilli(), 1
	if err := s.submit(0, "/batch/"+large, "key-lots", body); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	small := work{Need: size{CPU: 1000, MemMB: 1000, GPU: 1}, Millis: 2000}
	if err := s.submit(1, "/match/"+judged, "key-city", job(1, small, nil)); err != nil {
		return notRun, err
	}
	acked := time.Now()
	begun := func() bool { return len(s.starts(judged)) > 0 }
	if await(idleLimit+time.Second, begun) {
		s.note("job %s began %.1f s after its acknowledgement: rule LOST held", judged, time.Since(acked).Seconds())
		return held, nil
	}
	s.note("for %.1f s job %s has had nothing running, with %d accelerators in use: rule LOST is broken",
		time.Since(acked).Seconds(), judged, s.used())
	if await(2*watchTime, begun) {
		s.note("it began %.1f s after its acknowledgement", time.Since(acked).Seconds())
	} else {
		s.note("%.1f s after its acknowledgement it has not begun", time.Since(acked).Seconds())
	}
	s.call(1, 3*time.Second, http.MethodGet, "/match/"+judged, "key-city", nil)
	s.note("%d tasks of job %s have begun", len(s.starts(large)), large)
	return broken, nil
}
