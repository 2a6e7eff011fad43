package jobstore

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// replicaWait is how long a read of a replica waits for news: it bounds the age of its proof.
const replicaWait = 300 * time.Millisecond

// Pace of reads. Where each of many entries reads each record as it comes, calls grow as entries times records: 55 entries made 94,600
// calls in 55 s, 25,600 with these bounds (one play each of a day).
const (
	// readShare is the time between two reads for each entry that there is: all entries together make some 140 reads a second, as far as the
	// bounds below allow.
	readShare = 7 * time.Millisecond
	// mostGap bounds it for the few that are to lead next, so that the leader's signs are seen well before they lose patience with it, and
	// mostGapBehind for the others, so that their proof is always young enough for callers' records (keepProof).
	mostGap       = 400 * time.Millisecond
	mostGapBehind = 800 * time.Millisecond
	// freshEnough is the age of a proof from which on a caller's question for a job's state makes the entry read first.
	freshEnough = 50 * time.Millisecond
)

// proofGap is how far apart two proofs may be: what happened between them was seen in time.
const proofGap = 1200 * time.Millisecond

// entry is what a replica knows of one job.
type entry struct {
	submission, cancel, progress                   []byte
	submissionOffset, cancelOffset, progressOffset int64
	queue                                          string
	lasting                                        bool
}

// Replica holds the newest record of each key. Its methods may be called from any goroutine.
type Replica struct {
	tail *topic.Tail
	// readers is how many entries read the topic. Leading says that this one needs each record as it comes.
	readers func() int
	leading atomic.Bool
	// inLine reports whether this process is one of the few that are to lead next.
	inLine func() bool

	mu     sync.Mutex
	jobs   map[job.ID]*entry
	leader directory.Leader
	next   int64
	proof  suspend.Instant
	clock  suspend.Clock
	// watching is since when proofs have followed one another without a gap.
	watching time.Time
	sign     time.Time
	changed  chan struct{}
	// news is closed and replaced when there is something to Take, or another leader.
	news chan struct{}
	// taken is closed and replaced when a read has been taken over.
	taken chan struct{}
	// fresh holds the jobs whose submission or cancel came since Take.
	fresh map[job.ID]bool
}

// NewReplica returns a replica that knows nothing yet. Readers returns how many entries there are that read the topic.
func NewReplica(log topic.Log, readers func() int, logger zerolog.Logger) *Replica {
	r := &Replica{
		tail: topic.NewTail(log, "jobs", replicaWait, logger), readers: readers, inLine: func() bool { return true },
		jobs: map[job.ID]*entry{}, fresh: map[job.ID]bool{}, changed: make(chan struct{}), news: make(chan struct{}), taken: make(chan struct{}),
	}
	r.tail.WithMinInterval(r.gap).WithReaders(r.probing)
	return r
}

// WithSuspension sets the clock that counts for how long the machine was suspended: proofs age by that too.
func (r *Replica) WithSuspension(clock suspend.Clock) *Replica {
	r.clock = clock
	r.tail.WithSuspension(clock)
	return r
}

// WithStandby sets what reports whether this process is one of the few that are to lead next. Without it, it is.
func (r *Replica) WithStandby(inLine func() bool) *Replica {
	r.inLine = inLine
	return r
}

// gap is the time between two reads. Where answers take long the proof ages by them too, so the longer gap is for a log that answers as usual.
func (r *Replica) gap() time.Duration {
	if r.leading.Load() {
		return 0
	}
	most := mostGap
	if !r.inLine() && r.tail.Latency().Fast() {
		most = mostGapBehind
	}
	return min(time.Duration(r.readers())*readShare, most)
}

// probing is how many processes share the probes of a log that is away. The leader does not share: whatever starts waits for it.
func (r *Replica) probing() int {
	if r.leading.Load() {
		return 1
	}
	return r.readers()
}

// SetLeading says whether this process needs each record as it comes, as the leader does.
func (r *Replica) SetLeading(leading bool) {
	r.leading.Store(leading)
	r.tail.ReadNow()
}

// Leading reports whether this process leads.
func (r *Replica) Leading() bool { return r.leading.Load() }

// ReadNow has the next read begin at once.
func (r *Replica) ReadNow() { r.tail.ReadNow() }

// Rejected reports whether the log turns this process away.
func (r *Replica) Rejected() bool { return r.tail.Rejected() }

// Refresh reads what there is now, unless the newest proof is only a moment old, or ctx ends first.
func (r *Replica) Refresh(ctx context.Context) {
	asked := time.Now()
	for ctx.Err() == nil {
		r.mu.Lock()
		proof, taken := r.clock.Monotonic(r.proof), r.taken
		r.mu.Unlock()
		if r.gap() <= freshEnough || asked.Sub(proof) < freshEnough {
			return
		}
		r.tail.ReadNow()
		select {
		case <-taken:
		case <-ctx.Done():
		}
	}
}

// Run follows the topic until ctx ends.
func (r *Replica) Run(ctx context.Context) { r.tail.Run(ctx, r.take) }

func (r *Replica) take(n topic.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	led := r.leader
	if n.Snapshot {
		r.forget()
	}
	for _, s := range n.Records {
		r.applyOne(s)
	}
	if n.Snapshot {
		// What was loaded may be old: it is no sign of life of the leader.
		r.sign = time.Time{}
	}
	r.next = n.Next
	close(r.taken)
	r.taken = make(chan struct{})
	first := r.proof.IsZero() && !n.SyncedAt.IsZero()
	if !n.SyncedAt.IsZero() {
		if r.clock.Monotonic(n.SyncedAt).Sub(r.clock.Monotonic(r.proof)) > proofGap {
			r.watching = time.Now()
		}
		r.proof = n.SyncedAt
	}
	if first || n.Snapshot || len(n.Records) > 0 {
		r.wake(led)
	}
}

