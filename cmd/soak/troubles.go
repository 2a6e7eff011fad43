package main

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Timing and size of the faults of --troubled.
const (
	// jobsPerCrash is the number of jobs for each job with a task that crashes workers.
	jobsPerCrash = 6
	// maxCrashDelay is the longest time from a task's start to the crash. The worker is down for
	// shortDowntime or for longDowntime, which is longer than a lease.
	maxCrashDelay = 700 * time.Millisecond
	shortDowntime = 3 * time.Second
	longDowntime  = 8 * time.Second
	// shrinkFactor divides the capacity of a worker that shrinks. maxResizePause is the longest
	// time between two changes.
	shrinkFactor   = 4
	maxResizePause = 3 * time.Second
)

// extraFaults are the additional faults of --troubled. They have their own random source, so that a
// seed generates the same jobs and faults with and without them.
type extraFaults struct {
	random  *rand.Rand
	cluster *cluster
	// jobs counts the jobs generated so far.
	jobs int
}

func newExtraFaults(c *cluster, seed uint64) *extraFaults {
	return &extraFaults{random: rand.New(rand.NewPCG(seed, 4)), cluster: c}
}

// addCrashingTask makes a task of some jobs crash each worker that starts it. It must be called
// before the job is submitted.
func (ef *extraFaults) addCrashingTask(j *job.Job) {
	if ef.jobs++; ef.jobs%jobsPerCrash != 0 {
		return
	}
	name := job.TaskName{Job: j.ID, Index: ef.random.IntN(j.Steps[0].Tasks)}
	after, downtime := time.Duration(ef.random.Int64N(int64(maxCrashDelay))), shortDowntime
	if ef.random.IntN(2) == 0 {
		downtime = longDowntime
	}
	ef.cluster.platform.Workers.CrashOn(name, after, downtime)
}

// resizeWorkers changes the capacity of workers until ctx ends, and then restores the capacity of
// all workers. Every other worker overcommits.
func (ef *extraFaults) resizeWorkers(ctx context.Context) {
	for i, w := range ef.cluster.workers {
		if i%2 == 0 {
			w.AllowOvercommit()
		}
	}
	small := job.Resources{
		CPU:          capacity.CPU / shrinkFactor,
		Memory:       capacity.Memory / shrinkFactor,
		Accelerators: capacity.Accelerators / shrinkFactor,
	}
	for ctx.Err() == nil {
		w := ef.cluster.workers[ef.random.IntN(len(ef.cluster.workers))]
		if w.SetCapacity(small); ef.random.IntN(2) == 0 {
			w.SetCapacity(capacity)
		}
		pause.For(ctx, time.Duration(ef.random.Int64N(int64(maxResizePause))))
	}
	for _, w := range ef.cluster.workers {
		w.SetCapacity(capacity)
	}
}
