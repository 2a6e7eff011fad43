package jobtest

import (
	"context"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// order applies the worker's faults to an order, and executes it now or later.
func (w *Worker) order(ctx context.Context, o runner.Order, apply func() error) (int64, error) {
	if err := sleep(ctx, time.Millisecond); err != nil {
		return 0, err
	}
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	if !w.up || w.unreachable {
		return 0, w.unavailable(ctx)
	}
	if w.failure != nil {
		return 0, w.failure
	}
	if w.workers.random.Float64() < w.lateShare {
		return 0, w.executeAfter(ctx, time.Duration(2+w.workers.random.IntN(10))*time.Second, o, apply)
	}
	return w.clock(time.Now()), w.execute(o, apply)
}

// call is order followed by the delivery of the answer.
func (w *Worker) call(ctx context.Context, o runner.Order, apply func() error) (int64, error) {
	clock, err := w.order(ctx, o, apply)
	if lost := w.deliverAnswer(ctx); lost != nil {
		return 0, lost
	}
	return clock, err
}

// execute checks the incarnation and the fence of an order, and then applies it. The caller must
// hold the lock.
func (w *Worker) execute(o runner.Order, apply func() error) error {
	if !o.Incarnation.SharesInstance(w.state.ID) {
		return runner.ErrOtherIncarnation
	}
	if o.Fence < w.fence {
		return runner.ErrFenced
	}
	w.staleOrder = w.executingLate && o.Incarnation != w.state.ID && w.fence <= o.Fence
	w.fence = o.Fence
	w.advance(time.Now())
	return apply()
}

// logLate logs the result of an order that was executed late. The caller must hold the lock.
func (w *Worker) logLate(o runner.Order, err error) {
	w.workers.Logger.Info().Str("step", "jobtest.late").Str("worker", w.name).
		Stringer("sent_to", o.Incarnation).Stringer("incarnation", w.state.ID).
		Int64("fence", o.Fence).Err(err).Msg("order executed late")
}

// logStart logs the start of a run. The caller must hold the lock.
func (w *Worker) logStart(s assignment.Start) {
	w.workers.Logger.Info().Str("step", "jobtest.start").Str("worker", w.name).
		Stringer("task", s.Task).Int("run", s.Run).Stringer("incarnation", w.state.ID).
		Bool("late", w.executingLate).Bool("stray", w.staleOrder).Int64("fence", w.fence).Msg("run started")
}

// extend extends the lease up to a time of the worker's clock, in milliseconds.
func (w *Worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock(time.Now())+maxLease.Milliseconds()))
}

// Start implements runner.Worker.
func (w *Worker) Start(ctx context.Context, o runner.Order, s assignment.Start, until int64) (int64, error) {
	apply := func() error { return w.start(s, until) }
	w.workers.mu.Lock()
	if w.startDelay > 0 && w.up && !w.unreachable {
		w.delayedStarts++
		defer w.workers.mu.Unlock()
		return 0, w.executeAfter(ctx, w.startDelay, o, apply)
	}
	w.workers.mu.Unlock()
	return w.call(ctx, o, apply)
}

func (w *Worker) start(s assignment.Start, until int64) error {
	now := time.Now()
	if until <= w.clock(now) {
		return runner.ErrLeaseExpired
	}
	if r := w.runs[s.Task]; r != nil && r.id.Run == s.Run {
		w.extend(until)
		return nil
	}
	if s.Run <= w.highestRun[s.Task] || w.runs[s.Task] != nil {
		w.extend(until)
		return runner.ErrAlreadyRan
	}
	step := w.workers.stepOf(s.Task)
	w.extend(until)
	if !w.overcommits && !step.Reserved().FitsIn(w.free()) {
		return runner.ErrNoCapacity
	}
	w.logStart(s)
	w.workers.checkStart(w, s)
	w.workers.checkCapacity(w, s, step.Reserved())
	r := &run{
		id:         s.RunID,
		resources:  step.Reserved(),
		arrivedAt:  now,
		work:       w.workers.workOf(s.Task),
		fails:      w.workers.random.Float64() < w.workers.FailureShare,
		speed:      100,
		advancedAt: now,
	}
	if r.resumedFrom, _ = time.ParseDuration(s.Checkpoint); !step.Gang {
		r.startedAt = now
	}
	w.runs[s.Task] = r
	w.workers.Starts++
	w.workers.startsIn[w.state.Zone]++
	w.workers.everStarted[s.Task.Job] = true
	return w.scheduleCrash(r)
}

