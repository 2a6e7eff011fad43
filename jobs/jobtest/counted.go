package jobtest

import (
	"context"
	"sync/atomic"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// CountedLog wraps a log and counts its reads.
type CountedLog struct {
	topic.Log
	// FullReads counts full reads, and Probes those that only check whether the log responds.
	FullReads, Probes atomic.Int64
}

// Read implements topic.Log.
func (l *CountedLog) Read(ctx context.Context, q topic.Query) (topic.Batch, error) {
	if q.Probe {
		l.Probes.Add(1)
	} else {
		l.FullReads.Add(1)
	}
	return l.Log.Read(ctx, q)
}

// Reads returns the total number of reads.
func (l *CountedLog) Reads() int64 { return l.FullReads.Load() + l.Probes.Load() }
