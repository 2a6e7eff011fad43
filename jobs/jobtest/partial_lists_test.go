package jobtest_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// TestManyEndsInOutage checks that each task runs once although, while the store is unavailable,
// more runs end on a worker than it lists at a time, whichever processes are killed meanwhile.
//
// It guards against tasks that run twice because runs whose ends are not listed yet count as refused.
func TestManyEndsInOutage(t *testing.T) {
	const (
		outage     = 4500 * time.Millisecond
		killed     = 2500 * time.Millisecond
		listedEnds = 10
		tasks      = 150
	)
	tests := []struct {
		name string
		// inject injects another fault while ends wait.
		inject func(s *system)
	}{
		{"store down", func(*system) {}},
		{"the agents are killed", (*system).killAgents},
		{"the leader is killed", func(s *system) { s.killLeader(time.Second) }},
		{"the agents and the leader are killed", func(s *system) {
			s.killAgents()
			s.killLeader(time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Without start times, no task is held for an open start.
			opts := systemOptions{
				listedEnds:   listedEnds,
				noStartTimes: true,
				capacity:     job.Resources{CPU: 12_800, Memory: 262_144},
			}
			runWithOptions(t, opts, func(t *testing.T, s *system) {
				s.workers.SetWork(5 * time.Second)
				j := s.jobOfSmallTasks(tasks)
				s.submit(j, j.Priority)
				time.Sleep(3 * time.Second)
				// Operators' records remain available: without them, no start would be sent.
				s.log.SetFault("", jobtest.Fault{Refuse: true})
				time.Sleep(killed)
				test.inject(s)
				time.Sleep(outage - killed)
				s.heal()
				s.awaitCompleted(j.ID, 30*time.Second)
				time.Sleep(3 * time.Second)
				if phase := s.phase(j.ID); phase != job.Completed {
					t.Errorf("the job is %v, want completed", phase)
				}
				if s.workers.ListsOmittingEnds == 0 {
					t.Error("no list omitted ends: the test is inconclusive")
				}
				if n := s.workers.Starts; n != tasks {
					t.Errorf("%d runs started, want one of each of %d tasks", n, tasks)
				}
			})
		})
	}
}

// killAgents kills all agents and restarts them after 100 ms.
func (s *system) killAgents() {
	for i, a := range s.agents {
		go s.restart(a, func() { s.startAgent(i) }, 100*time.Millisecond)
	}
}

// maxListedEnds is the largest number of ends in a list on the days of TestSystemOfPartialLists.
const maxListedEnds = 4

// TestSystemOfPartialLists simulates random days on which workers list only a few ends at a time,
// their answers overtake one another or are lost, the store has outages, and agents and leaders are
// killed. It guards against conclusions from the absence of a run in a list that omits ends.
func TestSystemOfPartialLists(t *testing.T) {
	for _, seed := range consecutiveSeeds((*seeds + 2) / 3) {
		opts := systemOptions{sameID: sameIDShare, listedEnds: 1 + int((seed-1)%maxListedEnds)}
		simulateSeeds(t, []uint64{seed}, opts, func(s *system, seed uint64) {
			s.t.Cleanup(func() {
				if s.workers.ListsOmittingEnds == 0 {
					s.t.Error("no list omitted ends: the simulation is inconclusive")
				}
			})
			time.Sleep(3 * time.Second)
			r := rand.New(rand.NewPCG(seed, 29))
			for range 3 {
				s.submit(s.jobOfSmallTasks(40+r.IntN(40)), 1)
			}
			s.faultsUntil = time.Now().Add(provokedDuration + maxLastFault)
			s.killProcesses(seed)
			for _, w := range s.worker {
				w.SetAnswers(0.02, time.Duration(r.IntN(200))*time.Millisecond)
			}
			go s.failStoreRepeatedly(r)
		})
	}
}

// jobOfSmallTasks returns a job of small independent tasks.
func (s *system) jobOfSmallTasks(tasks int) *job.Job {
	j := s.simpleJob(tasks, 2*time.Second)
	j.Steps[0].Resources = job.Resources{CPU: 100, Memory: 100}
	return j
}

// failStoreRepeatedly makes the store of jobs unavailable for a few seconds at a time. Operators'
// records remain available, so that starts are sent.
func (s *system) failStoreRepeatedly(r *rand.Rand) {
	for end := time.Now().Add(provokedDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		s.log.SetFault("", jobtest.Fault{Refuse: true})
		time.Sleep(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		s.log.SetFault("", jobtest.Fault{})
	}
}
