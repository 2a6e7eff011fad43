package suspend_test

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// TestSince checks that the age of an instant includes monotonic time and later suspensions, but
// not earlier suspensions.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := 7 * time.Second
		clock := suspend.Clock(func() time.Duration { return suspended })
		start := clock.Now()
		time.Sleep(time.Second)
		if got := clock.Since(start); got != time.Second {
			t.Errorf("age after 1 s is %v, want 1s", got)
		}
		suspended += 4 * time.Second
		if got := clock.Since(start); got != 5*time.Second {
			t.Errorf("age after another suspension of 4 s is %v, want 5s", got)
		}
		if got := time.Since(clock.Monotonic(start)); got != 5*time.Second {
			t.Errorf("age of the converted time is %v, want 5s", got)
		}
		if !clock.Monotonic(suspend.Instant{}).IsZero() {
			t.Error("the zero instant converts to a non-zero time")
		}
	})
}

// TestMachine checks that the suspended time stays constant on a machine that is not suspended.
func TestMachine(t *testing.T) {
	clock := suspend.SystemClock()
	first := clock()
	for range 1000 {
		if got := clock(); (got - first).Abs() > 5*time.Millisecond {
			t.Fatalf("suspended time changed from %v to %v", first, got)
		}
	}
}
