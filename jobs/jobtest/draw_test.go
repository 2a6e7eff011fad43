package jobtest_test

import (
	"fmt"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// drawJob returns a random job, as callers submit it, and its queue.
func (s *system) drawJob() (*job.Job, int) {
	s.number++
	queue := s.random.IntN(3)
	j := &job.Job{
		ID:          job.ID(fmt.Sprintf("%016x", s.number)),
		Spec:        fmt.Sprintf("spec %d", s.number),
		Service:     service,
		MaxAttempts: 4,
		Priority:    queue,
	}
	for n := range 1 + s.random.IntN(2) {
		step := job.Step{
			Tasks:      1 + s.random.IntN(5),
			Resources:  job.Resources{CPU: 2000, Memory: 4000, Accelerators: 1 + s.random.IntN(4)},
			Estimate:   2 * time.Second,
			Gang:       s.random.IntN(2) == 0,
			Checkpoint: s.random.IntN(2) == 0,
		}
		step.SameRack = step.Gang && s.random.IntN(2) == 0
		if !step.Gang && s.random.IntN(3) == 0 {
			step.MaxPerWorker = 1
		}
		if n > 0 {
			step.DependsOn = []int{0}
		}
		if s.random.IntN(4) == 0 {
			step.RequiredLabel = "a"
		}
		j.Steps = append(j.Steps, step)
	}
	switch s.random.IntN(8) {
	case 0:
		j.RoundCount, j.FirstRound, j.RoundInterval = 2, time.Now().Add(time.Second), 3*time.Second
	case 1:
		j.Steps = []job.Step{s.drawServing()}
		s.longRunning = append(s.longRunning, j)
	case 2:
		for i := range j.Steps {
			j.Steps[i].BestEffort, j.Steps[i].Gang, j.Steps[i].SameRack = true, false, false
		}
	}
	return j, queue
}

// drawServing returns a random step that serves users until it is cancelled.
func (s *system) drawServing() job.Step {
	return job.Step{
		Tasks:             1 + s.random.IntN(3),
		Resources:         job.Resources{CPU: 1000, Memory: 1000, Accelerators: s.random.IntN(2)},
		Estimate:          2 * time.Second,
		LongRunning:       true,
		Image:             "serve",
		LatencyTarget:     100 * time.Millisecond,
		HasMaxUnavailable: true,
		MaxUnavailable:    1,
	}
}
