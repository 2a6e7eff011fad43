package jobtest_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/admission"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// play submits jobs under faults for a while, ends all faults, and waits until all jobs should have
// ended.
func (s *system) play() {
	time.Sleep(3 * time.Second)
	for range 25 {
		j, queue := s.drawJob()
		s.submit(j, queue)
		if s.random.IntN(10) == 0 {
			s.cancel(j.ID, queue)
		}
		if s.random.IntN(2) == 0 {
			s.disturb()
		}
		time.Sleep(time.Duration(s.random.IntN(1200)) * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	time.Sleep(time.Until(s.faultsUntil))
	s.heal()
	for _, w := range s.worker {
		w.Heal()
	}
	time.Sleep(20 * time.Second)
	s.endLasting()
	time.Sleep(70 * time.Second)
}

// endLasting checks that all long-running jobs run after the faults, and cancels them.
func (s *system) endLasting() {
	for _, j := range s.lasting {
		if s.cancelled[j.ID] || !s.accepted[j.ID] || s.mayBeGivenUp(j.ID) {
			continue
		}
		if got, want := s.workers.Running(j.ID), j.Steps[0].Tasks; got != want {
			s.t.Errorf("LOST: %d of %d tasks of lasting job %s are at work 20 s after all faults", got, want, j.ID)
		}
	}
	for _, j := range s.lasting {
		s.cancel(j.ID, j.Priority)
	}
}

// mayBeGivenUp reports whether a job has failed and may have: while workers crash all the time, a
// sound task can be on so many of them that it is suspected.
func (s *system) mayBeGivenUp(id job.ID) bool {
	return s.phase(id) == job.Failed && s.workers.MayFail(id)
}

// check compares what callers were told with what the workers saw.
func (s *system) check() {
	t := s.t
	for _, b := range s.workers.Report() {
		t.Error(b)
	}
	for id := range s.refused {
		if s.refused[id] && s.workers.EverRan(id) {
			t.Errorf("REFUSED: %s ran, but every try to hand it in was refused", id)
		}
	}
	for id := range s.accepted {
		for _, e := range s.entries {
			a := admission.Call{Job: id}
			phase, err := e.admission.Phase(s.ctx, a)
			switch {
			case err != nil:
				t.Errorf("LOST: %s says of accepted job %s: %v", e.name, id, err)
			case phase == job.Completed && !s.workers.AllDone(id):
				t.Errorf("MIXED: job %s is completed but not all of its tasks ended so", id)
			case phase == job.Failed, phase == job.Cancelled && s.cancelled[id], phase == job.Completed:
			default:
				t.Errorf("LOST: %s says that job %s is %v long after all faults", e.name, id, phase)
			}
			if phase.Final() && s.workers.AnyRun(id) {
				t.Errorf("MIXED: job %s is %v and still runs", id, phase)
			}
		}
	}
}

// TestSystem plays drawn days of jobs and faults against the real entries and agents, and checks
// the rules that workers and callers can see. Replay a failing seed with -jobtest.seed=N
// -jobtest.seeds=1.
func TestSystem(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				// Every other day reads are paced as with many entries, and every third one workers
				// don't report when they started.
				s := newSystem(ctx, t, seed, shape{readers: entryCount + int(seed%2)*50, unborn: seed%3 == 0})
				s.play()
				s.check()
				if len(s.accepted) < 5 || s.workers.Starts < 20 {
					t.Errorf("only %d jobs were accepted and %d runs started: the day proves nothing",
						len(s.accepted), s.workers.Starts)
				}
				cancel()
				time.Sleep(30 * time.Second)
			})
		})
	}
}
