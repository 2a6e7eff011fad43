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
	// blamedAfter is how many workers must have crashed under a task before its starts are counted, mostStarts how many starts from
	// then on break the rule.
	blamedAfter = 3
	mostStarts  = 3
	// mayFailAfter is how many workers must have crashed under a task before its job may be given up.
	mayFailAfter = 2
)

// crasher is how a task crashes the workers that start it.
type crasher struct {
	after time.Duration
	away  time.Duration
}

// crashes is what is known of the crashes under a task.
type crashes struct {
	// under counts the lives that crashed while it was there, for whatever cause; by those of them that it crashed itself.
	under, caused int
	// startsSince counts its starts after it had crashed blamedAfter of them.
	startsSince int
}

// CrashOn makes a task crash each worker that starts it: so long after the start, and before the start is answered if that is zero. The
// worker is back in a new life after a while.
func (ws *Workers) CrashOn(name job.TaskName, after, back time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.crashers[name] = crasher{after: after, away: back}
}

// crashesOf returns what is known of the crashes under a task. The lock must be held.
func (ws *Workers) crashesOf(name job.TaskName) *crashes {
	if ws.crashes[name] == nil {
		ws.crashes[name] = &crashes{}
	}
	return ws.crashes[name]
}

// CrashesBy counts the workers that a task has crashed.
func (ws *Workers) CrashesBy(name job.TaskName) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.crashesOf(name).caused
}

// MayFail reports whether a job may be given up: a task of it has failed too often, or workers have crashed under it.
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

// crashBy lets a run that has just started crash its worker, if its task does that. It returns an error if the start gets no answer for that. The
// lock must be held.
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

// crashUnder crashes the worker by a run. Its machine is well, so calls fail at once. The lock must be held.
func (w *Worker) crashUnder(r *run, back time.Duration) {
	w.all.crashesOf(r.id.Task).caused++
	w.refusing = true
	w.crash(back)
}

// CrashProcess ends all that runs there as a crash of the worker does whose machine is well: calls fail at once.
func (w *Worker) CrashProcess(back time.Duration) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	w.refusing = true
	w.crash(back)
}

// crash ends all that runs there; the worker comes back in a new life after a while. The lock must be held.
func (w *Worker) crash(back time.Duration) {
	w.up = false
	for name := range w.runs {
		w.all.crashesOf(name).under++
	}
	for _, r := range w.runs {
		w.end(r, job.EndLeaseExpired, time.Now())
	}
	time.AfterFunc(back, func() {
		w.all.mu.Lock()
		defer w.all.mu.Unlock()
		if !w.up {
			w.startIncarnation()
		}
	})
}

// unavailable is how a call ends to a worker that is not up: at once where its machine is, and else with the call's time. The lock must be held; it
// is given up while that takes.
func (w *Worker) unavailable(ctx context.Context) error {
	if w.refusing {
		return fmt.Errorf("dial: %w", fault.ErrNotSent)
	}
	w.all.mu.Unlock()
	<-ctx.Done()
	w.all.mu.Lock()
	return ctx.Err()
}

// checkCrashes looks at a start of a task that has crashed workers: orders that come late are nobody's fault. The lock must be held.
func (ws *Workers) checkCrashes(w *Worker, s assignment.Start) {
	c := ws.crashes[s.Task]
	if c == nil || c.caused < blamedAfter || w.late || !time.Now().After(w.delaysUntil) {
		return
	}
	if c.startsSince++; c.startsSince >= mostStarts {
		ws.violate("BUDGET: %v run %d starts on %s, %d times more after %d workers had crashed under it", s.Task, s.Run, w.name, c.startsSince, blamedAfter)
	}
}
