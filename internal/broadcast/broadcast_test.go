package broadcast

import "testing"

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestSignal(t *testing.T) {
	var s Signal
	s.Notify()
	first, second := s.Next(), s.Next()
	if closed(first) {
		t.Error("a channel is closed before the next change")
	}
	s.Notify()
	if !closed(first) || !closed(second) {
		t.Error("a waiter is not woken")
	}
	if closed(s.Next()) {
		t.Error("an earlier change wakes a later waiter")
	}
}
