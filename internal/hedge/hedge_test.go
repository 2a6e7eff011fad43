package hedge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

var (
	errAway  = errors.New("away")
	errFinal = errors.New("final")
)

// service answers its tries as a test says: each entry is how long the try takes, and its error.
type service struct {
	takes []time.Duration
	errs  []error
	begun int
}

func (s *service) way(ctx context.Context, try int) (int, error) {
	s.begun++
	if try >= len(s.takes) {
		try = len(s.takes) - 1
	}
	select {
	case <-time.After(s.takes[try]):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return try, s.errs[try]
}

func after(int) time.Duration { return 100 * time.Millisecond }

func TestDo(t *testing.T) {
	const hour = time.Hour
	tests := []struct {
		name    string
		service service
		calls   Call[int]
		want    int
		err     error
		took    time.Duration
		begun   int
	}{
		{"the first answers", service{takes: []time.Duration{10 * time.Millisecond}, errs: []error{nil}}, Call[int]{}, 0, nil, 10 * time.Millisecond, 1},
		{"a lost answer", service{takes: []time.Duration{hour, 10 * time.Millisecond}, errs: []error{nil, nil}}, Call[int]{}, 1, nil, 110 * time.Millisecond, 2},
		{"a slow answer still counts", service{takes: []time.Duration{250 * time.Millisecond}, errs: []error{nil}}, Call[int]{}, 0, nil, 250 * time.Millisecond, 3},
		{"after a failure the next begins at once", service{takes: []time.Duration{10 * time.Millisecond, 10 * time.Millisecond}, errs: []error{errAway, nil}}, Call[int]{RetryDelay: time.Millisecond}, 1, nil, 21 * time.Millisecond, 2},
		{"a final error ends it", service{takes: []time.Duration{10 * time.Millisecond}, errs: []error{errFinal}}, Call[int]{}, 0, errFinal, 10 * time.Millisecond, 1},
		{"all have failed", service{takes: []time.Duration{10 * time.Millisecond}, errs: []error{errAway}}, Call[int]{MaxAttempts: 3}, 0, errAway, 30 * time.Millisecond, 3},
		{"a try is bounded", service{takes: []time.Duration{hour}, errs: []error{nil}}, Call[int]{MaxAttempts: 2}, 0, context.DeadlineExceeded, 1100 * time.Millisecond, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := test.calls
				calls.Attempt, calls.HedgeAfter, calls.Timeout = test.service.way, after, time.Second
				calls.IsPermanent = func(err error) bool { return errors.Is(err, errFinal) }
				began := time.Now()
				got, err := calls.Do(t.Context())
				if err == nil && got != test.want || !errors.Is(err, test.err) {
					t.Errorf("got %d, %v; want %d, %v", got, err, test.want, test.err)
				}
				if took := time.Since(began); took != test.took || test.service.begun != test.begun {
					t.Errorf("took %v with %d tries, want %v with %d", took, test.service.begun, test.took, test.begun)
				}
			})
		})
	}
}

// TestDoEnds: when the caller's time is over, so is the call, and nothing of it goes on.
func TestDoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
		defer cancel()
		s := service{takes: []time.Duration{time.Hour}, errs: []error{nil}}
		_, err := Call[int]{Attempt: s.way, HedgeAfter: after, Timeout: time.Second}.Do(ctx)
		if !errors.Is(err, context.DeadlineExceeded) || s.begun != 4 {
			t.Errorf("got %v after %d tries, want the deadline after 4", err, s.begun)
		}
	})
}

// TestWorse: an error that leaves doubt is not hidden by a later one that leaves none.
func TestWorse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service{takes: []time.Duration{time.Millisecond, time.Millisecond}, errs: []error{errAway, errFinal}}
		calls := Call[int]{Attempt: s.way, HedgeAfter: after, Timeout: time.Second, MaxAttempts: 2, MergeErrors: func(earlier, _ error) error { return earlier }}
		if _, err := calls.Do(t.Context()); !errors.Is(err, errAway) {
			t.Errorf("got %v, want %v", err, errAway)
		}
	})
}

func TestLatency(t *testing.T) {
	tests := []struct {
		name  string
		notes []time.Duration
		want  []time.Duration
	}{
		{"nothing known", nil, []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond}},
		{"quick", []time.Duration{8 * time.Millisecond}, []time.Duration{150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond}},
		{"slow at once", []time.Duration{8 * time.Millisecond, 300 * time.Millisecond}, []time.Duration{1200 * time.Millisecond, 1200 * time.Millisecond}},
		{"very slow", []time.Duration{time.Second}, []time.Duration{2 * time.Second, 2 * time.Second}},
		{"quick again", append([]time.Duration{time.Second}, make([]time.Duration, 40)...), []time.Duration{150 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := NewLatency()
			for _, n := range test.notes {
				l.Observe(n)
			}
			for try, want := range test.want {
				if got := l.HedgeDelay(try); got != want {
					t.Errorf("try %d: got %v, want %v", try, got, want)
				}
			}
		})
	}
}
