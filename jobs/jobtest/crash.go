package jobtest

import (
	"context"
	"fmt"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Bounds on tasks that crash workers.
const (
	// blamedAfter is how many workers a task must have crashed before its further starts are
	// counted, and mostStarts how many of those violate the rule.
	blamedAfter = 3
	mostStarts  = 3
	// mayFailAfter is how many workers must have crashed with a task on them before its job may
	// fail for it.
	mayFailAfter = 2
)

// crasher says how long after its start a task crashes the worker, and how long the worker is away
// then.
type crasher struct {
	after time.Duration
	away  time.Duration
}

// crashes counts the crashes of workers that had a task on them.
type crashes struct {
	// under counts the incarnations that crashed with it, for whatever cause; caused, those that it
	// crashed itself.
	under, caused int
	// startsSince counts its starts since it has crashed blamedAfter workers.
	startsSince int
}

// CrashOn makes a task crash each worker that starts it, a time after the start, or before the
// start is answered if that is zero. The worker restarts after it was away.
func (ws *Workers) CrashOn(name job.TaskName, after, away time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.crashers[name] = crasher{after: after, away: away}
}

// crashesOf returns the crashes with a task. The lock must be held.
func (ws *Workers) crashesOf(name job.TaskName) *crashes {
	if ws.crashes[name] == nil {
		ws.crashes[name] = &crashes{}
	}
	return ws.crashes[name]
}

// CrashesBy returns how many workers a task has crashed.
func (ws *Workers) CrashesBy(name job.TaskName) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.crashesOf(name).caused
}

// MayFail reports whether a job may fail: a task of it has failed too often, or workers have
// crashed with it.
func (ws *Workers) MayFail(id job.ID) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for name, c := range ws.crashes {
		if name.Job == id && c.under >= mayFailAfter {
			return true
		}
	}
	for name, failures := range ws.failures {
		if name.Job == id && ws.jobs[id].MaxAttempts > 0 && len(failures) >= ws.jobs[id].MaxAttempts {
			return true
		}
	}
	return false
}

// crashBy lets a run that has just started crash its worker, if its task does that. It returns an
// error if the start gets no answer. The lock must be held.
func (w *Worker) crashBy(r *run) error {
	c, ok := w.all.crashers[r.id.Task]
	if !ok {
		return nil
	}
	if c.after == 0 {
		w.crashUnder(r, c.away)
		return errReset
	}
	time.AfterFunc(c.after, func() {
		w.all.mu.Lock()
		defer w.all.mu.Unlock()
		if w.up && w.runs[r.id.Task] == r {
			w.crashUnder(r, c.away)
		}
	})
	return nil
}

// crashUnder lets a run crash the worker. The machine stays up, so calls fail at once. The lock
// must be held.
func (w *Worker) crashUnder(r *run, away time.Duration) {
	w.all.crashesOf(r.id.Task).caused++
	w.refusing = true
	w.crash(away)
}

// CrashProcess ends all runs as a crash of the worker's process does. The machine stays up, so
// calls fail at once.
func (w *Worker) CrashProcess(away time.Duration) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.refusing = true
	w.crash(away)
}

// crash ends all runs; the worker restarts after the time. The lock must be held.
func (w *Worker) crash(away time.Duration) {
	w.up = false
	for name := range w.runs {
		w.all.crashesOf(name).under++
	}
	for _, r := range w.runs {
		w.end(r, job.EndLeaseExpired, time.Now())
	}
	time.AfterFunc(away, func() {
		w.all.mu.Lock()
		defer w.all.mu.Unlock()
		if !w.up {
			w.startIncarnation()
		}
	})
}

// unavailable is how a call ends to a worker that is not up: at once if its machine is up, and
// otherwise when the caller gives up. The lock must be held; it is released meanwhile.
func (w *Worker) unavailable(ctx context.Context) error {
	if w.refusing {
		return fmt.Errorf("dial: %w", fault.ErrNotSent)
	}
	w.all.mu.Unlock()
	<-ctx.Done()
	w.all.mu.Lock()
	return ctx.Err()
}

// checkCrashes checks a start of a task that has crashed workers. Orders that arrive late are
// excused. The lock must be held.
func (ws *Workers) checkCrashes(w *Worker, s assignment.Start) {
	c := ws.crashes[s.Task]
	if c == nil || c.caused < blamedAfter || w.late || !time.Now().After(w.delaysUntil) {
		return
	}
	if c.startsSince++; c.startsSince >= mostStarts {
		ws.violate("BUDGET: %v run %d starts on %s, %d times more after %d workers had crashed under it",
			s.Task, s.Run, w.name, c.startsSince, blamedAfter)
	}
}
