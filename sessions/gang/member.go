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

// Delays between retries.
const (
	prepareRetry = 100 * time.Millisecond
	// initialBackoff and maxBackoff bound the delay before the next heartbeat while no lease is
	// granted. The delay doubles each time. The first one is short, because the first heartbeat
	// often arrives just before the leader learns of the gang.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	stopRetry      = 300 * time.Millisecond
)

// finalCheckpointTimeout limits the checkpoint before a stop. This checkpoint is attempted only
// once, because another session is waiting for the accelerators.
const finalCheckpointTimeout = 2 * time.Second

// Link sends heartbeats to the leader, which is in the same agent or in another one.
type Link interface {
	Heartbeat(ctx context.Context, h Heartbeat) (Grant, error)
}

// Member runs the part of a placement on one worker.
type Member struct {
	spec    hosting.TaskSpec
	link    Link
	workers hosting.Workers
	timing  Timing

	// checkpointedAt is the time when the last checkpoint began. It is used only by the goroutine
	// of Run. checkpointing is set while a checkpoint is in progress.
	checkpointedAt time.Time
	checkpointing  atomic.Bool
	// taskLeaseEnd is when the worker's lease on the task ends, as of the last successful renewal.
	// It is used only by the goroutine of Run.
	taskLeaseEnd time.Time

	// stopRequested is closed by Stop.
	stopRequested chan struct{}
	stopOnce      sync.Once

	// inTrace adds the trace of the session's creation to the context of the calls that prepare and
	// start the task. Renewals are left out of the trace, because they continue for hours.
	inTrace func(context.Context) context.Context

	mu       sync.Mutex
	status   Status
	progress time.Duration
	changed  func()
}

// NewMember returns a member that runs the task described by spec, whose Lease is ignored. changed
// is called after each change of status and must not block. inTrace adds the trace of the session's
// creation to a context.
func NewMember(
	spec hosting.TaskSpec,
	link Link,
	workers hosting.Workers,
	timing Timing,
	changed func(),
	inTrace func(context.Context) context.Context,
) *Member {
	return &Member{
		spec:          spec,
		link:          link,
		workers:       workers,
		timing:        timing,
		stopRequested: make(chan struct{}),
		status:        Preparing,
		changed:       changed,
		inTrace:       inTrace,
	}
}

// Status returns the member's stage and the work saved by its last checkpoint.
func (m *Member) Status() (Status, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status, m.progress
}

// Stop asks the member to save a checkpoint and stop. It returns at once.
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

// Run runs the member from Preparing to Stopped. It returns when the worker has confirmed the end
// of the task or when ctx is done. In the latter case the task ends with its lease.
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
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		m.reportFailure(ctx)
	}()
	m.stop(ctx)
	<-reported
}

// reportFailure sends one heartbeat with the status Failed to the leader, so that the other members
// need not run until this member's heartbeats are stale.
func (m *Member) reportFailure(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, m.timing.HeartbeatInterval)
	defer cancel()
	// If this heartbeat is lost, the leader detects the failure when the previous one is stale.
	_, _ = m.link.Heartbeat(bounded, Heartbeat{Token: m.spec.Token, Worker: m.spec.Worker, Status: Failed})
}

// prepare waits until no running task holds one of the member's accelerators. It reports false if
// ctx is done first.
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
	own := make(map[int]bool)
	for _, a := range m.spec.Accelerators {
		own[a] = true
	}
	for _, t := range tasks {
		if t.State != hosting.TaskRunning {
			continue
		}
		for _, a := range t.Accelerators {
			if own[a] {
				return true
			}
		}
	}
	return false
}