// forget drops what is known, before the newest records of all keys take its place.
func (r *Replica) forget() {
	for id := range r.jobs {
		r.fresh[id] = true
	}
	r.jobs = map[job.ID]*entry{}
}

// ApplyLocal takes records over that this process has appended itself, before they come back by a read.
func (r *Replica) ApplyLocal(records []topic.Record, first int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	led := r.leader
	for i, record := range records {
		r.applyOne(topic.Stored{Record: record, Offset: first + int64(i)})
	}
	r.wake(led)
}

// wake tells those who wait for a change. Led is who led before it. The lock must be held.
func (r *Replica) wake(led directory.Leader) {
	close(r.changed)
	r.changed = make(chan struct{})
	if len(r.fresh) > 0 || r.leader != led {
		close(r.news)
		r.news = make(chan struct{})
	}
}

func (r *Replica) applyOne(s topic.Stored) {
	if s.Key == directory.LeaderKey {
		o, err := directory.DecodeLeader(s.Value)
		if err == nil && o.Term >= r.leader.Term {
			r.leader, r.sign = o, time.Now()
		}
		return
	}
	prefix, id, ok := jobKey(s.Key)
	if !ok {
		return
	}
	e := r.jobs[id]
	if e == nil {
		e = &entry{submissionOffset: -1, cancelOffset: -1, progressOffset: -1}
		r.jobs[id] = e
	}
	switch {
	case prefix == submissionPrefix && s.Offset > e.submissionOffset:
		r.applySubmission(id, e, s)
	case prefix == cancelPrefix && s.Offset > e.cancelOffset:
		e.cancel, e.cancelOffset = s.Value, s.Offset
		r.fresh[id] = true
	case prefix == progressPrefix && s.Offset > e.progressOffset:
		e.progress, e.progressOffset = s.Value, s.Offset
		r.sign = time.Now()
	}
	if e.submission == nil && e.progress == nil && e.cancel == nil {
		delete(r.jobs, id)
	}
}

// applySubmission keeps the first submission of a job: a second one is a retry of it.
func (r *Replica) applySubmission(id job.ID, e *entry, s topic.Stored) {
	e.submissionOffset = s.Offset
	r.fresh[id] = true
	if s.Value == nil {
		e.submission = nil
		return
	}
	if e.submission != nil {
		return
	}
	e.submission = s.Value
	if j, err := job.Decode(id, s.Value); err == nil {
		e.queue, e.lasting = j.Queue, j.LongRunning()
	}
}

// Latency is that of the log's answers, as the replica's reads learn it and those who share it.
func (r *Replica) Latency() *hedge.Latency { return r.tail.Latency() }

// Changed is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// JobsChanged is closed once there is something to Take, or another leader. What this process writes of jobs' progress is no news to it: a leader that
// decided anew for each change decided three times for each of its appends.
func (r *Replica) JobsChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news
}

// SyncedAt is when the newest read was sent whose answer had nothing left to read; zero if there was none. The time since then is what has really passed, also
// on a machine that was suspended.
func (r *Replica) SyncedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Monotonic(r.proof)
}

// SyncedFor is for how long this process has been able to see at once what is written; zero if it is not now.
func (r *Replica) SyncedFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proof.IsZero() || r.clock.Since(r.proof) > proofGap {
		return 0
	}
	return time.Since(r.watching)
}

// Leader returns who is the leader, when a sign of it was last seen, and the offset up to which this is known.
func (r *Replica) Leader() (o directory.Leader, sign time.Time, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.sign, r.next
}

// Phase returns the phase of a job, and false if none is known under the ID.
func (r *Replica) Phase(id job.ID) (job.Phase, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.jobs[id]
	if e == nil || e.submission == nil {
		return 0, false
	}
	return e.phase(), true
}

func (e *entry) phase() job.Phase {
	p := job.PhaseOf(e.progress)
	if !p.Final() && e.cancel != nil {
		return job.Cancelled
	}
	return p
}

// Pending counts the jobs of a queue none of whose tasks has begun.
func (r *Replica) Pending(queue string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.jobs {
		if e.submission != nil && e.queue == queue && e.phase() == job.Queued {
			n++
		}
	}
	return n
}

// StoredJob is all that is stored of a job.
type StoredJob struct {
	ID         job.ID
	Submission []byte
	Cancelled  bool
	Progress   []byte
}

// Jobs returns all jobs, and forgets which have changed.
func (r *Replica) Jobs() []StoredJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	views := make([]StoredJob, 0, len(r.jobs))
	for id, e := range r.jobs {
		views = append(views, e.view(id))
	}
	clear(r.fresh)
	return views
}

// Job returns all that is stored of one job.
func (r *Replica) Job(id job.ID) (StoredJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.jobs[id]
	if e == nil || e.submission == nil {
		return StoredJob{}, false
	}
	return e.view(id), true
}

// IDs returns all jobs that are stored.
func (r *Replica) IDs() []job.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]job.ID, 0, len(r.jobs))
	for id, e := range r.jobs {
		if e.submission != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TakeChanged returns the jobs whose submission or cancel came since All or Take.
func (r *Replica) TakeChanged() []StoredJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	var views []StoredJob
	for id := range r.fresh {
		if e := r.jobs[id]; e != nil {
			views = append(views, e.view(id))
		}
	}
	clear(r.fresh)
	return views
}

func (e *entry) view(id job.ID) StoredJob {
	return StoredJob{ID: id, Submission: e.submission, Cancelled: e.cancel != nil, Progress: e.progress}
}
