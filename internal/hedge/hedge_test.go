package hedge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const ms = time.Millisecond

var (
	errUnavailable = errors.New("away")
	errPermanent   = errors.New("final")
)

// reply is the response of a service to an attempt: its latency and its error.
type reply struct {
	latency time.Duration
	err     error
}

// service responds to attempts with its replies in order, and repeats the last one. The value of a
// response is the index of the reply.
type service struct {
	replies  []reply
	attempts atomic.Int64
}

func (s *service) attempt(ctx context.Context, number int) (int, error) {
	s.attempts.Add(1)
	number = min(number, len(s.replies)-1)
	r := s.replies[number]
	select {
	case <-time.After(r.latency):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return number, r.err
}

func hedgeAfter100ms(int) time.Duration { return 100 * ms }

func TestDo(t *testing.T) {
	tests := []struct {
		name     string
		replies  []reply
		call     Call[int]
		want     int
		err      error
		took     time.Duration
		attempts int64
	}{
		{"the first answers", []reply{{10 * ms, nil}}, Call[int]{}, 0, nil, 10 * ms, 1},
		{"a lost answer", []reply{{time.Hour, nil}, {10 * ms, nil}}, Call[int]{}, 1, nil, 110 * ms, 2},
		{"a slow answer still counts", []reply{{250 * ms, nil}}, Call[int]{}, 0, nil, 250 * ms, 3},
		{
			"after a failure the next begins at once", []reply{{10 * ms, errUnavailable}, {10 * ms, nil}},
			Call[int]{RetryDelay: ms}, 1, nil, 21 * ms, 2,
		},
		{"a final error ends it", []reply{{10 * ms, errPermanent}}, Call[int]{}, 0, errPermanent, 10 * ms, 1},
		{"all have failed", []reply{{10 * ms, errUnavailable}}, Call[int]{MaxAttempts: 3}, 0, errUnavailable, 30 * ms, 3},
		{
			"an attempt is bounded", []reply{{time.Hour, nil}},
			Call[int]{MaxAttempts: 2}, 0, context.DeadlineExceeded, 1100 * ms, 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := service{replies: test.replies}
				call := test.call
				call.Attempt, call.HedgeAfter, call.Timeout = s.attempt, hedgeAfter100ms, time.Second
				call.IsPermanent = func(err error) bool { return errors.Is(err, errPermanent) }
				began := time.Now()
				got, err := call.Do(t.Context())
				if err == nil && got != test.want || !errors.Is(err, test.err) {
					t.Errorf("got %d, %v; want %d, %v", got, err, test.want, test.err)
				}
				if took := time.Since(began); took != test.took || s.attempts.Load() != test.attempts {
					t.Errorf("took %v with %d attempts, want %v with %d", took, s.attempts.Load(), test.took, test.attempts)
				}
			})
		})
	}
}

// TestDoEnds checks that the call and all its attempts end with the context.
func TestDoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 350*ms)
		defer cancel()
		s := service{replies: []reply{{time.Hour, nil}}}
		_, err := Call[int]{Attempt: s.attempt, HedgeAfter: hedgeAfter100ms, Timeout: time.Second}.Do(ctx)
		if !errors.Is(err, context.DeadlineExceeded) || s.attempts.Load() != 4 {
			t.Errorf("got %v after %d attempts, want deadline exceeded after 4", err, s.attempts.Load())
		}
	})
}

// TestWorse checks that MergeErrors can keep an earlier error. An error that leaves the outcome
// uncertain must not be hidden by a later one.
func TestWorse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service{replies: []reply{{ms, errUnavailable}, {ms, errPermanent}}}
		call := Call[int]{
			Attempt:     s.attempt,
			HedgeAfter:  hedgeAfter100ms,
			Timeout:     time.Second,
			MaxAttempts: 2,
			MergeErrors: func(earlier, _ error) error { return earlier },
		}
		if _, err := call.Do(t.Context()); !errors.Is(err, errUnavailable) {
			t.Errorf("got %v, want %v", err, errUnavailable)
		}
	})
}

func TestLatency(t *testing.T) {
	tests := []struct {
		name     string
		observed []time.Duration
		want     []time.Duration
	}{
		{"nothing known", nil, []time.Duration{150 * ms, 300 * ms, 500 * ms, 500 * ms}},
		{"quick", []time.Duration{8 * ms}, []time.Duration{150 * ms, 300 * ms, 500 * ms}},
		{"slow at once", []time.Duration{8 * ms, 300 * ms}, []time.Duration{1200 * ms, 1200 * ms}},
		{"very slow", []time.Duration{time.Second}, []time.Duration{2 * time.Second, 2 * time.Second}},
		{
			"quick again", append([]time.Duration{time.Second}, make([]time.Duration, 40)...),
			[]time.Duration{150 * ms},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := NewLatency()
			for _, took := range test.observed {
				l.Observe(took)
			}
			for attempt, want := range test.want {
				if got := l.HedgeDelay(attempt); got != want {
					t.Errorf("attempt %d: got %v, want %v", attempt, got, want)
				}
			}
		})
	}
}
