package jobtest

import (
	"context"
	"sync/atomic"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// CountedLog counts the reads of a log.
type CountedLog struct {
	topic.Log
	// Whole counts full reads, Brief the probes that only find out whether the log answers.
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

// Reads returns the number of all reads.
func (l *CountedLog) Reads() int64 { return l.Whole.Load() + l.Brief.Load() }
