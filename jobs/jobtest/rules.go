package jobtest

import (
	"fmt"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// violate records a violation of a rule. The lock must be held.
func (ws *Workers) violate(format string, args ...any) {
	at := time.Since(ws.started).Round(time.Millisecond)
	ws.Violations = append(ws.Violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// checkStart checks a start that a worker is about to carry out. The lock must be held.
func (ws *Workers) checkStart(w *Worker, s assignment.Start) {
	broken := len(ws.Violations)
	ws.checkRules(w, s)
	if w.stray && len(ws.Violations) > broken {
		ws.Violations = ws.Violations[:broken]
		ws.Strays++
	}
}

func (ws *Workers) checkRules(w *Worker, s assignment.Start) {
	j := ws.jobs[s.Task.Job]
	step := j.Steps[s.Task.Step]
	for _, other := range ws.workers {
		if r := other.runs[s.Task]; r != nil && other.up && other != w {
			ws.violate("TWICE: %v run %d starts on %s while run %d is on %s",
				s.Task, s.Run, w.name, r.id.Run, other.name)
		}
	}
	if ws.acked[s.Task] && !step.LongRunning {
		ws.violate("TWICE: %v run %d starts on %s after its end was taken note of", s.Task, s.Run, w.name)
	}
	for _, after := range step.DependsOn {
		for i := range j.Steps[after].Tasks {
			if !ws.done[job.TaskName{Job: j.ID, Round: s.Task.Round, Step: after, Index: i}] {
				ws.violate("ORDER: %v starts before step %d is done", s.Task, after)
			}
		}
	}
	if step.RequiredLabel != "" && !slices.Contains(w.state.Labels, step.RequiredLabel) {
		ws.violate("ROUTE: %v starts on %s, which has not the label %q", s.Task, w.name, step.RequiredLabel)
	}
	if j.Service != w.state.Service {
		ws.violate("ROUTE: %v starts on %s, which serves %q", s.Task, w.name, w.state.Service)
	}
	ws.checkBound(w, s, step)
	ws.checkCordon(w, s)
	ws.checkCrashes(w, s)
	if j.MaxAttempts > 0 && len(ws.failures[s.Task]) >= j.MaxAttempts && !step.LongRunning {
		ws.violate("BUDGET: %v run %d starts after %d failures", s.Task, s.Run, len(ws.failures[s.Task]))
	}
	if s.Spec != j.Spec {
		ws.violate("UNASKED: %v starts with the spec %q", s.Task, s.Spec)
	}
}

// checkBound checks that no more tasks of a step are on the worker than the step allows.
func (ws *Workers) checkBound(w *Worker, s assignment.Start, step job.Step) {
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
		ws.violate("ROUTE: %v is the %d. of its step on %s", s.Task, there, w.name)
	}
}

// CordonBound is how long after operators were told that an availability zone is cordoned a run may
// still start there.
const CordonBound = 5 * time.Second

// Cordon records that operators were told that an availability zone is cordoned.
func (ws *Workers) Cordon(zone string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if _, ok := ws.cordoned[zone]; !ok {
		ws.cordoned[zone] = time.Now()
	}
}

// Uncordon ends a Cordon.
func (ws *Workers) Uncordon(zone string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	delete(ws.cordoned, zone)
}

// ExpectDelays says that orders may arrive late for a time, because their sender or the link to the
// worker stands still.
func (w *Worker) ExpectDelays(length time.Duration) {
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	if until := time.Now().Add(length); until.After(w.delaysUntil) {
		w.delaysUntil = until
	}
}

// checkCordon checks a start in an availability zone that may be cordoned. Orders that arrive late,
// or that the worker carries out late, are excused.
func (ws *Workers) checkCordon(w *Worker, s assignment.Start) {
	at, ok := ws.cordoned[w.state.Zone]
	if since := time.Since(at); ok && since > CordonBound && !w.late && time.Now().After(w.delaysUntil) {
		ws.violate("EVAC: %v run %d starts on %s %v after its zone was cordoned", s.Task, s.Run, w.name, since)
	}
}

// acknowledge records that the leader has stored an end. The lock must be held.
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

// Report returns the violations.
func (ws *Workers) Report() []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Clone(ws.Violations)
}

// AllDone reports whether each task of a job has succeeded.
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

// AnyRun reports whether a task of a job is running.
func (ws *Workers) AnyRun(id job.ID) bool { return ws.Running(id) > 0 }

// Running counts the running tasks of a job.
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

// EndedAt returns when the last run of a job ended, and false while one runs or if none ever did.
func (ws *Workers) EndedAt(id job.ID) (time.Time, bool) {
	if ws.AnyRun(id) {
		return time.Time{}, false
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	at, ok := ws.lastEnd[id]
	return at, ok
}

// StartsIn counts the runs that were started in an availability zone.
func (ws *Workers) StartsIn(zone string) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.startsIn[zone]
}

// RunningIn counts the running tasks in an availability zone.
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
	w.all.mu.Lock()
	defer w.all.mu.Unlock()
	for name := range w.runs {
		if name.Job == id {
			return true
		}
	}
	return false
}

// EverRan reports whether a task of a job was ever started.
func (ws *Workers) EverRan(id job.ID) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.everStarted[id]
}
