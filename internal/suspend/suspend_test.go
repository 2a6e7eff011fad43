package suspend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// TestSince: an instant ages by the monotonic clock and by suspensions after it, and not by earlier
// suspensions.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := 7 * time.Second
		clock := suspend.Clock(func() time.Duration { return gap })
		m := clock.Now()
		time.Sleep(time.Second)
		if got := clock.Since(m); got != time.Second {
			t.Errorf("after a second the instant is %v old", got)
		}
		gap += 4 * time.Second
		if got := clock.Since(m); got != 5*time.Second {
			t.Errorf("after a suspension of 4 s more the instant is %v old", got)
		}
		if got := time.Since(clock.Monotonic(m)); got != 5*time.Second {
			t.Errorf("on the monotonic clock it is %v old", got)
		}
		if !clock.Monotonic(suspend.Instant{}).IsZero() {
			t.Error("the zero instant has a time")
		}
	})
}

// TestMachine: on a machine that is not suspended the suspended time stands still.
func TestMachine(t *testing.T) {
	clock := suspend.SystemClock()
	first := clock()
	for range 1000 {
		if got := clock(); (got - first).Abs() > 5*time.Millisecond {
			t.Fatalf("the suspended time went from %v to %v", first, got)
		}
	}
}
