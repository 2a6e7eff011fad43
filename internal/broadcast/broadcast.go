// Package broadcast wakes all goroutines that wait for a change of shared state.
//
// A Signal belongs to the state and is guarded by the same lock. A waiter that reads the state and
// obtains the channel while holding the lock can't miss a change.
//
// # Usage
//
//	mu.Lock()
//	current, changed := state, signal.Next()
//	mu.Unlock()
//	<-changed // closed by the next signal.Notify(), which is called with mu held
package broadcast

// Signal notifies waiters of changes. The zero value is ready to use. The lock that guards the
// state must be held when calling its methods.
type Signal struct {
	next chan struct{}
}

// Next returns a channel that is closed by the next call of Notify.
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
