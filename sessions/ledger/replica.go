package ledger

import (
	"context"
	"maps"
	"slices"
	"sync"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Replica holds the newest state known to a process. Only one goroutine may call Apply and Replace;
// the other methods are safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
	// workerWaiters has a channel for each worker that goroutines wait for. The channel is closed
	// when the worker changes.
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
// configuration changes. Long polls use it instead of Watch, because most records affect few
// workers and waking every poll on each record would cost time quadratic in the number of agents.
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
// includes and stops at a gap, so that the state neither misses a record nor regresses.
func (r *Replica) Apply(records []hosting.Record) []Verdict {
	state := r.State()
	var verdicts []Verdict
	var changedWorkers []string
	for _, record := range records {
		if record.Offset <= state.revision {
			continue
		}
		if record.Offset != state.revision+1 {
			break
		}
		var v Verdict
		state, v = state.Apply(record.Offset, record.Data)
		verdicts = append(verdicts, v)
		changedWorkers = append(changedWorkers, state.ChangedWorkers()...)
	}
	if len(verdicts) > 0 {
		r.publish(state, changedWorkers, false)
	}
	return verdicts
}

// Replace replaces the state if s is newer, and reports whether it did.
func (r *Replica) Replace(s State) bool {
	if s.revision <= r.State().revision {
		return false
	}
	r.publish(s, nil, true)
	return true
}

// publish sets the newest state and wakes the goroutines that wait for it. Goroutines that wait for
// a worker are woken if the worker is in changedWorkers, if the configuration changed, or if all is
// set.
func (r *Replica) publish(s State, changedWorkers []string, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all || s.configRevision != r.state.configRevision {
		changedWorkers = slices.Collect(maps.Keys(r.workerWaiters))
	}
	r.state = s
	close(r.changed)
	r.changed = make(chan struct{})
	for _, name := range changedWorkers {
		if c, found := r.workerWaiters[name]; found {
			close(c)
			delete(r.workerWaiters, name)
		}
	}
}

// Wait blocks until a state satisfies ok and returns that state. If ctx ends first, it returns the
// newest state and the error of ctx.
func (r *Replica) Wait(ctx context.Context, ok func(State) bool) (State, error) {
	return wait(ctx, r.Watch, ok)
}

// WaitWorker is like Wait, for conditions that depend only on one worker and the configuration.
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
