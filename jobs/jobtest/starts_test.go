package jobtest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestEndsAfterANewStart: what ends on a worker that has started again under the id that it had is read, however much had been read of its
// former start.
//
// Users saw a task that must run once start again 1 s after it was done, and another one start for the fourth time after three failed
// runs. The order of events: some ends of a worker are read; it crashes, and is back half a second later under its id; its next run ends; the
// agent logs no end; "start refused, over"; the next run. The cause: a life of a worker was told by its id alone, so the number up to which its
// ends had been read stayed as it was, and ends with lower numbers were passed over, or forgotten by the worker on the agent's word. The
// evidence: two ends had been read before the crash, and the end that was missed was the first after it; on another worker six, and when its
// agent was started anew, and so knew of none, it listed five ends that had been missed.
func TestEndsAfterANewStart(t *testing.T) {
	tests := []struct {
		name  string
		fails bool
		// strike ends the former start of every worker.
		strike func(s *system)
	}{
		{name: "done", strike: crashAll},
		{name: "failed", fails: true, strike: crashAll},
		{name: "done, three starts within a second", strike: func(s *system) {
			for range 3 {
				crashAll(s)
				time.Sleep(330 * time.Millisecond)
			}
		}},
		{name: "done, the leader is killed too", strike: func(s *system) {
			crashAll(s)
			for i, e := range s.entries {
				if e == s.leader() {
					s.restart(e, func() { s.startEntry(i) }, time.Second)
				}
			}
		}},
		{name: "failed, the agents are killed too", fails: true, strike: func(s *system) {
			crashAll(s)
			for i, a := range s.agents {
				s.restart(a, func() { s.startAgent(i) }, 100*time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withinShape(t, shape{sameID: 1}, func(t *testing.T, s *system) {
				before := s.simpleJob(4*workerCount, time.Second)
				s.submit(before, 1)
				s.completed(before.ID, 20*time.Second)
				time.Sleep(time.Second)
				test.strike(s)
				time.Sleep(3 * time.Second)
				if test.fails {
					s.workers.FailureShare = 1
				}
				started := s.workers.Starts
				after := s.simpleJob(workerCount, time.Second)
				s.submit(after, 1)
				time.Sleep(20 * time.Second)
				want, runs := job.Completed, workerCount
				if test.fails {
					want = job.Failed
				}
				if phase := s.phase(after.ID); phase != want {
					t.Errorf("the job is %v, want %v", phase, want)
				}
				if n := s.workers.Starts - started; !test.fails && n != runs {
					t.Errorf("%d runs started, want %d", n, runs)
				}
			})
		})
	}
}

// crashAll crashes all workers; their machines are well, and they are back after half a second.
func crashAll(s *system) {
	for _, w := range s.worker {
		w.CrashProcess(500 * time.Millisecond)
	}
}

// TestSystemOfSameIDs plays drawn days as TestSystem does, with workers most of which start again under the id that they had.
func TestSystemOfSameIDs(t *testing.T) {
	playDrawn(t, shape{sameID: sameIDShare}, func(*system, uint64) {})
}

// TestSystemOfManyStarts plays drawn days on which workers start again under their id all the time: while orders to them are late, behind cuts, several times
// within a second, by the rack, and together with their agents and the leader.
func TestSystemOfManyStarts(t *testing.T) {
	playDrawn(t, shape{sameID: 0.9}, func(s *system, seed uint64) {
		striking, calm := context.WithCancel(s.ctx)
		go s.strikeStarts(striking, rand.New(rand.NewPCG(seed, 4)))
		time.AfterFunc(20*time.Second, calm)
	})
}

// playDrawn plays drawn days with systems of a shape. Begin is called as each begins.
func playDrawn(t *testing.T, sh shape, begin func(s *system, seed uint64)) {
	t.Helper()
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newSystem(ctx, t, seed, sh)
				begin(s, seed)
				s.play()
				s.check()
				t.Logf("%d starts, %d of them strays", s.workers.Starts, s.workers.Strays)
				cancel()
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// strikeStarts lets workers start again in drawn ways until ctx ends.
func (s *system) strikeStarts(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		i := r.IntN(workerCount)
		w, back := s.worker[i], time.Duration(20+r.IntN(900))*time.Millisecond
		switch r.IntN(6) {
		case 0:
			w.CrashProcess(back)
		case 1:
			w.SetLate(0.4)
			time.AfterFunc(time.Duration(r.IntN(3000))*time.Millisecond, func() { w.CrashProcess(back) })
			time.AfterFunc(4*time.Second, func() { w.SetLate(0) })
		case 2:
			for n := range 3 {
				time.AfterFunc(time.Duration(n)*330*time.Millisecond, func() { w.CrashProcess(100 * time.Millisecond) })
			}
		case 3:
			first := i / rackSize * rackSize
			for _, w := range s.worker[first : first+rackSize] {
				w.CrashProcess(back)
			}
		case 4:
			w.CrashProcess(back)
			go s.restart(s.agents[i], func() { s.startAgent(i) }, back)
		case 5:
			w.SetUnreachable(true)
			time.AfterFunc(back, func() { w.CrashProcess(back) })
			time.AfterFunc(5*time.Second, func() { w.SetUnreachable(false) })
		}
	}
}

// sameIDShare is how many workers start again under the id that they had on drawn days: the others tell whether both kinds of start go together.
const sameIDShare = 0.75
