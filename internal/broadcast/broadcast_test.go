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
		t.Error("the channel is closed before the next Notify")
	}
	s.Notify()
	if !closed(first) || !closed(second) {
		t.Error("Notify did not wake all waiters")
	}
	if closed(s.Next()) {
		t.Error("an earlier Notify wakes a later waiter")
	}
}
