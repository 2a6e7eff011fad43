package gang

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Pauses between tries.
const (
	prepareRetry = 100 * time.Millisecond
	// firstRetry and beatRetry bound the pause before a beat is sent again; it doubles. The
	// first is short, because a member often beats a moment before its leader knows of the
	// gang.
	firstRetry = 10 * time.Millisecond
	maxRetry   = 200 * time.Millisecond
	stopRetry  = 300 * time.Millisecond
)

// finalCheckpointTimeout bounds the checkpoint in front of a stop. The room is wanted back, so it is
// not tried twice.
const finalCheckpointTimeout = 2 * time.Second

// Link carries beats to the leader.
type Link interface {
	Heartbeat(ctx context.Context, b Heartbeat) (Grant, error)
}

// Member is one member of a placement on its own worker.
type Member struct {
	spec    hosting.TaskSpec
	link    Link
	workers hosting.Workers
	timing  Timing

	// checkpointedAt is when the last checkpoint was begun. Only Run's goroutine uses it; saving says
	// that one is under way.
	checkpointedAt time.Time
	checkpointing  atomic.Bool
	// heldUntil is when the worker's lease on the task ends, by the calls that it has answered.
	// Only Run's goroutine uses it.
	heldUntil time.Time

	// stopRequested is closed when the ledger says that the placement stops.
	stopRequested chan struct{}
	stopOnce      sync.Once

	// inTrace puts the calls that prepare and start the task into the trace of the session's
	// creation. Renewals stay out of it: they go on for hours.
	inTrace func(context.Context) context.Context

	mu       sync.Mutex
	status   Status
	progress time.Duration
	changed  func()
}

// NewMember returns a member that runs the task described by spec; its Lease is set for each
// renewal. changed is called after each change of status, and must not block. inTrace returns a
// context within the trace of the session's creation.
func NewMember(spec hosting.TaskSpec, link Link, workers hosting.Workers, timing Timing, changed func(), inTrace func(context.Context) context.Context) *Member {
	return &Member{
		spec: spec, link: link, workers: workers, timing: timing,
		stopRequested: make(chan struct{}), status: Preparing, changed: changed, inTrace: inTrace,
	}
}

// Status returns the member's stage, and the progress that its last checkpoint holds.
func (m *Member) Status() (Status, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, m.progress
}

// Stop asks the member to checkpoint and stop.
func (m *Member) Stop() { m.stopOnce.Do(func() { close(m.stopRequested) }) }

func (m *Member) setStatus(s Status) {
	m.mu.Lock()
	changed := m.status != s
	m.status = s
	m.mu.Unlock()
	if changed {
		m.changed()
	}
}

func (m *Member) setProgress(p time.Duration) {
	m.mu.Lock()
	m.progress = p
	m.mu.Unlock()
}

// Run takes the member from preparing to stopped. It returns when the worker has confirmed that
// the task is over, or when ctx ends; in that case the task ends with its lease.
func (m *Member) Run(ctx context.Context) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-m.stopRequested:
		case <-running.Done():
		}
		cancel()
	}()
	if m.prepare(running) {
		m.keepRunning(running)
	}
	m.setStatus(Failed)
	told := make(chan struct{})
	go func() {
		defer close(told)
		m.reportFailure(ctx)
	}()
	m.stop(ctx)
	<-told
}

// reportFailure says once that this member goes on no more, so that the others need not wait for
// its silence.
func (m *Member) reportFailure(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, m.timing.Beat)
	defer cancel()
	// A beat that is lost does no harm: the leader notices the silence.
	_, _ = m.link.Heartbeat(bounded, Heartbeat{Token: m.spec.Token, Worker: m.spec.Worker, Status: Failed})
}

// prepare waits until no live task holds one of the accelerators, and reports whether they are.
func (m *Member) prepare(ctx context.Context) bool {
	for ctx.Err() == nil {
		tasks, err := m.workers.Tasks(m.inTrace(ctx), m.spec.Worker)
		if err == nil && !m.overlaps(tasks) {
			m.setStatus(Ready)
			return true
		}
		pause.For(ctx, prepareRetry)
	}
	return false
}

func (m *Member) overlaps(tasks []hosting.Task) bool {
	mine := make(map[int]bool)
	for _, a := range m.spec.Accelerators {
		mine[a] = true
	}
	for _, t := range tasks {
		if t.State != hosting.TaskRunning {
			continue
		}
		for _, a := range t.Accelerators {
			if mine[a] {
				return true
			}
		}
	}
	return false
}

