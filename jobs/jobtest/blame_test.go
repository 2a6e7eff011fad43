package jobtest_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

var blameSeeds = flag.Int("jobtest.blame", 8, "number of seeds of TestBlame")

// externalCauses are causes of worker crashes that are unrelated to any task. The last one, a power
// loss, happens at most once per day.
var externalCauses = []struct {
	name   string
	inject func(s *system, r *rand.Rand)
}{
	{"one", func(s *system, r *rand.Rand) { s.worker[r.IntN(workerCount)].CrashProcess(3 * time.Second) }},
	{"rack", func(s *system, r *rand.Rand) {
		first := r.IntN(workerCount/rackSize) * rackSize
		for _, w := range s.worker[first : first+rackSize] {
			w.Crash(2 * time.Second)
		}
	}},
	{"flap", func(s *system, r *rand.Rand) {
		w := s.worker[r.IntN(workerCount)]
		for n := range 3 {
			time.AfterFunc(time.Duration(n)*2400*time.Millisecond, func() { w.CrashProcess(1200 * time.Millisecond) })
		}
	}},
	{"leaves", func(s *system, r *rand.Rand) { s.worker[r.IntN(workerCount)].Drain(2 * time.Second) }},
	{"cut", func(s *system, r *rand.Rand) {
		d := &disturbance{system: s, agent: r.IntN(workerCount), length: 9 * time.Second}
		d.cutAgent()
	}},
	{"power", func(s *system, _ *rand.Rand) { s.powerCycle() }},
}

// blameStats counts the outcomes of the jobs on a day on which some tasks crash their workers, and
// workers also crash for other reasons.
type blameStats struct {
	// healthy and crashing count the jobs without and with a task that crashes its workers;
	// healthyFailed and crashingFailed count those of them that failed.
	healthy, healthyFailed   int
	crashing, crashingFailed int
	// crashes counts the workers that were crashed by tasks; starts counts all runs.
	crashes, starts int
}

func (b *blameStats) add(other blameStats) {
	b.healthy += other.healthy
	b.healthyFailed += other.healthyFailed
	b.crashing += other.crashing
	b.crashingFailed += other.crashingFailed
	b.crashes += other.crashes
	b.starts += other.starts
}

// simulateBlame simulates a day of about two minutes.
func simulateBlame(t *testing.T, seed uint64, opts systemOptions) (b blameStats) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSystem(ctx, t, seed, opts)
		s.workers.FailureShare = 0
		r := rand.New(rand.NewPCG(seed, 3))
		time.Sleep(3 * time.Second)
		var healthy, crashing []job.ID
		var culprits []job.TaskName
		causes := externalCauses
		for n := range 30 {
			j := s.simpleJob(1+r.IntN(5), 2*time.Second)
			j.Steps[0].Gang = r.IntN(4) == 0
			if n%10 == 5 {
				culprit := job.TaskName{Job: j.ID, Index: r.IntN(j.Steps[0].Tasks)}
				after := time.Duration(r.IntN(3)*r.IntN(500)) * time.Millisecond
				away := time.Duration(2+r.IntN(2)*6) * time.Second
				s.workers.CrashOn(culprit, after, away)
				crashing, culprits = append(crashing, j.ID), append(culprits, culprit)
			} else {
				healthy = append(healthy, j.ID)
			}
			s.submit(j, r.IntN(2))
			if n%4 == 3 {
				cause := r.IntN(len(causes))
				if causes[cause].inject(s, r); cause == len(externalCauses)-1 {
					causes = externalCauses[:cause]
				}
			}
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		}
		time.Sleep(90 * time.Second)
		b.addDay(s, healthy, crashing, culprits)
		b.starts = s.workers.Starts
		for _, v := range s.workers.Report() {
			t.Error(v)
		}
		s.network.Heal()
		cancel()
		time.Sleep(30 * time.Second)
	})
	return b
}

// addDay adds the outcomes of the jobs at the end of a day.
func (b *blameStats) addDay(s *system, healthy, crashing []job.ID, culprits []job.TaskName) {
	for _, id := range healthy {
		b.healthy++
		phase := s.phase(id)
		if phase == job.Completed {
			continue
		}
		s.t.Logf("healthy job %s is %v", id, phase)
		b.healthyFailed++
		if phase == job.Failed && !s.workers.MayFail(id) {
			s.t.Errorf("LOST: job %s failed without cause", id)
		}
	}
	for i, id := range crashing {
		b.crashing++
		b.crashes += s.workers.CrashesBy(culprits[i])
		if s.phase(id) == job.Failed {
			b.crashingFailed++
		}
	}
}

// maxHealthyFailed is the largest allowed share of healthy jobs that fail because too many of their
// workers crashed.
const maxHealthyFailed = 0.01

// TestBlame simulates days on which some tasks crash their workers, while workers crash, drain and
// are partitioned for other reasons. Each job with such a task must fail within the bound on starts
// that the workers check (see checkCrashes), and almost no healthy job may fail. Replay a failing
// seed with -jobtest.seed=N -jobtest.blame=1.
func TestBlame(t *testing.T) { simulateBlameDays(t, systemOptions{}) }

// TestBlameOfSameIDs is TestBlame with workers that mostly restart under their previous ID.
func TestBlameOfSameIDs(t *testing.T) { simulateBlameDays(t, systemOptions{sameID: sameIDShare}) }

func simulateBlameDays(t *testing.T, opts systemOptions) {
	t.Helper()
	var sum blameStats
	for n := range *blameSeeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			b := simulateBlame(t, seed, opts)
			if b.crashingFailed != b.crashing {
				t.Errorf("%d of %d jobs with a task that crashes its workers failed, want all",
					b.crashingFailed, b.crashing)
			}
			sum.add(b)
		})
	}
	if float64(sum.healthyFailed) > maxHealthyFailed*float64(sum.healthy) {
		t.Errorf("%d of %d healthy jobs are not completed", sum.healthyFailed, sum.healthy)
	}
	t.Logf("days %d, healthy jobs %d, of these not completed %d, jobs that crash workers %d, of these failed %d, "+
		"workers crashed %d, starts %d",
		*blameSeeds, sum.healthy, sum.healthyFailed, sum.crashing, sum.crashingFailed, sum.crashes, sum.starts)
}
