package jobtest

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

var errLost = errors.New("the answer was lost")

// order applies the worker's faults to an order, and carries it out at once or late.
func (w *Worker) order(ctx context.Context, o runner.Order, carry func() error) (int64, error) {
	if err := sleep(ctx, time.Millisecond); err != nil {
		return 0, err
	}
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if !w.up || w.unreachable {
		return 0, w.unavailable(ctx)
	}
	if w.all.random.Float64() < w.lateShare {
		return 0, w.carryOutAfter(ctx, time.Duration(2+w.all.random.IntN(10))*time.Second, o, carry)
	}
	return w.clock(time.Now()), w.carryOut(o, carry)
}

// carryOutAfter carries an order out after a delay, if the worker is up then, and returns the error
// of its caller, which gives up before. The lock must be held; it is released meanwhile.
func (w *Worker) carryOutAfter(ctx context.Context, delay time.Duration, o runner.Order, carry func() error) error {
	time.AfterFunc(delay, func() {
		w.all.mu.Lock()
		defer w.all.mu.Unlock()
		if w.up {
			w.late = true
			w.logLate(o, w.carryOut(o, carry))
			w.late = false
		}
	})
	w.all.mu.Unlock()
	<-ctx.Done()
	w.all.mu.Lock()
	return errLost
}

// carryOut checks the incarnation and the fence, and then carries the order out. The lock must be
// held.
func (w *Worker) carryOut(o runner.Order, carry func() error) error {
	if !o.Incarnation.SharesInstance(w.state.ID) {
		return runner.ErrOtherIncarnation
	}
	if o.Fence < w.fence {
		return runner.ErrFenced
	}
	w.stray = w.late && o.Incarnation != w.state.ID && w.fence <= o.Fence
	w.fence = o.Fence
	w.advance(time.Now())
	return carry()
}

// logLate logs what became of an order that came late. The lock must be held.
func (w *Worker) logLate(o runner.Order, err error) {
	w.all.Logger.Info().Str("step", "jobtest.late").Str("worker", w.name).
		Stringer("sent_to", o.Incarnation).Stringer("incarnation", w.state.ID).
		Int64("fence", o.Fence).Err(err).Msg("order is carried out late")
}

// logStart logs a run that starts. The lock must be held.
func (w *Worker) logStart(s assignment.Start) {
	w.all.Logger.Info().Str("step", "jobtest.start").Str("worker", w.name).
		Stringer("task", s.Task).Int("run", s.Run).Stringer("incarnation", w.state.ID).
		Bool("late", w.late).Bool("stray", w.stray).Int64("fence", w.fence).Msg("run starts")
}

// extend extends the lease to a time of the worker's clock, in milliseconds.
func (w *Worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock(time.Now())+maxLease.Milliseconds()))
}

// Start implements runner.Worker.
func (w *Worker) Start(ctx context.Context, o runner.Order, s assignment.Start, until int64) (int64, error) {
	carry := func() error { return w.start(s, until) }
	w.all.mu.Lock()
	if w.startDelay > 0 && w.up && !w.unreachable {
		w.delayedStarts++
		defer w.all.mu.Unlock()
		return 0, w.carryOutAfter(ctx, w.startDelay, o, carry)
	}
	w.all.mu.Unlock()
	return w.order(ctx, o, carry)
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
	step := w.all.stepOf(s.Task)
	w.extend(until)
	if !w.overcommits && !step.Reserved().FitsIn(w.free()) {
		return runner.ErrNoCapacity
	}
	w.logStart(s)
	w.all.checkStart(w, s)
	w.all.checkCapacity(w, s, step.Reserved())
	r := &run{
		id:        s.RunID,
		resources: step.Reserved(),
		arrivedAt: now,
		work:      w.all.workOf(s.Task),
		fails:     w.all.random.Float64() < w.all.FailureShare,
		speed:     100,
		lostUntil: now,
	}
	if r.resumedFrom, _ = time.ParseDuration(s.Checkpoint); !step.Gang {
		r.startedAt = now
	}
	w.runs[s.Task] = r
	w.all.Starts++
	w.all.startsIn[w.state.Zone]++
	w.all.everStarted[s.Task.Job] = true
	return w.crashBy(r)
}

// workOf returns how long a task works: one to three seconds unless Work is set, the same in each
// run.
func (ws *Workers) workOf(name job.TaskName) time.Duration {
	if ws.Work > 0 {
		return ws.Work
	}
	return time.Second + time.Duration((name.Index*37+len(ws.jobs))%20)*100*time.Millisecond
}

func (w *Worker) free() job.Resources { return w.freeOf(w.state.Capacity) }

// freeOf returns what of a capacity is not in use.
func (w *Worker) freeOf(capacity job.Resources) job.Resources {
	free := capacity
	for _, r := range w.runs {
		free = free.Plus(r.resources, -1)
	}
	return free
}

// Stop implements runner.Worker.
func (w *Worker) Stop(ctx context.Context, o runner.Order, id assignment.RunID) (int64, error) {
	return w.order(ctx, o, func() error {
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
	return w.order(ctx, o, func() error {
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
		w.forget(seen)
		return nil
	})
	if err != nil {
		return l, clock, err
	}
	for waited := time.Duration(0); ; waited += tick {
		w.all.mu.Lock()
		if !o.Incarnation.SharesInstance(w.state.ID) || !w.up || w.unreachable {
			err := w.unavailable(ctx)
			w.all.mu.Unlock()
			return l, 0, err
		}
		l, clock = w.listing(), w.clock(time.Now())
		w.all.mu.Unlock()
		if len(l.Ends) > 0 || waited >= wait {
			return l, clock, nil
		}
		if err := sleep(ctx, tick); err != nil {
			return l, 0, err
		}
	}
}

// forget drops the ends that the leader has stored.
func (w *Worker) forget(seen int64) {
	if w.late && seen > 0 {
		w.all.Logger.Info().Str("step", "jobtest.forget").Str("worker", w.name).Int64("up_to", seen).
			Int("ends", len(w.ends)).Msg("ends are forgotten late")
	}
	var rest []assignment.End
	for _, e := range w.ends {
		if e.Number > seen {
			rest = append(rest, e)
			continue
		}
		// If the lease has ended since, the acknowledgement may be of an older leader and doesn't
		// count.
		if !w.leaseOverAt.After(w.endedAt[e.Number]) {
			w.all.acknowledge(e)
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
			Checkpoint:    w.saved(r),
			LatencyMillis: w.latencyMillis(r),
		})
	}
	l.Ends = append(l.Ends, w.ends...)
	return l
}