// keepRunning beats until the gang stops, the lease lapses, or ctx ends.
func (m *Member) keepRunning(ctx context.Context) {
	var expires time.Time
	retry := firstRetry
	for ctx.Err() == nil {
		if m.lapsed(expires) {
			return
		}
		grant, sent, err := m.sendHeartbeat(ctx, expires)
		if grant.Stop {
			return
		}
		if err != nil || !grant.Run {
			m.pauseWithin(ctx, retry, expires)
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = firstRetry
		expires = sent.Add(m.timing.Lease)
		if !m.startOrRenew(ctx, expires) {
			return
		}
		m.pauseWithin(ctx, m.timing.Beat, expires)
	}
}

// lapsed reports whether a lease was held and is over.
func (m *Member) lapsed(expires time.Time) bool {
	return !expires.IsZero() && !time.Now().Before(expires)
}

// sendHeartbeat sends one beat, bounded by the lease, and returns when it was sent.
func (m *Member) sendHeartbeat(ctx context.Context, expires time.Time) (Grant, time.Time, error) {
	limit := m.timing.Lease
	if !expires.IsZero() {
		limit = min(limit, time.Until(expires))
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	status, progress := m.Status()
	sent := time.Now()
	grant, err := m.link.Heartbeat(bounded, Heartbeat{Token: m.spec.Token, Worker: m.spec.Worker, Status: status, Progress: progress})
	return grant, sent, err
}

// startOrRenew starts or renews the task under the lease, and reports whether the member goes on. The
// lease is checked before each act, because the process may have been paused since the grant
// came.
func (m *Member) startOrRenew(ctx context.Context, expires time.Time) bool {
	left := time.Until(expires)
	if left <= 0 {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	status, _ := m.Status()
	switch status {
	case Ready:
		return m.startTask(bounded, left)
	case Running:
		m.checkpointIfDue(ctx)
		return m.renewTask(bounded, left)
	}
	return true
}

// checkpointIfDue saves the task's work beside the beats, which a slow checkpoint must not hold up.
func (m *Member) checkpointIfDue(ctx context.Context) {
	if time.Since(m.checkpointedAt) < m.timing.Checkpoint || !m.checkpointing.CompareAndSwap(false, true) {
		return
	}
	m.checkpointedAt = time.Now()
	go func() {
		defer m.checkpointing.Store(false)
		m.checkpoint(ctx, m.timing.Checkpoint)
	}()
}

func (m *Member) startTask(ctx context.Context, left time.Duration) bool {
	spec, asked := m.spec, time.Now()
	spec.Lease = left
	if err := m.workers.StartTask(m.inTrace(ctx), spec); err != nil {
		// A lost answer leaves the task running on its short lease; stop ends it for certain.
		return false
	}
	m.checkpointedAt = time.Now()
	m.heldUntil = asked.Add(left)
	m.setStatus(Running)
	return true
}

// renewTask renews the worker's lease, and reports whether the member goes on. Where the task
// is over, the worker says whether it finished or lapsed. A failed call is tried again with the
// next beat, but only while the worker's lease lasts: after that the task has ended, and the
// gang must not wait for the worker's word to stop the others.
func (m *Member) renewTask(ctx context.Context, left time.Duration) bool {
	asked := time.Now()
	err := m.workers.RenewTask(ctx, m.spec.Worker, m.spec.Token, left)
	switch {
	case err == nil:
		m.heldUntil = asked.Add(left)
		return true
	case errors.Is(err, hosting.ErrGone):
		return false
	case errors.Is(err, hosting.ErrNoTask):
		return m.isFinished(ctx)
	}
	return m.leaseHeld()
}

// leaseHeld reports whether the worker's lease lasts, as far as the member knows.
func (m *Member) leaseHeld() bool { return time.Now().Before(m.heldUntil) }

// isFinished asks the worker what became of a task that runs no more: true if it has finished,
// or if there may still be an answer in time.
func (m *Member) isFinished(ctx context.Context) bool {
	tasks, err := m.workers.Tasks(ctx, m.spec.Worker)
	if err != nil {
		return m.leaseHeld()
	}
	for _, t := range tasks {
		if t.Token == m.spec.Token && t.State == hosting.TaskFinished {
			m.setProgress(t.Progress)
			m.setStatus(Finished)
			return true
		}
	}
	return false
}

// stop takes a checkpoint, ends the task, and makes sure that none can start later. It tries
// until the worker confirms.
func (m *Member) stop(ctx context.Context) {
	m.checkpoint(ctx, finalCheckpointTimeout)
	for ctx.Err() == nil {
		err := m.workers.StopTask(ctx, m.spec.Worker, m.spec.Token)
		if err == nil || errors.Is(err, hosting.ErrNoTask) || errors.Is(err, hosting.ErrGone) {
			m.setStatus(Stopped)
			return
		}
		pause.For(ctx, stopRetry)
	}
}

// checkpoint saves the task's work if the task still runs. A task that does not is no failure:
// its lease is over.
func (m *Member) checkpoint(ctx context.Context, limit time.Duration) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if progress, err := m.workers.CheckpointTask(bounded, m.spec.Worker, m.spec.Token); err == nil {
		m.setProgress(progress)
	}
}

// pauseWithin waits, but not past the end of the lease.
func (m *Member) pauseWithin(ctx context.Context, d time.Duration, expires time.Time) {
	if !expires.IsZero() {
		d = min(d, time.Until(expires))
	}
	pause.For(ctx, d)
}
