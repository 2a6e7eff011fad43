package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
)

func TestFor(t *testing.T) {
	tests := []struct {
		name        string
		length, end time.Duration
		want        bool
		took        time.Duration
	}{
		{"whole", time.Second, time.Minute, true, time.Second},
		{"cut short", time.Minute, time.Second, false, time.Second},
		{"nothing to wait for", -time.Second, time.Minute, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.end)
				defer cancel()
				began := time.Now()
				if got := pause.For(ctx, test.length); got != test.want || time.Since(began) != test.took {
					t.Errorf("got %v after %v, want %v after %v", got, time.Since(began), test.want, test.took)
				}
				cancel()
				if pause.For(ctx, 0) {
					t.Error("For returned true for a context that has ended")
				}
			})
		})
	}
}
