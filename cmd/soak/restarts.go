package main

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
)

// Pace of a day on which workers restart under the IDs that they had.
const (
	// sameIDShare is the share of restarts under the ID of the incarnation before.
	sameIDShare = 0.9
	// restartPause is the longest time between two restarts, and mostAway the longest that a worker
	// is away.
	restartPause = 2 * time.Second
	mostAway     = 900 * time.Millisecond
	// seriesOf is how often a worker restarts in a series, and seriesGap the time between two of
	// these restarts.
	seriesOf  = 3
	seriesGap = 330 * time.Millisecond
	// lateFor is how long orders to a worker are late around a restart, and lateShare how many of
	// them are.
	lateFor   = 4 * time.Second
	lateShare = 0.3
)

// restarts restarts workers all the time. It draws from a source of its own, so that a seed has the
// same jobs and faults with and without it.
type restarts struct {
	random  *rand.Rand
	cluster *cluster
}

func newRestarts(c *cluster, seed uint64) *restarts {
	return &restarts{random: rand.New(rand.NewPCG(seed, 5)), cluster: c}
}

// run restarts one worker after the other until ctx ends: alone, in a series, with its rack, or
// while orders to it are late.
func (rs *restarts) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(rs.random.Int64N(int64(restartPause))))
		i := rs.random.IntN(len(rs.cluster.workers))
		w, away := rs.cluster.workers[i], time.Duration(rs.random.Int64N(int64(mostAway)))
		switch rs.random.IntN(4) {
		case 0:
			w.CrashProcess(away)
		case 1:
			for n := range seriesOf {
				time.AfterFunc(time.Duration(n)*seriesGap, func() { w.CrashProcess(seriesGap / 3) })
			}
		case 2:
			for n, other := range rs.cluster.workers {
				if n/rackSize == i/rackSize {
					other.CrashProcess(away)
				}
			}
		case 3:
			w.SetLate(lateShare)
			time.AfterFunc(lateFor/2, func() { w.CrashProcess(away) })
			time.AfterFunc(lateFor, func() { w.SetLate(0) })
		}
	}
}
