// Package broadcast wakes all goroutines that wait for a change of a shared state.
//
// A Signal belongs to the state and is guarded by the same lock: a waiter that reads the state and
// takes the channel under one lock can't miss a change.
//
// # Usage
//
//	mu.Lock()
//	current, changed := state, signal.Next()
//	mu.Unlock()
//	<-changed // a later signal.Notify(), called with mu held, closes it
package broadcast

// Signal tells waiters of changes. The zero value is ready to use. Its methods must be called with
// the lock of its owner held.
type Signal struct {
	next chan struct{}
}

// Next returns a channel that the next Notify closes.
func (s *Signal) Next() <-chan struct{} {
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Notify wakes all waiters.
func (s *Signal) Notify() {
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