// keepRunning sends heartbeats until the gang stops, the lease ends, or ctx is done.
func (m *Member) keepRunning(ctx context.Context) {
	var expires time.Time
	backoff := initialBackoff
	for ctx.Err() == nil {
		if m.leaseExpired(expires) {
			return
		}
		grant, sent, err := m.sendHeartbeat(ctx, expires)
		if grant.Stop {
			return
		}
		if err != nil || !grant.Run {
			m.pauseWithin(ctx, backoff, expires)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = initialBackoff
		expires = sent.Add(m.timing.LeaseDuration)
		if !m.startOrRenew(ctx, expires) {
			return
		}
		m.pauseWithin(ctx, m.timing.HeartbeatInterval, expires)
	}
}

// leaseExpired reports whether a lease was granted and has ended.
func (m *Member) leaseExpired(expires time.Time) bool {
	return !expires.IsZero() && !time.Now().Before(expires)
}

// sendHeartbeat sends a heartbeat and returns the grant and the time of sending. The call may take
// as long as the lease lasts.
func (m *Member) sendHeartbeat(ctx context.Context, expires time.Time) (Grant, time.Time, error) {
	limit := m.timing.LeaseDuration
	if !expires.IsZero() {
		limit = min(limit, time.Until(expires))
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	status, progress := m.Status()
	sent := time.Now()
	grant, err := m.link.Heartbeat(bounded, Heartbeat{
		Token:    m.spec.Token,
		Worker:   m.spec.Worker,
		Status:   status,
		Progress: progress,
	})
	return grant, sent, err
}

// startOrRenew starts or renews the task and reports whether the member continues. It checks the
// lease again, because the process may have been paused after the grant arrived.
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

// checkpointIfDue starts a checkpoint in a separate goroutine, so that a slow checkpoint does not
// delay the heartbeats.
func (m *Member) checkpointIfDue(ctx context.Context) {
	if time.Since(m.checkpointedAt) < m.timing.CheckpointInterval || !m.checkpointing.CompareAndSwap(false, true) {
		return
	}
	m.checkpointedAt = time.Now()
	go func() {
		defer m.checkpointing.Store(false)
		m.checkpoint(ctx, m.timing.CheckpointInterval)
	}()
}

func (m *Member) startTask(ctx context.Context, left time.Duration) bool {
	spec, sentAt := m.spec, time.Now()
	spec.Lease = left
	if err := m.workers.StartTask(m.inTrace(ctx), spec); err != nil {
		// If only the response was lost, the task is running. The caller stops it.
		return false
	}
	m.checkpointedAt = time.Now()
	m.taskLeaseEnd = sentAt.Add(left)
	m.setStatus(Running)
	return true
}

// renewTask renews the worker's lease on the task and reports whether the member continues. A
// failed call is retried with the next heartbeat, but only while the worker's lease lasts. After
// that the task has ended, and the other members must stop even if the worker does not respond.
func (m *Member) renewTask(ctx context.Context, left time.Duration) bool {
	sentAt := time.Now()
	err := m.workers.RenewTask(ctx, m.spec.Worker, m.spec.Token, left)
	switch {
	case err == nil:
		m.taskLeaseEnd = sentAt.Add(left)
		return true
	case errors.Is(err, hosting.ErrWorkerGone):
		return false
	case errors.Is(err, hosting.ErrNoTask):
		return m.isFinished(ctx)
	}
	return m.taskLeaseValid()
}

// taskLeaseValid reports whether the lease of the last successful renewal is still valid.
func (m *Member) taskLeaseValid() bool { return time.Now().Before(m.taskLeaseEnd) }

// isFinished asks the worker how the task, which no longer runs, has ended. It reports true if the
// task has finished, or if the worker does not respond and its lease on the task is still valid.
func (m *Member) isFinished(ctx context.Context) bool {
	tasks, err := m.workers.Tasks(ctx, m.spec.Worker)
	if err != nil {
		return m.taskLeaseValid()
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

// stop saves a checkpoint and ends the task. It retries until the worker confirms that the task has
// ended and that no other task can be started with this token.
func (m *Member) stop(ctx context.Context) {
	m.checkpoint(ctx, finalCheckpointTimeout)
	for ctx.Err() == nil {
		err := m.workers.StopTask(ctx, m.spec.Worker, m.spec.Token)
		if err == nil || errors.Is(err, hosting.ErrNoTask) || errors.Is(err, hosting.ErrWorkerGone) {
			m.setStatus(Stopped)
			return
		}
		pause.For(ctx, stopRetry)
	}
}

// checkpoint saves the task's work. Errors are ignored: the task may have ended, and the previous
// checkpoint remains valid.
func (m *Member) checkpoint(ctx context.Context, limit time.Duration) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if progress, err := m.workers.CheckpointTask(bounded, m.spec.Worker, m.spec.Token); err == nil {
		m.setProgress(progress)
	}
}

// pauseWithin pauses for d, but not beyond the end of the lease.
func (m *Member) pauseWithin(ctx context.Context, d time.Duration, expires time.Time) {
	if !expires.IsZero() {
		d = min(d, time.Until(expires))
	}
	pause.For(ctx, d)
}
