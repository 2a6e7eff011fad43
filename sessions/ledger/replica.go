package ledger

import (
	"context"
	"maps"
	"slices"
	"sync"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// Replica holds a process's newest state. One goroutine calls Apply and Replace; any may read.
type Replica struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
	// workerWaiters has for each worker that someone waits for the channel to close when something
	// changes for it.
	workerWaiters map[string]chan struct{}
}

// NewReplica returns a replica of the empty state.
func NewReplica() *Replica {
	return &Replica{state: NewState(), changed: make(chan struct{}), workerWaiters: make(map[string]chan struct{})}
}

// State returns the newest state.
func (r *Replica) State() State {
	s, _ := r.Watch()
	return s
}

// Watch returns the newest state and a channel that is closed when there is a newer one.
func (r *Replica) Watch() (State, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changed
}

// WatchWorker returns the newest state and a channel that is closed when there is one with a
// newer revision of the worker or of the configuration. With 1,400 workers nearly every record
// concerns only a few of them: waking all open polls for each record made the processor time of
// an entry grow with the square of its agents.
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

// Apply folds records in and returns their verdicts. Records that are not newer than the state
// are passed over, and a gap ends the call: the state never skips a record and never goes back.
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

// Replace takes a whole state if it is newer, and reports whether it did.
func (r *Replica) Replace(s State) bool {
	if s.revision <= r.State().revision {
		return false
	}
	r.publish(s, nil, true)
	return true
}

// publish makes the state the newest and wakes those who wait for it: of those who wait for a
// worker the ones touched, or all of them when the configuration has changed too.
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

// Wait returns the first state that satisfies ok, or the error of ctx.
func (r *Replica) Wait(ctx context.Context, ok func(State) bool) (State, error) {
	return wait(ctx, r.Watch, ok)
}

// WaitWorker is Wait for a condition on one worker and the configuration.
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
