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
	// crashEvery is how many jobs there are for each whose task crashes workers.
	crashEvery = 6
	// crashWithin bounds how long after its start a task crashes its worker, shortAway and longAway are how long that is away: the
	// latter is longer than a lease.
	crashWithin = 700 * time.Millisecond
	shortAway   = 3 * time.Second
	longAway    = 8 * time.Second
	// shrunkPart is the part of its room that a worker keeps, shrinkPause the longest time between two changes.
	shrunkPart  = 4
	shrinkPause = 3 * time.Second
)

// troubles are what a day has in addition where it is troubled. They draw from a source of their own, so that a seed has the same jobs and faults with
// and without them.
type troubles struct {
	random  *rand.Rand
	cluster *cluster
	// jobs counts those that were drawn.
	jobs int
}

func newTroubles(c *cluster, seed uint64) *troubles {
	return &troubles{random: rand.New(rand.NewPCG(seed, 4)), cluster: c}
}

// infect lets a task of some jobs crash the workers that start it. A job must be infected before it is handed in.
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

// resize lets workers' rooms shrink and grow until ctx ends; then all have their whole room again. Every other worker does not guard its room.
func (ts *troubles) resize(ctx context.Context) {
	for i, w := range ts.cluster.workers {
		if i%2 == 0 {
			w.AllowOvercommit()
		}
	}
	small := job.Resources{CPU: room.CPU / shrunkPart, Memory: room.Memory / shrunkPart, Accelerators: room.Accelerators / shrunkPart}
	for ctx.Err() == nil {
		w := ts.cluster.workers[ts.random.IntN(len(ts.cluster.workers))]
		if w.SetCapacity(small); ts.random.IntN(2) == 0 {
			w.SetCapacity(room)
		}
		pause.For(ctx, time.Duration(ts.random.Int64N(int64(shrinkPause))))
	}
	for _, w := range ts.cluster.workers {
		w.SetCapacity(room)
	}
}
