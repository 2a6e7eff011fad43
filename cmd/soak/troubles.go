package main

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Pace of a troubled day.
const (
	// crashEvery is how many jobs there are for each one with a task that crashes workers.
	crashEvery = 6
	// crashWithin bounds the time from a task's start to the crash. The worker is away for
	// shortAway or for longAway, which is longer than a lease.
	crashWithin = 700 * time.Millisecond
	shortAway   = 3 * time.Second
	longAway    = 8 * time.Second
	// shrunkPart divides the capacity of a worker that shrinks. shrinkPause is the longest time
	// between two changes.
	shrunkPart  = 4
	shrinkPause = 3 * time.Second
)

// troubles are the additional faults of a troubled day. They draw from a source of their own, so
// that a seed has the same jobs and faults with and without them.
type troubles struct {
	random  *rand.Rand
	cluster *cluster
	// jobs counts the jobs drawn so far.
	jobs int
}

func newTroubles(c *cluster, seed uint64) *troubles {
	return &troubles{random: rand.New(rand.NewPCG(seed, 4)), cluster: c}
}

// infect lets a task of some jobs crash the workers that start it. It must be called before the job
// is submitted.
func (ts *troubles) infect(j *job.Job) {
	if ts.jobs++; ts.jobs%crashEvery != 0 {
		return
	}
	name := job.TaskName{Job: j.ID, Index: ts.random.IntN(j.Steps[0].Tasks)}
	after, away := time.Duration(ts.random.Int64N(int64(crashWithin))), shortAway
	if ts.random.IntN(2) == 0 {
		away = longAway
	}
	ts.cluster.platform.Workers.CrashOn(name, after, away)
}

// resize changes the capacity of workers until ctx ends, and then restores all. Every other worker
// overcommits.
func (ts *troubles) resize(ctx context.Context) {
	for i, w := range ts.cluster.workers {
		if i%2 == 0 {
			w.AllowOvercommit()
		}
	}
	small := job.Resources{
		CPU:          capacity.CPU / shrunkPart,
		Memory:       capacity.Memory / shrunkPart,
		Accelerators: capacity.Accelerators / shrunkPart,
	}
	for ctx.Err() == nil {
		w := ts.cluster.workers[ts.random.IntN(len(ts.cluster.workers))]
		if w.SetCapacity(small); ts.random.IntN(2) == 0 {
			w.SetCapacity(capacity)
		}
		pause.For(ctx, time.Duration(ts.random.Int64N(int64(shrinkPause))))
	}
	for _, w := range ts.cluster.workers {
		w.SetCapacity(capacity)
	}
}
