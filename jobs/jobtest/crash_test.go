package jobtest_test

import (
	"slices"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// TestTaskThatCrashesWorkers checks that a job fails if one of its tasks crashes each worker that
// starts it, whatever else fails meanwhile.
//
// It guards against a task of an urgent job that starts on worker after worker, every 3.1 to 3.5 s
// for two minutes: 33 runs, each of which took down its worker and all other runs on it for 3 s. A
// few such jobs crashed one of eleven workers each second and delayed healthy jobs. Runs that ended
// with their worker did not count as failed runs, so no limit applied to them.
func TestTaskThatCrashesWorkers(t *testing.T) {
	quick := crash{after: 10 * time.Millisecond, away: 3 * time.Second}
	tests := []struct {
		name  string
		crash crash
		gang  bool
		// inject is called at each crash of a worker.
		inject func(s *system, crashes int)
	}{
		{name: "calm", crash: quick},
		{name: "the start gets no answer", crash: crash{after: 0, away: 3 * time.Second}},
		{name: "after a while", crash: crash{after: 700 * time.Millisecond, away: 3 * time.Second}},
		{name: "back when its lease is over", crash: crash{after: 10 * time.Millisecond, away: 9 * time.Second}},
		{name: "a member of a gang", crash: quick, gang: true},
		{name: "leader killed at each crash", crash: quick, inject: func(s *system, _ int) {
			for i, e := range s.entries {
				if e == s.leader() {
					go s.restart(e, func() { s.startEntry(i) }, time.Second)
				}
			}
		}},
		{name: "agents killed at each crash", crash: quick, inject: func(s *system, _ int) {
			for i, a := range s.agents {
				go s.restart(a, func() { s.startAgent(i) }, 500*time.Millisecond)
			}
		}},
		{name: "answers of the store lost", crash: quick, inject: func(s *system, _ int) {
			s.setFault("", jobtest.Fault{Lost: 0.5, Late: true})
			time.AfterFunc(2*time.Second, func() { s.setFault("", jobtest.Fault{}) })
		}},
		{name: "all without power at the second crash", crash: quick, inject: func(s *system, crashes int) {
			if crashes == 2 {
				s.powerCycle()
			}
		}},
	}
	for _, test := range tests {
		run := func(t *testing.T, s *system) { testCrashes(t, s, test.crash, test.gang, test.inject) }
		t.Run(test.name, func(t *testing.T) { runWithSystem(t, run) })
		t.Run(test.name+", under the same ids", func(t *testing.T) { runWithOptions(t, systemOptions{sameID: 1}, run) })
	}
}

// testCrashes submits a healthy job and one with a task that crashes its workers, and checks that
// only the latter fails. inject, if set, is called at each crash.
func testCrashes(t *testing.T, s *system, c crash, gang bool, inject func(s *system, crashes int)) {
	t.Helper()
	healthy := s.simpleJob(6, 2*time.Second)
	s.submit(healthy, 1)
	crashing := s.simpleJob(3, time.Second)
	crashing.Steps[0].Gang = gang
	culprit := job.TaskName{Job: crashing.ID}
	s.workers.CrashOn(culprit, c.after, c.away)
	s.submit(crashing, 0)
	s.awaitCrashes(culprit, 90*time.Second, inject)
	if n := s.workers.CrashesBy(culprit); n < 2 || n > maxCrashes {
		t.Errorf("the task crashed %d workers, want 2 to %d", n, maxCrashes)
	}
	if phase := s.phase(crashing.ID); phase != job.Failed {
		t.Errorf("the job of the task is %v, want failed", phase)
	}
	if s.workers.AnyRun(crashing.ID) {
		t.Error("the job of the task still runs")
	}
	if phase := s.phase(healthy.ID); phase != job.Completed {
		t.Errorf("the healthy job is %v, want completed", phase)
	}
}

// crash is the time from the start of a task to the crash of its worker, and the downtime of the
// worker.
type crash struct{ after, away time.Duration }

// maxCrashes is the number of workers that a task may crash: three, and two more starts.
const maxCrashes = 5

// awaitCrashes waits for the given time, and calls inject at each crash caused by a task.
func (s *system) awaitCrashes(name job.TaskName, length time.Duration, inject func(s *system, crashes int)) {
	seen := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		if n := s.workers.CrashesBy(name); n > seen {
			seen = n
			if inject != nil {
				inject(s, n)
			}
		}
	}
}

// phase returns the phase of a job as reported by the first entry.
func (s *system) phase(id job.ID) job.Phase {
	s.t.Helper()
	phase, err := s.entries[0].admission.Phase(s.ctx, admission.Call{Job: id})
	if err != nil {
		s.t.Error(err)
	}
	return phase
}

// TestSoundJobsAreKept checks that jobs whose workers crash for other reasons are completed, even
// if that happens often.
func TestSoundJobsAreKept(t *testing.T) {
	tests := []struct {
		name   string
		inject func(s *system, round int)
	}{
		{"power is lost for all", func(s *system, _ int) { s.powerCycle() }},
		{"a rack is lost", func(s *system, _ int) {
			for _, w := range s.worker[:rackSize] {
				w.Crash(time.Second)
			}
		}},
		{"a worker flaps", func(s *system, _ int) { s.worker[0].CrashProcess(1200 * time.Millisecond) }},
		{"workers crash in turn", func(s *system, round int) {
			s.worker[round%workerCount].CrashProcess(2 * time.Second)
		}},
		{"workers leave", func(s *system, round int) { s.worker[round%workerCount].Drain(2 * time.Second) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithSystem(t, func(t *testing.T, s *system) {
				s.workers.Work = 4 * time.Second
				var jobs []job.ID
				for range 6 {
					j := s.simpleJob(6, 4*time.Second)
					s.submit(j, 1)
					jobs = append(jobs, j.ID)
				}
				for round := range 4 {
					time.Sleep(2500 * time.Millisecond)
					test.inject(s, round)
				}
				time.Sleep(40 * time.Second)
				completed := func(id job.ID) bool { return s.phase(id) == job.Completed }
				if open := slices.DeleteFunc(slices.Clone(jobs), completed); len(open) > 0 {
					t.Errorf("%d of %d healthy jobs are not completed", len(open), len(jobs))
				}
			})
		})
	}
}
