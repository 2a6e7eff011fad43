package ledger

import (
	"context"
	"maps"
	"slices"
	"sync"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Replica holds the newest state that a process knows. One goroutine calls Apply and Replace; any
// goroutine may call the other methods.
type Replica struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
	// workerWaiters has a channel for each worker that a goroutine waits for. It is closed when
	// something changes for that worker.
	workerWaiters map[string]chan struct{}
}

// NewReplica returns a replica of the empty state.
func NewReplica() *Replica {
	return &Replica{
		state:         NewState(),
		changed:       make(chan struct{}),
		workerWaiters: make(map[string]chan struct{}),
	}
}

// State returns the newest state.
func (r *Replica) State() State {
	s, _ := r.Watch()
	return s
}

// Watch returns the newest state and a channel that is closed when a newer one arrives.
func (r *Replica) Watch() (State, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changed
}

// WatchWorker returns the newest state and a channel that is closed when the worker or the
// configuration changes. Most records concern few workers, so open polls use this instead of Watch:
// waking all of them for each record would take time quadratic in the number of agents.
func (r *Replica) WatchWorker(name string) (State, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, found := r.workerWaiters[name]
	if !found {
		c = make(chan struct{})
		r.workerWaiters[name] = c
	}
	return r.state, c
}

// Apply applies records and returns their verdicts. It skips records that the state already
// includes and stops at a gap, so the state neither misses a record nor goes back.
func (r *Replica) Apply(records []hosting.Record) []Verdict {
	state := r.State()
	var verdicts []Verdict
	var touched []string
	for _, record := range records {
		if record.Offset <= state.revision {
			continue
		}
		if record.Offset != state.revision+1 {
			break
		}
		var v Verdict
		state, v = state.With(record.Offset, record.Data)
		verdicts = append(verdicts, v)
		touched = append(touched, state.Touched()...)
	}
	if len(verdicts) > 0 {
		r.publish(state, touched, false)
	}
	return verdicts
}

// Replace replaces the state if s is newer, and reports whether it was.
func (r *Replica) Replace(s State) bool {
	if s.revision <= r.State().revision {
		return false
	}
	r.publish(s, nil, true)
	return true
}

// publish sets the newest state and wakes the goroutines that wait for it. Waiters for a worker are
// woken if the worker was touched, if the configuration changed, or if all is set.
func (r *Replica) publish(s State, touched []string, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all || s.configRevision != r.state.configRevision {
		touched = slices.Collect(maps.Keys(r.workerWaiters))
	}
	r.state = s
	close(r.changed)
	r.changed = make(chan struct{})
	for _, name := range touched {
		if c, found := r.workerWaiters[name]; found {
			close(c)
			delete(r.workerWaiters, name)
		}
	}
}

// Wait returns the first state that satisfies ok. If ctx ends first, it returns the newest
// state and the error of ctx.
func (r *Replica) Wait(ctx context.Context, ok func(State) bool) (State, error) {
	return wait(ctx, r.Watch, ok)
}

// WaitWorker is like Wait, for a condition that depends only on one worker and the configuration.
func (r *Replica) WaitWorker(ctx context.Context, name string, ok func(State) bool) (State, error) {
	return wait(ctx, func() (State, <-chan struct{}) { return r.WatchWorker(name) }, ok)
}

func wait(ctx context.Context, watch func() (State, <-chan struct{}), ok func(State) bool) (State, error) {
	for {
		s, changed := watch()
		if ok(s) {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s, ctx.Err()
		}
	}
}
