package jobtest_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestLateStart checks that a start that got no response, and that a later incarnation of its
// worker executes under the same ID, never runs at the same time as the next run of its task.
//
// It guards against a run that is given up with its incarnation or lease, so that its task starts
// elsewhere while the late start runs.
func TestLateStart(t *testing.T) {
	tests := []struct {
		name string
		// answered is set if the start is sent again and answered, so that the run is known to have
		// been on the worker before the crash.
		answered bool
		// reachable is the time from the crash of the worker until it is reachable again.
		reachable time.Duration
		// inject injects another fault when the worker crashes.
		inject func(s *system, w int)
	}{
		{"the later incarnation is reached while the run is there", false, 9 * time.Second, nil},
		{"it is not reached until the run's lease is over", false, 25 * time.Second, nil},
		{"the start was sent twice", true, 9 * time.Second, nil},
		{"the agent is killed too", false, 9 * time.Second, func(s *system, w int) {
			go s.restart(s.agents[w], func() { s.startAgent(w) }, 300*time.Millisecond)
		}},
		{"the leader is killed too", false, 9 * time.Second, func(s *system, _ int) {
			s.killLeader(time.Second)
		}},
		{"the leader and the agent are killed too, and the worker crashes again", false,
			2900 * time.Millisecond, (*system).killLeaderAndAgent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithOptions(t, systemOptions{sameID: 1}, func(t *testing.T, s *system) {
				s.workers.SetWork(20 * time.Second)
				j := s.simpleJob(1, 20*time.Second)
				w := s.submitDelayed(j, 5*time.Second)
				if test.answered {
					time.Sleep(2 * time.Second)
				}
				s.worker[w].CrashProcess(100 * time.Millisecond)
				s.worker[w].SetUnreachable(true)
				if test.inject != nil {
					test.inject(s, w)
				}
				time.Sleep(test.reachable)
				s.worker[w].SetUnreachable(false)
				time.Sleep(60 * time.Second)
				if phase := s.phase(j.ID); phase != job.Completed {
					t.Errorf("the job is %v, want completed", phase)
				}
				if s.workers.StaleStarts > 0 {
					t.Errorf("%d late starts overlapped the next run", s.workers.StaleStarts)
				}
			})
		})
	}
}

// killLeaderAndAgent kills the leader and the agent of a worker, so that their successors have not
// seen the start that is in flight. By the time the late start arrives, the worker's next
// incarnation has seen their fence, so the worker crashes once more. Its zone is cordoned, so the
// next run is on another worker.
func (s *system) killLeaderAndAgent(w int) {
	s.cordon(zoneOf(w))
	s.killLeader(time.Second)
	go s.restart(s.agents[w], func() { s.startAgent(w) }, 2*time.Second)
	time.AfterFunc(3400*time.Millisecond, func() {
		s.worker[w].CrashProcess(100 * time.Millisecond)
		s.worker[w].SetUnreachable(true)
	})
	time.AfterFunc(10*time.Second, func() { s.worker[w].SetUnreachable(false) })
}

// submitDelayed submits a job with one task whose first start gets no response and is executed
// after a delay, and returns the index of the worker of that start.
func (s *system) submitDelayed(j *job.Job, delay time.Duration) (worker int) {
	s.t.Helper()
	each := func(delay time.Duration) (delayed int) {
		delayed = -1
		for i, w := range s.worker {
			if w.DelayStarts(delay) > 0 {
				delayed = i
			}
		}
		return delayed
	}
	each(delay)
	s.submit(j, j.Priority)
	for range 100 {
		if w := each(delay); w >= 0 {
			each(0)
			return w
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatal("no start was sent")
	return 0
}

// TestHoldEndsUnderNextLeader checks that a task that is held for a late start starts again as soon
// as that start can no longer arrive, even if the leader that held it is gone.
//
// It guards against a hold of 20 s: only the former leader had learned from the worker's list that
// the start was closed.
func TestHoldEndsUnderNextLeader(t *testing.T) {
	runWithOptions(t, systemOptions{sameID: 1}, func(t *testing.T, s *system) {
		s.workers.SetWork(time.Second)
		j := s.simpleJob(1, time.Second)
		w := s.submitDelayed(j, time.Hour)
		s.worker[w].CrashProcess(100 * time.Millisecond)
		s.restart(s.agents[w], func() { s.startAgent(w) }, 300*time.Millisecond)
		began := time.Now()
		time.Sleep(3 * time.Second)
		s.killLeader(time.Second)
		// Within 3 s the next leader hears from the agent, places the task, and the run ends.
		s.awaitCompleted(j.ID, time.Until(began.Add(assignment.MaxOrderDelay+3*time.Second)))
	})
}
