package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPreferredProposesAtOnce checks that the entry of rank zero makes a shared proposal in the
// pass that first sees it, and that the entry of rank one waits for the stagger. It guards against
// reading the clock before the first-seen time is set: the real clock advances between the two
// readings, and each shared proposal then waited for the next pass, 200 ms later.
func TestPreferredProposesAtOnce(t *testing.T) {
	for range 1000 {
		c := newControl(nil)
		if !c.due(proposal{key: "place/s", shared: true}, 0) {
			t.Fatal("a new proposal is not due for the entry of rank zero")
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := newControl(nil)
		w := proposal{key: "place/s", shared: true}
		if c.due(w, stagger) {
			t.Error("due immediately for the entry of rank one")
		}
		time.Sleep(stagger - time.Nanosecond)
		if c.due(w, stagger) {
			t.Error("due before the stagger for the entry of rank one")
		}
		time.Sleep(time.Nanosecond)
		if !c.due(w, stagger) {
			t.Error("not due after the stagger for the entry of rank one")
		}
	})
}
