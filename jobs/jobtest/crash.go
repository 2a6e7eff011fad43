package jobtest

import (
	"context"
	"fmt"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Limits on tasks that crash workers.
const (
	// startLimitAfter is the number of workers that a task must have crashed before its further
	// starts are counted. The start with the number tooManyStarts violates the rule, as do those
	// after it.
	startLimitAfter = 3
	tooManyStarts   = 3
	// mayFailAfter is the number of workers that must have crashed while running a task before its
	// job may fail because of them.
	mayFailAfter = 2
)

// crasher describes a task that crashes its worker: the time from its start to the crash, and the
// downtime of the worker.
type crasher struct {
	after time.Duration
	away  time.Duration
}

// crashes counts the worker crashes of a task.
type crashes struct {
	// present counts the incarnations that crashed while they ran the task, for whatever reason;
	// caused counts those that the task crashed itself.
	present, caused int
	// startsSince counts the starts of the task since it has crashed startLimitAfter workers.
	startsSince int
}

// CrashOn makes a task crash each worker that starts it. The crash follows the start after the
// given time; if that is zero, the start gets no response. The worker restarts after the duration
// away.
func (ws *Workers) CrashOn(name job.TaskName, after, away time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.crashers[name] = crasher{after: after, away: away}
}

// crashesOf returns the crash counts of a task. The caller must hold the lock.
func (ws *Workers) crashesOf(name job.TaskName) *crashes {
	if ws.crashes[name] == nil {
		ws.crashes[name] = &crashes{}
	}
	return ws.crashes[name]
}

// CrashesBy returns the number of workers that a task has crashed.
func (ws *Workers) CrashesBy(name job.TaskName) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.crashesOf(name).caused
}

// MayFail reports whether a job may fail: because a task of it has failed too often, or because
// workers have crashed while running it.
func (ws *Workers) MayFail(id job.ID) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for name, c := range ws.crashes {
		if name.Job == id && c.present >= mayFailAfter {
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

// scheduleCrash crashes the worker of a run that has just started, now or later, if its task is set
// to do so. It returns an error if the start gets no response. The caller must hold the lock.
func (w *Worker) scheduleCrash(r *run) error {
	c, ok := w.workers.crashers[r.id.Task]
	if !ok {
		return nil
	}
	if c.after == 0 {
		w.crashBecauseOf(r, c.away)
		return errReset
	}
	time.AfterFunc(c.after, func() {
		w.workers.mu.Lock()
		defer w.workers.mu.Unlock()
		if w.up && w.runs[r.id.Task] == r {
			w.crashBecauseOf(r, c.away)
		}
	})
	return nil
}

// crashBecauseOf crashes the worker on account of a run. The machine stays up, so calls fail at
// once. The caller must hold the lock.
func (w *Worker) crashBecauseOf(r *run, away time.Duration) {
	w.workers.crashesOf(r.id.Task).caused++
	w.refusing = true
	w.crash(away)
}

// CrashProcess ends all runs, as a crash of the worker's process does. The machine stays up, so
// calls fail at once. The worker restarts after the duration away.
func (w *Worker) CrashProcess(away time.Duration) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.refusing = true
	w.crash(away)
}

// crash ends all runs; the worker restarts after the duration away. The caller must hold the lock.
func (w *Worker) crash(away time.Duration) {
	w.up = false
	for name := range w.runs {
		w.workers.crashesOf(name).present++
	}
	for _, r := range w.runs {
		w.end(r, job.EndLeaseExpired, time.Now())
	}
	time.AfterFunc(away, func() {
		w.workers.mu.Lock()
		defer w.workers.mu.Unlock()
		if !w.up {
			w.startIncarnation()
		}
	})
}

// unavailable returns the error of a call to a worker that is down or unreachable: at once if its
// machine is up, and otherwise when the call times out. The caller must hold the lock, which is
// released while waiting.
func (w *Worker) unavailable(ctx context.Context) error {
	if w.refusing {
		return fmt.Errorf("dial: %w", fault.ErrNotSent)
	}
	w.workers.mu.Unlock()
	<-ctx.Done()
	w.workers.mu.Lock()
	return ctx.Err()
}

// checkCrashes checks a start of a task that has crashed workers. Late orders are excused. The
// caller must hold the lock.
func (ws *Workers) checkCrashes(w *Worker, s assignment.Start) {
	c := ws.crashes[s.Task]
	if c == nil || c.caused < startLimitAfter || w.executingLate || !time.Now().After(w.delaysUntil) {
		return
	}
	if c.startsSince++; c.startsSince >= tooManyStarts {
		ws.addViolation("BUDGET: %v run %d starts on %s, start %d after the task crashed %d workers",
			s.Task, s.Run, w.name, c.startsSince, startLimitAfter)
	}
}
