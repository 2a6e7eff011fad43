package jobtest_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestLateStart: a start that got no answer, and that a later incarnation of its worker carries out
// under the same ID, never runs beside the next run of its task.
//
// The run was given up with the former incarnation, or with its lease, and its task started
// elsewhere while the late start ran.
func TestLateStart(t *testing.T) {
	tests := []struct {
		name string
		// answered says that the start is sent again and answered, so that the run is known to have
		// been there before the worker crashes.
		answered bool
		// reachable is how long after its crash the worker is reached again.
		reachable time.Duration
		// strike fails something else when the worker crashes.
		strike func(s *system, w int)
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
		{"the leader and the agent are killed too, and the worker crashes again", false, 2900 * time.Millisecond, (*system).killAllWhoKnow},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withinShape(t, shape{sameID: 1}, func(t *testing.T, s *system) {
				s.workers.SetWork(20 * time.Second)
				j := s.simpleJob(1, 20*time.Second)
				w := s.submitDelayed(j, 5*time.Second)
				if test.answered {
					time.Sleep(2 * time.Second)
				}
				s.worker[w].CrashProcess(100 * time.Millisecond)
				s.worker[w].SetUnreachable(true)
				if test.strike != nil {
					test.strike(s, w)
				}
				time.Sleep(test.reachable)
				s.worker[w].SetUnreachable(false)
				time.Sleep(60 * time.Second)
				if phase := s.phase(j.ID); phase != job.Completed {
					t.Errorf("the job is %v, want completed", phase)
				}
				if s.workers.Strays > 0 {
					t.Errorf("%d late starts ran beside the next run", s.workers.Strays)
				}
			})
		})
	}
}

// killAllWhoKnow kills the leader and the agent of a worker, so that those who follow have not seen
// the start that is under way. The worker's next incarnation has seen their fence by the time that
// the late start comes, so it crashes once more; its zone is cordoned, so the next run is elsewhere.
func (s *system) killAllWhoKnow(w int) {
	s.cordon(zoneOf(w))
	s.killLeader(time.Second)
	go s.restart(s.agents[w], func() { s.startAgent(w) }, 2*time.Second)
	time.AfterFunc(3400*time.Millisecond, func() {
		s.worker[w].CrashProcess(100 * time.Millisecond)
		s.worker[w].SetUnreachable(true)
	})
	time.AfterFunc(10*time.Second, func() { s.worker[w].SetUnreachable(false) })
}

// submitDelayed submits a job of one task, of which the first start gets no answer and is carried
// out after a delay, and returns the worker of that start.
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

// TestHoldEndsUnderNextLeader: a task that waits for a late start starts again as soon as that can't
// come any more, also if the leader that has held it is gone.
//
// It waited for 20 s: that its worker's list had closed the start was heard by the former leader only.
func TestHoldEndsUnderNextLeader(t *testing.T) {
	withinShape(t, shape{sameID: 1}, func(t *testing.T, s *system) {
		s.workers.SetWork(time.Second)
		j := s.simpleJob(1, time.Second)
		w := s.submitDelayed(j, time.Hour)
		s.worker[w].CrashProcess(100 * time.Millisecond)
		s.restart(s.agents[w], func() { s.startAgent(w) }, 300*time.Millisecond)
		began := time.Now()
		time.Sleep(3 * time.Second)
		s.killLeader(time.Second)
		// The next leader hears the agent, places the task and the run ends within 3 s.
		s.completed(j.ID, time.Until(began.Add(assignment.MaxOrderDelay+3*time.Second)))
	})
}
