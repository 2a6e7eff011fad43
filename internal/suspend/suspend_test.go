package suspend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// TestSince: a mark ages by what passes on the steady clock and by what the machine was suspended, and by nothing from before it.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := 7 * time.Second
		clock := suspend.Clock(func() time.Duration { return gap })
		m := clock.Now()
		time.Sleep(time.Second)
		if got := clock.Since(m); got != time.Second {
			t.Errorf("after a second the mark is %v old", got)
		}
		gap += 4 * time.Second
		if got := clock.Since(m); got != 5*time.Second {
			t.Errorf("after a suspension of 4 s more the mark is %v old", got)
		}
		if got := time.Since(clock.Monotonic(m)); got != 5*time.Second {
			t.Errorf("on the steady clock it is %v old", got)
		}
		if !clock.Monotonic(suspend.Instant{}).IsZero() {
			t.Error("no moment has a time")
		}
	})
}

// TestMachine: on a machine that is not suspended the gap stands still.
func TestMachine(t *testing.T) {
	clock := suspend.SystemClock()
	first := clock()
	for range 1000 {
		if got := clock(); (got - first).Abs() > 5*time.Millisecond {
			t.Fatalf("the gap went from %v to %v", first, got)
		}
	}
}
