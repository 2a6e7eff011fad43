package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPreferredProposesAtOnce wants the preferred entry to propose what it has just seen in the
// same pass, and the next in order to wait its time. On the real clock time passes between two
// readings: a reading taken before the proposal was noted made each shared one wait for the next
// pass, 200 ms later.
func TestPreferredProposesAtOnce(t *testing.T) {
	for range 1000 {
		c := newControl(nil)
		if !c.due(proposal{key: "place/s", shared: true}, 0) {
			t.Fatal("a want that was just seen is not due for the preferred entry")
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := newControl(nil)
		w := proposal{key: "place/s", shared: true}
		if c.due(w, stagger) {
			t.Error("due at once for the second entry")
		}
		time.Sleep(stagger - time.Nanosecond)
		if c.due(w, stagger) {
			t.Error("due too soon for the second entry")
		}
		time.Sleep(time.Nanosecond)
		if !c.due(w, stagger) {
			t.Error("not due after its time for the second entry")
		}
	})
}
