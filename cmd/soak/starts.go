package main

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
)

// Pace of a day on which workers start again under the ids that they had.
const (
	// sameIDShare is how many of their starts have the id of the one before.
	sameIDShare = 0.9
	// startPause is the longest time between two strikes, mostAway the longest that a worker is away.
	startPause = 2 * time.Second
	mostAway   = 900 * time.Millisecond
	// seriesOf is how often a worker starts within a second in a series, seriesGap the time between two of these.
	seriesOf  = 3
	seriesGap = 330 * time.Millisecond
	// lateFor is for how long orders to a worker are late around a start, lateShare how many of them.
	lateFor   = 4 * time.Second
	lateShare = 0.3
)

// starts lets workers start again all the time. It draws from a source of its own, so that a seed has the same jobs and faults with and without it.
type starts struct {
	random  *rand.Rand
	cluster *cluster
}

func newStarts(c *cluster, seed uint64) *starts {
	return &starts{random: rand.New(rand.NewPCG(seed, 5)), cluster: c}
}

// strike lets one worker after the other start again until ctx ends: by itself, in a series, with its rack, or while orders to it are late.
func (st *starts) strike(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(st.random.Int64N(int64(startPause))))
		i := st.random.IntN(len(st.cluster.workers))
		w, away := st.cluster.workers[i], time.Duration(st.random.Int64N(int64(mostAway)))
		switch st.random.IntN(4) {
		case 0:
			w.CrashProcess(away)
		case 1:
			for n := range seriesOf {
				time.AfterFunc(time.Duration(n)*seriesGap, func() { w.CrashProcess(seriesGap / 3) })
			}
		case 2:
			for n, other := range st.cluster.workers {
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
