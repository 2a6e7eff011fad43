package jobtest_test

import (
	"slices"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// TestTaskThatCrashesWorkers: the job of a task that crashes each worker that starts it fails,
// whatever else fails meanwhile.
//
// Users saw a task of an urgent job start on worker after worker, every 3.1 to 3.5 s for two
// minutes: 33 runs, each of which took its worker, with all that ran there, away for 3 s. A few
// such jobs crashed one of eleven workers each second, and sound jobs were late. Runs that end with
// their worker were told apart from failed ones and counted nowhere, so no limit ended this.
func TestTaskThatCrashesWorkers(t *testing.T) {
	quick := crash{after: 10 * time.Millisecond, away: 3 * time.Second}
	tests := []struct {
		name  string
		crash crash
		gang  bool
		// strike is called at each crash of a worker.
		strike func(s *system, crashes int)
	}{
		{name: "calm", crash: quick},
		{name: "the start gets no answer", crash: crash{after: 0, away: 3 * time.Second}},
		{name: "after a while", crash: crash{after: 700 * time.Millisecond, away: 3 * time.Second}},
		{name: "back when its lease is over", crash: crash{after: 10 * time.Millisecond, away: 9 * time.Second}},
		{name: "a member of a gang", crash: quick, gang: true},
		{name: "leader killed at each crash", crash: quick, strike: func(s *system, _ int) {
			for i, e := range s.entries {
				if e == s.leader() {
					go s.restart(e, func() { s.startEntry(i) }, time.Second)
				}
			}
		}},
		{name: "agents killed at each crash", crash: quick, strike: func(s *system, _ int) {
			for i, a := range s.agents {
				go s.restart(a, func() { s.startAgent(i) }, 500*time.Millisecond)
			}
		}},
		{name: "answers of the store lost", crash: quick, strike: func(s *system, _ int) {
			s.setFault("", jobtest.Fault{Lost: 0.5, Late: true})
			time.AfterFunc(2*time.Second, func() { s.setFault("", jobtest.Fault{}) })
		}},
		{name: "all without power at the second crash", crash: quick, strike: func(s *system, crashes int) {
			if crashes == 2 {
				s.loseAll()
			}
		}},
	}
	for _, test := range tests {
		play := func(t *testing.T, s *system) { playCrashes(t, s, test.crash, test.gang, test.strike) }
		t.Run(test.name, func(t *testing.T) { within(t, play) })
		t.Run(test.name+", under the same ids", func(t *testing.T) { withinShape(t, shape{sameID: 1}, play) })
	}
}

// playCrashes submits a sound job and one with a task that crashes its workers, and checks that
// only the latter fails. strike, if set, is called at each crash.
func playCrashes(t *testing.T, s *system, c crash, gang bool, strike func(s *system, crashes int)) {
	t.Helper()
	sound := s.simpleJob(6, 2*time.Second)
	s.submit(sound, 1)
	bad := s.simpleJob(3, time.Second)
	bad.Steps[0].Gang = gang
	culprit := job.TaskName{Job: bad.ID}
	s.workers.CrashOn(culprit, c.after, c.away)
	s.submit(bad, 0)
	s.awaitCrashes(culprit, 90*time.Second, strike)
	if n := s.workers.CrashesBy(culprit); n < 2 || n > mostCrashes {
		t.Errorf("the task crashed %d workers, want 2 to %d", n, mostCrashes)
	}
	if phase := s.phase(bad.ID); phase != job.Failed {
		t.Errorf("its job is %v, want failed", phase)
	}
	if s.workers.AnyRun(bad.ID) {
		t.Error("its job still runs")
	}
	if phase := s.phase(sound.ID); phase != job.Completed {
		t.Errorf("the sound job is %v, want completed", phase)
	}
}

// crash says how long after its start a task crashes its workers, and how long they are away.
type crash struct{ after, away time.Duration }

// mostCrashes is how many workers a task may crash: three, and two more starts.
const mostCrashes = 5

// awaitCrashes lets time pass, and calls strike at each crash by a task.
func (s *system) awaitCrashes(name job.TaskName, length time.Duration, strike func(s *system, crashes int)) {
	seen := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		if n := s.workers.CrashesBy(name); n > seen {
			seen = n
			if strike != nil {
				strike(s, n)
			}
		}
	}
}

// phase returns the phase of a job, as the first entry says.
func (s *system) phase(id job.ID) job.Phase {
	s.t.Helper()
	phase, err := s.entries[0].admission.Phase(s.ctx, admission.Call{Job: id})
	if err != nil {
		s.t.Error(err)
	}
	return phase
}

// TestSoundJobsAreKept: jobs whose workers crash for other reasons are completed, even if that
// happens often.
func TestSoundJobsAreKept(t *testing.T) {
	tests := []struct {
		name   string
		strike func(s *system, round int)
	}{
		{"power is lost for all", func(s *system, _ int) { s.loseAll() }},
		{"a rack is lost", func(s *system, _ int) {
			for _, w := range s.worker[:rackSize] {
				w.Crash(time.Second)
			}
		}},
		{"a worker flaps", func(s *system, _ int) { s.worker[0].CrashProcess(1200 * time.Millisecond) }},
		{"workers crash in turn", func(s *system, round int) {
			s.worker[round%workerCount].CrashProcess(2 * time.Second)
		}},
		{"workers leave", func(s *system, round int) { s.worker[round%workerCount].Leave(2 * time.Second) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, s *system) {
				s.workers.Work = 4 * time.Second
				var jobs []job.ID
				for range 6 {
					j := s.simpleJob(6, 4*time.Second)
					s.submit(j, 1)
					jobs = append(jobs, j.ID)
				}
				for round := range 4 {
					time.Sleep(2500 * time.Millisecond)
					test.strike(s, round)
				}
				time.Sleep(40 * time.Second)
				completed := func(id job.ID) bool { return s.phase(id) == job.Completed }
				if open := slices.DeleteFunc(slices.Clone(jobs), completed); len(open) > 0 {
					t.Errorf("%d of %d sound jobs are not completed", len(open), len(jobs))
				}
			})
		})
	}
}
