package jobtest_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// regressionSeeds are days on which a healthy job was given up after one crash.
var regressionSeeds = []uint64{6053, 6086, 6098}

// TestProvokedStarts simulates days like TestSystemOfManyStarts, on which workers execute orders
// late and meanwhile crash and are unreachable. It guards against a task that runs twice at once
// because a later incarnation of its worker executes a start.
func TestProvokedStarts(t *testing.T) {
	simulateDays(t, systemOptions{sameID: 0.9}, provoke)
}

// TestProvokedKeptSeeds guards against a healthy job that is given up after one crash because
// starts that were never sent counted as crashes too.
func TestProvokedKeptSeeds(t *testing.T) {
	simulateSeeds(t, regressionSeeds, systemOptions{sameID: 0.9}, provoke)
}

// TestProvokedAgents simulates such days with agents and leaders that are killed. It guards against
// the same faults when the processes that know of a start are gone.
func TestProvokedAgents(t *testing.T) {
	simulateDays(t, systemOptions{sameID: 0.9}, func(s *system, seed uint64) {
		provoke(s, seed)
		s.killProcesses(seed)
	})
}

// TestProvokedSuccessors simulates days on which the agent of a worker and the leader are replaced
// while a start of theirs is late, and the worker crashes again. It guards against a task that runs
// twice because no remaining process knows of the start.
func TestProvokedSuccessors(t *testing.T) {
	simulateFewDays(t, systemOptions{sameID: 0.9}, func(s *system, seed uint64) {
		s.faultsUntil = time.Now().Add(provokedDuration + 2*maxLastFault)
		go s.replaceAgentsAndLeaders(rand.New(rand.NewPCG(seed, 19)))
	})
}

// replaceAgentsAndLeaders delays starts on a random worker, crashes it, and kills its agent and
// sometimes the leader. Once their successors have been heard, it crashes the worker again.
func (s *system) replaceAgentsAndLeaders(r *rand.Rand) {
	for end := time.Now().Add(provokedDuration); time.Now().Before(end); {
		i := r.IntN(workerCount)
		w := s.worker[i]
		w.SetLate(0.6)
		time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
		w.CrashProcess(time.Duration(20+r.IntN(300)) * time.Millisecond)
		go s.restart(s.agents[i], func() { s.startAgent(i) }, time.Duration(50+r.IntN(2000))*time.Millisecond)
		if r.IntN(2) == 0 {
			s.killLeader(time.Duration(r.IntN(1500)) * time.Millisecond)
		}
		w.SetLate(0)
		again := time.Duration(1000+r.IntN(3000)) * time.Millisecond
		time.AfterFunc(again, func() { w.CrashProcess(100 * time.Millisecond) })
		if r.IntN(2) == 0 {
			time.AfterFunc(again, func() { w.SetUnreachable(true) })
			time.AfterFunc(again+time.Duration(1+r.IntN(5))*time.Second, func() { w.SetUnreachable(false) })
		}
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

const (
	// provokedDuration is the time for which workers and processes are disturbed on a provoked day.
	provokedDuration = 25 * time.Second
	// maxLastFault is the longest time that the last disturbance lasts.
	maxLastFault = 3 * time.Second
)

// provoke disturbs one random worker after another: most orders to it are late, its process
// crashes, and in half of the cases it then becomes unreachable.
func provoke(s *system, seed uint64) {
	s.faultsUntil = time.Now().Add(provokedDuration + maxLastFault)
	restarting, stop := context.WithCancel(s.ctx)
	go s.restartWorkers(restarting, rand.New(rand.NewPCG(seed, 4)))
	r := rand.New(rand.NewPCG(seed, 9))
	go func() {
		for restarting.Err() == nil {
			w := s.worker[r.IntN(workerCount)]
			w.SetLate(0.6)
			time.Sleep(time.Duration(500+r.IntN(1500)) * time.Millisecond)
			w.CrashProcess(time.Duration(20+r.IntN(300)) * time.Millisecond)
			if r.IntN(2) == 0 {
				w.SetUnreachable(true)
				time.AfterFunc(time.Duration(1+r.IntN(12))*time.Second, func() { w.SetUnreachable(false) })
			}
			time.AfterFunc(2*time.Second, func() { w.SetLate(0) })
		}
	}()
	time.AfterFunc(provokedDuration, stop)
}

// killProcesses restarts agents at random, and occasionally the leader.
func (s *system) killProcesses(seed uint64) {
	ctx, stop := context.WithCancel(s.ctx)
	r := rand.New(rand.NewPCG(seed, 11))
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
			if r.IntN(4) == 0 {
				s.killLeader(time.Duration(r.IntN(1500)) * time.Millisecond)
				time.Sleep(2 * time.Second)
				continue
			}
			i := r.IntN(workerCount)
			s.restart(s.agents[i], func() { s.startAgent(i) }, time.Duration(50+r.IntN(900))*time.Millisecond)
		}
	}()
	time.AfterFunc(provokedDuration, stop)
}
