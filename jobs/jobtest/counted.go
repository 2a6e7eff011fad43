package jobtest

import (
	"context"
	"sync/atomic"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// CountedLog counts the reads of a log.
type CountedLog struct {
	topic.Log
	// Whole counts those that bring all there is, Brief those that find out whether the log answers.
	Whole, Brief atomic.Int64
}

// Read implements topic.Log.
func (l *CountedLog) Read(ctx context.Context, q topic.Query) (topic.Batch, error) {
	if q.Probe {
		l.Brief.Add(1)
	} else {
		l.Whole.Add(1)
	}
	return l.Log.Read(ctx, q)
}

// Reads is how many reads there were.
func (l *CountedLog) Reads() int64 { return l.Whole.Load() + l.Brief.Load() }
