package jobtest

import (
	"fmt"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// addViolation records a violation of a rule. The caller must hold the lock.
func (ws *Workers) addViolation(format string, args ...any) {
	at := time.Since(ws.started).Round(time.Millisecond)
	ws.Violations = append(ws.Violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// checkStart checks a start that a worker is about to execute. The caller must hold the lock.
func (ws *Workers) checkStart(w *Worker, s assignment.Start) {
	broken := len(ws.Violations)
	ws.checkRules(w, s)
	if w.staleOrder && len(ws.Violations) > broken {
		ws.Violations = ws.Violations[:broken]
		ws.StaleStarts++
	}
}

func (ws *Workers) checkRules(w *Worker, s assignment.Start) {
	j := ws.jobs[s.Task.Job]
	step := j.Steps[s.Task.Step]
	for _, other := range ws.workers {
		if r := other.runs[s.Task]; r != nil && other.up && other != w {
			ws.addViolation("TWICE: %v run %d starts on %s while run %d is on %s",
				s.Task, s.Run, w.name, r.id.Run, other.name)
		}
	}
	if ws.acked[s.Task] && !step.LongRunning {
		ws.addViolation("TWICE: %v run %d starts on %s after its end was acknowledged", s.Task, s.Run, w.name)
	}
	for _, after := range step.DependsOn {
		for i := range j.Steps[after].Tasks {
			if !ws.done[job.TaskName{Job: j.ID, Round: s.Task.Round, Step: after, Index: i}] {
				ws.addViolation("ORDER: %v starts before step %d is completed", s.Task, after)
			}
		}
	}
	if step.RequiredLabel != "" && !slices.Contains(w.state.Labels, step.RequiredLabel) {
		ws.addViolation("ROUTE: %v starts on %s, which lacks the label %q", s.Task, w.name, step.RequiredLabel)
	}
	if j.Service != w.state.Service {
		ws.addViolation("ROUTE: %v starts on %s, which serves %q", s.Task, w.name, w.state.Service)
	}
	ws.checkMaxPerWorker(w, s, step)
	ws.checkCordon(w, s)
	ws.checkCrashes(w, s)
	if j.MaxAttempts > 0 && len(ws.failures[s.Task]) >= j.MaxAttempts && !step.LongRunning {
		ws.addViolation("BUDGET: %v run %d starts after %d failures", s.Task, s.Run, len(ws.failures[s.Task]))
	}
	ws.checkCancel(w, s)
	if s.Spec != j.Spec {
		ws.addViolation("UNASKED: %v starts with the spec %q", s.Task, s.Spec)
	}
}

// CancelBound is the time after the acknowledgement of a cancel within which tasks of the job may
// still start.
const CancelBound = 3 * time.Second

// Cancel records that the cancel of a job was acknowledged. It must be called only while no fault
// excuses late starts: the store and the agents work.
func (ws *Workers) Cancel(id job.ID) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if _, ok := ws.cancelled[id]; !ok {
		ws.cancelled[id] = time.Now()
	}
}

// checkCancel checks a start of a task whose job may have been cancelled. Orders that the worker
// executes late are excused.
func (ws *Workers) checkCancel(w *Worker, s assignment.Start) {
	at, ok := ws.cancelled[s.Task.Job]
	if since := time.Since(at); ok && since > CancelBound && !w.executingLate {
		ws.addViolation("UNASKED: %v run %d starts on %s %v after its job was cancelled", s.Task, s.Run, w.name, since)
	}
}

// checkMaxPerWorker checks that the worker has no more tasks of a step than the step allows.
func (ws *Workers) checkMaxPerWorker(w *Worker, s assignment.Start, step job.Step) {
	if step.MaxPerWorker == 0 {
		return
	}
	there := 1
	for name := range w.runs {
		if sameStep(name, s.Task) {
			there++
		}
	}
	if there > step.MaxPerWorker {
		ws.addViolation("ROUTE: %v is task %d of its step on %s", s.Task, there, w.name)
	}
}

// CordonBound is the time after the acknowledgement of a cordon within which runs may still start
// in the cordoned availability zone.
const CordonBound = 5 * time.Second

// Cordon records that an operator's cordon of an availability zone was acknowledged.
func (ws *Workers) Cordon(zone string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if _, ok := ws.cordoned[zone]; !ok {
		ws.cordoned[zone] = time.Now()
	}
}

// Uncordon ends a cordon.
func (ws *Workers) Uncordon(zone string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	delete(ws.cordoned, zone)
}

// ExpectDelays excuses late orders for a time, because their sender or its link to the worker is
// stalled.
func (w *Worker) ExpectDelays(length time.Duration) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	if until := time.Now().Add(length); until.After(w.delaysUntil) {
		w.delaysUntil = until
	}
}

// checkCordon checks a start in an availability zone that may be cordoned. Orders that arrive late,
// or that the worker executes late, are excused.
func (ws *Workers) checkCordon(w *Worker, s assignment.Start) {
	at, ok := ws.cordoned[w.state.Zone]
	if since := time.Since(at); ok && since > CordonBound && !w.executingLate && time.Now().After(w.delaysUntil) {
		ws.addViolation("EVAC: %v run %d starts on %s %v after its zone was cordoned", s.Task, s.Run, w.name, since)
	}
}

// acknowledge records that the leader has stored an end. The caller must hold the lock.
func (ws *Workers) acknowledge(e assignment.End) {
	switch e.Reason {
	case job.EndDone:
		ws.acked[e.Task] = true
	case job.EndFailed:
		if ws.failures[e.Task] == nil {
			ws.failures[e.Task] = map[int]bool{}
		}
		ws.failures[e.Task][e.Run] = true
	}
}

// Report returns the violations found so far.
func (ws *Workers) Report() []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Clone(ws.Violations)
}

// AllDone reports whether all tasks of a job have succeeded.
func (ws *Workers) AllDone(id job.ID) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	j := ws.jobs[id]
	for round := range j.Rounds() {
		for step := range j.Steps {
			for i := range j.Steps[step].Tasks {
				if !ws.done[job.TaskName{Job: id, Round: round, Step: step, Index: i}] {
					return false
				}
			}
		}
	}
	return true
}

// AnyRun reports whether any task of a job is running.
func (ws *Workers) AnyRun(id job.ID) bool { return ws.Running(id) > 0 }

// Running returns the number of running tasks of a job.
func (ws *Workers) Running(id job.ID) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	n := 0
	for _, w := range ws.workers {
		for name := range w.runs {
			if name.Job == id && w.up {
				n++
			}
		}
	}
	return n
}

// EndedAt returns the time at which the last run of a job ended, and false if a run of it is active
// or none has ever ended.
func (ws *Workers) EndedAt(id job.ID) (time.Time, bool) {
	if ws.AnyRun(id) {
		return time.Time{}, false
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	at, ok := ws.lastEnd[id]
	return at, ok
}

// StartsIn returns the number of runs that were started in an availability zone.
func (ws *Workers) StartsIn(zone string) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.startsIn[zone]
}

// RunningIn returns the number of running tasks in an availability zone.
func (ws *Workers) RunningIn(zone string) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	n := 0
	for _, w := range ws.workers {
		if w.up && w.state.Zone == zone {
			n += len(w.runs)
		}
	}
	return n
}

// Runs reports whether a task of a job is running on the worker.
func (w *Worker) Runs(id job.ID) bool {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	for name := range w.runs {
		if name.Job == id {
			return true
		}
	}
	return false
}

// EverRan reports whether any task of a job was ever started.
func (ws *Workers) EverRan(id job.ID) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.everStarted[id]
}
