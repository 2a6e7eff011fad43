// Package jobstore stores jobs in one keyed topic of the log: submissions, cancellations, the
// progress of each job, the current leader, and its forecast of the backlog.
//
// A Replica follows the topic and holds the newest record of each key. It reports when it was last
// in sync, and its users decide whether that is recent enough. A Writer stores callers' records,
// through other entries if this one can't reach the log. Every entry writes submissions and
// cancellations. Only the leader writes progress: its appends carry its term, by which the log
// fences off a former leader.
//
// The package defines the keys and the intervals of reads. Values are encoded by package job, and
// reads and their retries are made by package topic.
//
// # Usage
//
//	r := jobstore.NewReplica(log, entries, logger)
//	go r.Run(ctx)
//	<-r.Changed()
//	phase, found := r.Phase(id)
package jobstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/broadcast"
	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Replica holds the newest record of each key. Its methods may be called from any goroutine.
type Replica struct {
	tail   *topic.Tail
	logger zerolog.Logger
	// readers returns how many entries read the topic, isStandby whether this one is a standby.
	readers   func() int
	isStandby func() bool
	leading   atomic.Bool

	mu     sync.Mutex
	jobs   table
	sync   syncState
	leader directory.Leader
	// forecast is the newest forecast of the backlog.
	forecast forecastState
	// leaderSeenAt is when the last record of the leader arrived, by this process's clock.
	leaderSeenAt time.Time
	// next is the offset up to which all records have been read.
	next int64
	// changed signals any record, jobsChanged changed jobs or a new leader, and updated every read.
	changed     broadcast.Signal
	jobsChanged broadcast.Signal
	updated     broadcast.Signal
}

// NewReplica returns an empty replica. The function readers returns how many entries read the
// topic.
func NewReplica(log topic.Log, readers func() int, logger zerolog.Logger) *Replica {
	r := &Replica{
		tail:      topic.NewTail(log, "jobs", readWait, logger),
		logger:    logger,
		readers:   readers,
		isStandby: func() bool { return true },
		jobs:      newTable(),
		forecast:  noForecast,
	}
	r.tail.WithMinInterval(r.minReadInterval).WithWait(r.waitForRecords).WithReaders(r.probeReaders)
	return r
}

// WithSuspension sets the clock that measures suspensions of the box.
func (r *Replica) WithSuspension(clock suspend.Clock) *Replica {
	r.sync.clock = clock
	r.tail.WithSuspension(clock)
	return r
}

// WithStandby sets the function that reports whether this process is a standby. By default it is.
func (r *Replica) WithStandby(isStandby func() bool) *Replica {
	r.isStandby = isStandby
	return r
}

// Rejected reports whether the log rejects this process.
func (r *Replica) Rejected() bool { return r.tail.Rejected() }

// Latency returns the estimate of the log's response time.
func (r *Replica) Latency() *hedge.Latency { return r.tail.Latency() }

// Run follows the topic until ctx ends.
func (r *Replica) Run(ctx context.Context) { r.tail.Run(ctx, r.apply) }

func (r *Replica) apply(u topic.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.leader
	if u.Snapshot {
		r.jobs.clear()
		r.forecast = noForecast
	}
	for _, s := range u.Records {
		r.applyRecord(s, u.Snapshot)
	}
	if u.Snapshot {
		// The records of a snapshot may be old, so they don't show that the leader is alive.
		r.leaderSeenAt = time.Time{}
	}
	r.next = u.Next
	r.updated.Notify()
	firstSync := r.sync.at.IsZero() && !u.SyncedAt.IsZero()
	if !u.SyncedAt.IsZero() {
		r.sync.markSynced(u.SyncedAt)
	}
	if firstSync || u.Snapshot || len(u.Records) > 0 {
		r.notify(before)
	}
}

// ApplyLocal applies records that this process has appended, before a read returns them. The first
// of them has the given offset.
func (r *Replica) ApplyLocal(records []topic.Record, first int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.leader
	for i, record := range records {
		r.applyRecord(topic.StoredRecord{Record: record, Offset: first + int64(i)}, false)
	}
	r.notify(before)
}

// notify signals a change, given the leader before it. The lock must be held.
func (r *Replica) notify(before directory.Leader) {
	r.changed.Notify()
	if len(r.jobs.changed) > 0 || r.leader != before {
		r.jobsChanged.Notify()
	}
}

// applyRecord applies one record, which may belong to a snapshot. The lock must be held.
func (r *Replica) applyRecord(s topic.StoredRecord, snapshot bool) {
	switch s.Key {
	case directory.LeaderKey:
		r.applyLeader(s)
		return
	case forecastKey:
		r.applyForecast(s, snapshot)
		return
	}
	progressed, err := r.jobs.apply(s)
	if err != nil {
		r.logger.Error().Str("step", "jobstore.read").Str("key", s.Key).Err(err).Msg("job is unreadable")
	}
	if progressed {
		r.leaderSeenAt = time.Now()
	}
}

// applyLeader sets the leader, unless a later term has begun. The lock must be held.
func (r *Replica) applyLeader(s topic.StoredRecord) {
	leader, err := directory.DecodeLeader(s.Value)
	if err != nil {
		r.logger.Error().Str("step", "jobstore.read").Int64("offset", s.Offset).Err(err).Msg("leader is unreadable")
		return
	}
	if leader.Term >= r.leader.Term {
		r.leader, r.leaderSeenAt = leader, time.Now()
	}
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed.Next()
}

// JobsChanged returns a channel that is closed once TakeChanged has jobs to return or the leader
// changes. Progress doesn't count, because the leader writes it itself.
func (r *Replica) JobsChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobsChanged.Next()
}

// SyncedAt returns when the replica was last in sync with the end of the topic: the time at which
// the read was sent, or zero if no read has reached the end. The time since then includes
// suspensions of the box.
func (r *Replica) SyncedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sync.lastTime()
}

// SyncedFor returns how long the replica has been in sync without a gap, or zero if it isn't in
// sync.
func (r *Replica) SyncedFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sync.duration()
}

// Leader returns the newest leader, when its last record arrived (zero if none has since the last
// snapshot), and the offset up to which all records have been read.
func (r *Replica) Leader() (leader directory.Leader, seenAt time.Time, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.leaderSeenAt, r.next
}

// Phase returns the phase of a job, and false if no job has the ID.
func (r *Replica) Phase(id job.ID) (job.Phase, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.jobs.submitted(id)
	if row == nil {
		return 0, false
	}
	return row.phase(), true
}

// Pending counts the jobs of a queue none of whose tasks has started.
func (r *Replica) Pending(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs.pending(queue)
}

// Jobs returns all jobs, in no particular order, and resets TakeChanged.
func (r *Replica) Jobs() []StoredJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs.all()
}

// Job returns a job, and false if no job has the ID.
func (r *Replica) Job(id job.ID) (StoredJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.jobs.submitted(id)
	if row == nil {
		return StoredJob{}, false
	}
	return row.stored(id), true
}

// IDs returns the IDs of all jobs, sorted.
func (r *Replica) IDs() []job.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs.ids()
}

// TakeChanged returns the jobs that were submitted or cancelled since the last call of Jobs or
// TakeChanged, in no particular order.
func (r *Replica) TakeChanged() []StoredJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs.takeChanged()
}
