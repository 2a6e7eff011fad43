package standin

import (
	"context"
	"slices"
	"sort"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

func (p *Platform) worker(name string) *worker {
	w, found := p.workers[name]
	if !found {
		w = &worker{tasks: make(map[int64]*task), fences: make(map[int]int64), stoppedTokens: make(map[int64]bool)}
		p.workers[name] = w
	}
	return w
}

// updateState ends a running task if its work is done or its lease has expired, and updates its
// progress.
func (t *task) updateState(now time.Time) {
	if t.State != hosting.TaskRunning {
		return
	}
	end := now
	if t.spec.Work > 0 {
		done := t.started.Add(t.spec.Work - t.spec.Checkpoint)
		if !done.After(now) && !done.After(t.expires) {
			t.State = hosting.TaskFinished
			end = done
		}
	}
	if t.State == hosting.TaskRunning && !t.expires.After(now) {
		t.State = hosting.TaskLapsed
		end = t.expires
	}
	t.Progress = t.spec.Checkpoint + end.Sub(t.started)
}

func (p *Platform) liveWorker(name string) (*worker, error) {
	w := p.worker(name)
	if w.gone {
		return nil, hosting.ErrWorkerGone
	}
	now := time.Now()
	for _, t := range w.tasks {
		t.updateState(now)
	}
	return w, nil
}

// StartTask implements hosting.Workers.
func (p *Platform) StartTask(_ context.Context, spec hosting.TaskSpec) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, err := p.liveWorker(spec.Worker)
	if err != nil {
		return err
	}
	if _, found := w.tasks[spec.Token]; found {
		return nil
	}
	if err := w.checkStart(spec); err != nil {
		return err
	}
	for _, a := range spec.Accelerators {
		w.fences[a] = spec.Token
	}
	now := time.Now()
	w.tasks[spec.Token] = &task{
		Task: hosting.Task{
			Session:      spec.Session,
			Token:        spec.Token,
			Accelerators: spec.Accelerators,
			State:        hosting.TaskRunning,
		},
		spec:       spec,
		started:    now,
		expires:    now.Add(spec.Lease),
		checkpoint: spec.Checkpoint,
	}
	return nil
}

// checkStart returns an error if the worker must not start the task.
func (w *worker) checkStart(spec hosting.TaskSpec) error {
	if w.stoppedTokens[spec.Token] {
		return hosting.ErrFenced
	}
	for _, a := range spec.Accelerators {
		if w.fences[a] > spec.Token {
			return hosting.ErrFenced
		}
	}
	wanted := func(a int) bool { return slices.Contains(spec.Accelerators, a) }
	for _, t := range w.tasks {
		if t.State == hosting.TaskRunning && slices.ContainsFunc(t.Accelerators, wanted) {
			return hosting.ErrAcceleratorBusy
		}
	}
	return nil
}

func (p *Platform) runningTask(name string, token int64) (*task, error) {
	w, err := p.liveWorker(name)
	if err != nil {
		return nil, err
	}
	t, found := w.tasks[token]
	if !found || t.State != hosting.TaskRunning {
		return nil, hosting.ErrNoTask
	}
	return t, nil
}

// RenewTask implements hosting.Workers.
func (p *Platform) RenewTask(_ context.Context, name string, token int64, lease time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.runningTask(name, token)
	if err != nil {
		return err
	}
	if until := time.Now().Add(lease); until.After(t.expires) {
		t.expires = until
	}
	return nil
}

// CheckpointTask implements hosting.Workers.
func (p *Platform) CheckpointTask(_ context.Context, name string, token int64) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, err := p.runningTask(name, token)
	if err != nil {
		return 0, err
	}
	t.checkpoint = t.spec.Checkpoint + time.Since(t.started)
	return t.checkpoint, nil
}

// StopTask implements hosting.Workers.
func (p *Platform) StopTask(_ context.Context, name string, token int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, err := p.liveWorker(name)
	if err != nil {
		return err
	}
	w.stoppedTokens[token] = true
	delete(w.tasks, token)
	return nil
}

// Tasks implements hosting.Workers.
func (p *Platform) Tasks(_ context.Context, name string) ([]hosting.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, err := p.liveWorker(name)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	tasks := make([]hosting.Task, 0, len(w.tasks))
	for _, t := range w.tasks {
		view := t.Task
		if view.State == hosting.TaskRunning {
			view.Progress = t.spec.Checkpoint + now.Sub(t.started)
		}
		tasks = append(tasks, view)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].Token < tasks[j].Token })
	return tasks, nil
}

// GoneWorkers implements hosting.Workers.
func (p *Platform) GoneWorkers(context.Context) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for name, w := range p.workers {
		if w.gone {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}
