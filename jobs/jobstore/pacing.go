package jobstore

import (
	"context"
	"time"
)

// Intervals of reads. If every entry read each record as it arrives, the number of reads would be
// the number of entries times that of records. Entries therefore read at intervals that grow with
// their number, and one read returns all records of an interval.
const (
	// readWait is how long a read waits for records.
	readWait = 300 * time.Millisecond
	// readIntervalPerReader is the interval between two reads per entry that reads the topic.
	readIntervalPerReader = 7 * time.Millisecond
	// maxStandbyInterval bounds the interval of standbys. It has to be well below the timeout after
	// which they claim leadership, so that they see the leader's heartbeats in time.
	maxStandbyInterval = 400 * time.Millisecond
	// maxOtherInterval bounds the interval of the other entries. It has to be shorter than
	// maxSyncAge by more than the log's response time, so that these entries always accept callers'
	// records.
	maxOtherInterval = 800 * time.Millisecond
	// refreshAge is the maximum time since an entry was last in sync at which it answers a query
	// without reading first.
	refreshAge = 50 * time.Millisecond
)

// minReadInterval returns the shortest time between two reads. The leader needs each record at
// once. A slow log adds its response time to the age of what was read, so the longer interval
// applies only to a fast log.
func (r *Replica) minReadInterval() time.Duration {
	if r.leading.Load() {
		return 0
	}
	longest := maxStandbyInterval
	if !r.isStandby() && r.tail.Latency().Fast() {
		longest = maxOtherInterval
	}
	return min(time.Duration(r.readers())*readIntervalPerReader, longest)
}

// waitForRecords returns how long a read waits for records. While a forecast is in force,
// submissions are refused, and each refusal needs a refresh within shedRefreshTimeout of package
// admission. A read under way that waits for records would delay the refresh by up to readWait, so
// reads at intervals don't wait then: they start once per interval. Readers with short intervals
// need no refresh.
func (r *Replica) waitForRecords() time.Duration {
	if r.minReadInterval() <= refreshAge {
		return readWait
	}
	if _, ok := r.Forecast(); ok {
		return 0
	}
	return readWait
}

// probeReaders returns how many processes share the probes of a log that doesn't respond. The
// leader probes as if it were the only one: no job starts until the log is back.
func (r *Replica) probeReaders() int {
	if r.leading.Load() {
		return 1
	}
	return r.readers()
}

// SetLeading sets whether this process is the leader, which reads each record as it arrives.
func (r *Replica) SetLeading(leading bool) {
	r.leading.Store(leading)
	r.tail.ReadNow()
}

// Leading reports whether this process leads.
func (r *Replica) Leading() bool { return r.leading.Load() }

// ReadNow makes the next read start at once.
func (r *Replica) ReadNow() { r.tail.ReadNow() }

// Refresh reads the records that there are, unless the replica was in sync a moment ago or reads
// continuously anyway. It returns early if ctx ends.
func (r *Replica) Refresh(ctx context.Context) {
	asked := time.Now()
	for ctx.Err() == nil {
		r.mu.Lock()
		syncedAt, updated := r.sync.lastTime(), r.updated.Next()
		r.mu.Unlock()
		if r.minReadInterval() <= refreshAge || asked.Sub(syncedAt) < refreshAge {
			return
		}
		r.tail.ReadNow()
		select {
		case <-updated:
		case <-ctx.Done():
		}
	}
}
