package main

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
)

// Timing of worker restarts under --same-ids.
const (
	// sameIDShare is the share of restarts that keep the ID of the previous incarnation.
	sameIDShare = 0.9
	// maxRestartPause is the longest time between two restarts, and maxWorkerDowntime the longest
	// downtime of a worker.
	maxRestartPause   = 2 * time.Second
	maxWorkerDowntime = 900 * time.Millisecond
	// seriesLength is the number of restarts of a worker in a series, and seriesInterval the time
	// between them.
	seriesLength   = 3
	seriesInterval = 330 * time.Millisecond
	// lateOrdersTime is how long orders to a worker are delayed around a restart, and
	// lateOrderShare the share of orders that are delayed.
	lateOrdersTime = 4 * time.Second
	lateOrderShare = 0.3
)

// restarter restarts workers continuously. It has its own random source, so that a seed generates
// the same jobs and faults with and without it.
type restarter struct {
	random  *rand.Rand
	cluster *cluster
}

func newRestarter(c *cluster, seed uint64) *restarter {
	return &restarter{random: rand.New(rand.NewPCG(seed, 5)), cluster: c}
}

// run restarts one worker after another until ctx ends: alone, in a series, together with its rack,
// or while orders to it are delayed.
func (r *restarter) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(r.random.Int64N(int64(maxRestartPause))))
		i := r.random.IntN(len(r.cluster.workers))
		w, downtime := r.cluster.workers[i], time.Duration(r.random.Int64N(int64(maxWorkerDowntime)))
		switch r.random.IntN(4) {
		case 0:
			w.CrashProcess(downtime)
		case 1:
			for n := range seriesLength {
				time.AfterFunc(time.Duration(n)*seriesInterval, func() { w.CrashProcess(seriesInterval / 3) })
			}
		case 2:
			for n, other := range r.cluster.workers {
				if n/rackSize == i/rackSize {
					other.CrashProcess(downtime)
				}
			}
		case 3:
			w.SetLate(lateOrderShare)
			time.AfterFunc(lateOrdersTime/2, func() { w.CrashProcess(downtime) })
			time.AfterFunc(lateOrdersTime, func() { w.SetLate(0) })
		}
	}
}
