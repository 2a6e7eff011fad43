package jobtest_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestTwoAgents plays days on which an agent's process lives on beside its successor for up to
// 20 s, while leaders are killed. It guards against a task that runs twice, or never again, since
// two live agents of one worker contradict each other.
func TestTwoAgents(t *testing.T) {
	playDrawn(t, shape{sameID: 0.9}, func(s *system, seed uint64) {
		s.faultsUntil = time.Now().Add(twoAgentsFor + 7*time.Second)
		go s.overlapAgents(seed)
		go s.killLeaders(seed)
	})
}

// twoAgentsFor is how long agents overlap and leaders are killed on a day of TestTwoAgents.
const twoAgentsFor = 25 * time.Second

// overlapAgents starts successors of agents that live on beside them for a drawn time.
func (s *system) overlapAgents(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 13))
	for end := time.Now().Add(twoAgentsFor); time.Now().Before(end); {
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		i := r.IntN(workerCount)
		former := s.agents[i].cancel
		s.startAgent(i)
		left := min(time.Duration(1+r.IntN(20))*time.Second, time.Until(end)+lastFault)
		time.AfterFunc(left, former)
	}
}

// killLeaders kills the leader at drawn moments.
func (s *system) killLeaders(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 17))
	for end := time.Now().Add(twoAgentsFor); time.Now().Before(end); {
		time.Sleep(time.Duration(3000+r.IntN(6000)) * time.Millisecond)
		s.killLeader(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

// TestTwoEntries plays days on which an entry's process lives on beside its successor for up to 20 s,
// with agents that do so too. It guards against two processes of one entry that both take it that
// they lead.
func TestTwoEntries(t *testing.T) {
	playFew(t, shape{sameID: 0.9}, func(s *system, seed uint64) {
		s.faultsUntil = time.Now().Add(twoAgentsFor + 7*time.Second)
		go s.overlapAgents(seed)
		go s.overlapEntries(seed)
	})
}

// overlapEntries starts successors of entries that live on beside them for a drawn time, unreachable
// at the address that their successor has now.
func (s *system) overlapEntries(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 23))
	for end := time.Now().Add(twoAgentsFor); time.Now().Before(end); {
		time.Sleep(time.Duration(1000+r.IntN(4000)) * time.Millisecond)
		i := r.IntN(entryCount)
		former := s.entries[i].cancel
		s.startEntry(i)
		left := min(time.Duration(1+r.IntN(20))*time.Second, time.Until(end)+lastFault)
		time.AfterFunc(left, former)
	}
}