// workOf returns the duration of a task: Work if it is set, and otherwise 1 to 2.9 s, which depends
// on the task's index and on the number of jobs so far.
func (ws *Workers) workOf(name job.TaskName) time.Duration {
	if ws.Work > 0 {
		return ws.Work
	}
	return time.Second + time.Duration((name.Index*37+len(ws.jobs))%20)*100*time.Millisecond
}

func (w *Worker) free() job.Resources { return w.freeOf(w.state.Capacity) }

// freeOf returns the part of a capacity that is not in use.
func (w *Worker) freeOf(capacity job.Resources) job.Resources {
	free := capacity
	for _, r := range w.runs {
		free = free.Plus(r.resources, -1)
	}
	return free
}

// Stop implements runner.Worker.
func (w *Worker) Stop(ctx context.Context, o runner.Order, id assignment.RunID) (int64, error) {
	return w.call(ctx, o, func() error {
		r := w.runs[id.Task]
		if r == nil || r.id.Run != id.Run {
			w.highestRun[id.Task] = max(w.highestRun[id.Task], id.Run)
			return nil
		}
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(stopTime)
		}
		return nil
	})
}

// Throttle implements runner.Worker.
func (w *Worker) Throttle(ctx context.Context, o runner.Order, id assignment.RunID, percent int) (int64, error) {
	return w.call(ctx, o, func() error {
		if r := w.runs[id.Task]; r != nil && r.id.Run == id.Run {
			r.advance(time.Now())
			r.speed = percent
		}
		return nil
	})
}

// Sync implements runner.Worker.
func (w *Worker) Sync(
	ctx context.Context, o runner.Order, until, seen int64, wait time.Duration,
) (runner.Listing, int64, error) {
	var l runner.Listing
	clock, err := w.order(ctx, o, func() error {
		if until > w.clock(time.Now()) {
			w.extend(until)
		}
		w.pruneEnds(seen)
		return nil
	})
	if err != nil {
		return l, clock, err
	}
	for waited := time.Duration(0); ; waited += tick {
		w.workers.mu.Lock()
		if !o.Incarnation.SharesInstance(w.state.ID) || !w.up || w.unreachable {
			err := w.unavailable(ctx)
			w.workers.mu.Unlock()
			return l, 0, err
		}
		if err := w.failure; err != nil {
			w.workers.mu.Unlock()
			return l, 0, err
		}
		l, clock = w.listing(), w.clock(time.Now())
		w.workers.mu.Unlock()
		if len(l.Ends) > 0 || waited >= wait {
			return l, clock, w.deliverAnswer(ctx)
		}
		if err := sleep(ctx, tick); err != nil {
			return l, 0, err
		}
	}
}

// pruneEnds drops the ends that the leader has stored.
func (w *Worker) pruneEnds(seen int64) {
	if w.executingLate && seen > 0 {
		w.workers.Logger.Info().Str("step", "jobtest.forget").Str("worker", w.name).Int64("up_to", seen).
			Int("ends", len(w.ends)).Msg("late order removed acknowledged ends")
	}
	var rest []assignment.End
	for _, e := range w.ends {
		if e.Number > seen {
			rest = append(rest, e)
			continue
		}
		// If the lease has expired since, the acknowledgement may come from an older leader and
		// does not count.
		if !w.leaseOverAt.After(w.endedAt[e.Number]) {
			w.workers.acknowledge(e)
		}
	}
	w.ends = rest
}

func (w *Worker) listing() runner.Listing {
	w.advance(time.Now())
	l := runner.Listing{StartMillis: w.state.ID.StartMillis}
	for _, r := range w.runs {
		percent := 0
		if !r.startedAt.IsZero() {
			percent = min(99, int(100*r.worked(time.Now())/r.work))
		}
		l.Runs = append(l.Runs, assignment.Run{
			RunID:         r.id,
			Percent:       percent,
			Checkpoint:    w.lastCheckpoint(r),
			LatencyMillis: w.latencyMillis(r),
		})
	}
	listed := min(len(w.ends), w.workers.ListedEnds)
	l.Ends = append(l.Ends, w.ends[:listed]...)
	// As on the platform, a full list does not show whether there are more ends.
	l.EndsOmitted = listed == w.workers.ListedEnds
	if len(w.ends) > listed {
		w.workers.ListsOmittingEnds++
	}
	return l
}
