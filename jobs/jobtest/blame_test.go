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

// outside are causes of crashes that no task is to blame for. The last, a loss of power, happens at
// most once a day.
var outside = []struct {
	name   string
	strike func(s *system, r *rand.Rand)
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
	{"leaves", func(s *system, r *rand.Rand) { s.worker[r.IntN(workerCount)].Leave(2 * time.Second) }},
	{"cut", func(s *system, r *rand.Rand) {
		d := &disturbance{system: s, agent: r.IntN(workerCount), length: 9 * time.Second}
		d.cutAgent()
	}},
	{"power", func(s *system, _ *rand.Rand) { s.loseAll() }},
}

// blame is what became of the jobs of a day on which some tasks crash their workers, and workers
// crash for other reasons.
type blame struct {
	// sound and bad count the jobs of either kind, soundFailed and badFailed those of them that
	// failed.
	sound, soundFailed int
	bad, badFailed     int
	// crashes counts the workers that bad jobs crashed; starts, all runs.
	crashes, starts int
}

func (b *blame) add(other blame) {
	b.sound += other.sound
	b.soundFailed += other.soundFailed
	b.bad += other.bad
	b.badFailed += other.badFailed
	b.crashes += other.crashes
	b.starts += other.starts
}

// playBlame plays a day of two minutes.
func playBlame(t *testing.T, seed uint64, sh shape) (b blame) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSystem(ctx, t, seed, sh)
		s.workers.FailureShare = 0
		r := rand.New(rand.NewPCG(seed, 3))
		time.Sleep(3 * time.Second)
		var sound, bad []job.ID
		var culprits []job.TaskName
		causes := outside
		for n := range 30 {
			j := s.simpleJob(1+r.IntN(5), 2*time.Second)
			j.Steps[0].Gang = r.IntN(4) == 0
			if n%10 == 5 {
				culprit := job.TaskName{Job: j.ID, Index: r.IntN(j.Steps[0].Tasks)}
				after := time.Duration(r.IntN(3)*r.IntN(500)) * time.Millisecond
				away := time.Duration(2+r.IntN(2)*6) * time.Second
				s.workers.CrashOn(culprit, after, away)
				bad, culprits = append(bad, j.ID), append(culprits, culprit)
			} else {
				sound = append(sound, j.ID)
			}
			s.submit(j, r.IntN(2))
			if n%4 == 3 {
				cause := r.IntN(len(causes))
				if causes[cause].strike(s, r); cause == len(outside)-1 {
					causes = outside[:cause]
				}
			}
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		}
		time.Sleep(90 * time.Second)
		b.judge(s, sound, bad, culprits)
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

// judge adds what became of the jobs at the end of a day.
func (b *blame) judge(s *system, sound, bad []job.ID, culprits []job.TaskName) {
	for _, id := range sound {
		b.sound++
		phase := s.phase(id)
		if phase == job.Completed {
			continue
		}
		s.t.Logf("sound job %s is %v", id, phase)
		b.soundFailed++
		if phase == job.Failed && !s.workers.MayFail(id) {
			s.t.Errorf("LOST: job %s is given up without cause", id)
		}
	}
	for i, id := range bad {
		b.bad++
		b.crashes += s.workers.CrashesBy(culprits[i])
		if s.phase(id) == job.Failed {
			b.badFailed++
		}
	}
}

// mostSoundFailed bounds the share of sound jobs that fail because too many of their workers
// crashed.
const mostSoundFailed = 0.01

// TestBlame plays days on which some tasks crash their workers, while workers crash, drain and are
// cut off for other reasons. Each job with such a task must fail within the bound, and almost no
// sound job may. Replay a failing seed with -jobtest.seed=N -jobtest.blame=1.
func TestBlame(t *testing.T) { blameDays(t, shape{}) }

// TestBlameOfSameIDs plays such days with workers that mostly restart under the ID that they had.
func TestBlameOfSameIDs(t *testing.T) { blameDays(t, shape{sameID: sameIDShare}) }

func blameDays(t *testing.T, sh shape) {
	t.Helper()
	var sum blame
	for n := range *blameSeeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			b := playBlame(t, seed, sh)
			if b.badFailed != b.bad {
				t.Errorf("%d of %d jobs whose task crashes its workers are given up", b.badFailed, b.bad)
			}
			sum.add(b)
		})
	}
	if float64(sum.soundFailed) > mostSoundFailed*float64(sum.sound) {
		t.Errorf("%d of %d sound jobs are not completed", sum.soundFailed, sum.sound)
	}
	t.Logf("days %d, sound jobs %d, of these not completed %d, bad jobs %d, of these given up %d, "+
		"workers crashed by them %d, starts %d",
		*blameSeeds, sum.sound, sum.soundFailed, sum.bad, sum.badFailed, sum.crashes, sum.starts)
}
