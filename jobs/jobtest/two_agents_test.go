package jobtest_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestTwoAgents simulates days on which the process of an agent overlaps with its successor for up
// to 20 s, while leaders are killed. It guards against a task that runs twice, or never again,
// because two live agents of one worker contradict each other.
func TestTwoAgents(t *testing.T) {
	simulateDays(t, systemOptions{sameID: 0.9}, func(s *system, seed uint64) {
		s.faultsUntil = time.Now().Add(overlapDuration + 7*time.Second)
		go s.overlapAgents(seed)
		go s.killLeaders(seed)
	})
}

// overlapDuration is the time for which processes overlap and leaders are killed on a day of
// TestTwoAgents or TestTwoEntries.
const overlapDuration = 25 * time.Second

// overlapAgents starts successors of agents while the former agents continue for a random time.
func (s *system) overlapAgents(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 13))
	for end := time.Now().Add(overlapDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		i := r.IntN(workerCount)
		former := s.agents[i].cancel
		s.startAgent(i)
		left := min(time.Duration(1+r.IntN(20))*time.Second, time.Until(end)+maxLastFault)
		time.AfterFunc(left, former)
	}
}

// killLeaders kills the leader at random times.
func (s *system) killLeaders(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 17))
	for end := time.Now().Add(overlapDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(3000+r.IntN(6000)) * time.Millisecond)
		s.killLeader(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

// TestTwoEntries simulates days on which the process of an entry overlaps with its successor for up
// to 20 s, while agents overlap with their successors too. It guards against two processes of one
// entry that both consider themselves the leader.
func TestTwoEntries(t *testing.T) {
	simulateFewDays(t, systemOptions{sameID: 0.9}, func(s *system, seed uint64) {
		s.faultsUntil = time.Now().Add(overlapDuration + 7*time.Second)
		go s.overlapAgents(seed)
		go s.overlapEntries(seed)
	})
}

// overlapEntries starts successors of entries while the former entries continue for a random time.
// The former entries are unreachable, as their address now leads to the successor.
func (s *system) overlapEntries(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 23))
	for end := time.Now().Add(overlapDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(1000+r.IntN(4000)) * time.Millisecond)
		i := r.IntN(entryCount)
		former := s.entries[i].cancel
		s.startEntry(i)
		left := min(time.Duration(1+r.IntN(20))*time.Second, time.Until(end)+maxLastFault)
		time.AfterFunc(left, former)
	}
}
