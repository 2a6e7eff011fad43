package request

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestAdmission floods a target with one team's requests. The others get their share, refusals
// come at once and say when to come back, and what was refused did not run.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, target := newTestServer("one", 4, 20, func(team string) int { return map[string]int{"quiet": 3}[team] + 1 })
		var mu sync.Mutex
		done, slowRefusals := map[string]int{}, 0
		var wg sync.WaitGroup
		send := func(team, body string) {
			wg.Go(func() {
				began := time.Now()
				h := hop(body, "")
				h.Team, h.LeftMillis = team, 2000
				a := s.Serve(t.Context(), h)
				mu.Lock()
				defer mu.Unlock()
				if a.Outcome == Done {
					done[team]++
				}
				if a.Outcome == NotRun && (a.RetryAfterMillis < 1 || target.count(body) > 0) {
					t.Errorf("refused badly: %+v, ran %d", a, target.count(body))
				}
				if a.Outcome == NotRun && time.Since(began) > time.Second {
					slowRefusals++
				}
			})
		}
		for i := range 400 {
			send("flood", fmt.Sprintf("100ms%dns", i))
			if i%10 == 0 {
				send("quiet", fmt.Sprintf("100ms%dus", i+1))
			}
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		// 40 slots a second for 2 s; the quiet team asks for 20 a second, which is below its
		// share of 4/5.
		if done["quiet"] != 40 {
			t.Errorf("the team below its share got %d of 40 done; the flood %d", done["quiet"], done["flood"])
		}
		if done["flood"] < 20 {
			t.Errorf("the flood got only %d done: what the other leaves unused is not lent", done["flood"])
		}
		if slowRefusals > 0 {
			t.Errorf("%d refusals took longer than a second", slowRefusals)
		}
	})
}

// TestGivenUpAtOnce queues requests that look feasible, and then takes their chance away: the
// target becomes slow, or another team comes for its share. They are refused when that is seen
// and not when their deadlines pass.
func TestGivenUpAtOnce(t *testing.T) {
	shares := func(team string) int { return map[string]int{"owner": 9}[team] + 1 }
	tests := []struct {
		name string
		// Four requests of the time first hold the slots; then 30 of 100 ms wait, and the owner
		// sends its own.
		first  string
		owners int
		within time.Duration
	}{
		{"the target becomes slow", "3s", 0, 1910 * time.Millisecond},
		{"the owner comes", "100ms", 80, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := newTestServer("one", 4, 200, shares)
				for range 60 {
					// The target is known to take 100 ms.
					s.Serve(t.Context(), hop("100ms", ""))
				}
				var wg sync.WaitGroup
				send := func(team, body string, left int64, check func(Answer, time.Duration)) {
					wg.Go(func() {
						began := time.Now()
						h := hop(body, "")
						h.Team, h.LeftMillis = team, left
						check(s.Serve(t.Context(), h), time.Since(began))
					})
					synctest.Wait()
				}
				ignore := func(Answer, time.Duration) {}
				for range 4 {
					send("a", tt.first, 5000, ignore)
				}
				for i := range 30 {
					send("a", fmt.Sprintf("100ms%dns", i+1), 2000, func(a Answer, took time.Duration) {
						if a.Outcome == NotRun && took > tt.within {
							t.Errorf("refused after %v, want within %v: %s", took, tt.within, a.Reason)
						}
						if a.Outcome == Unknown || (a.Outcome == NotRun && a.RetryAfterMillis == 0) {
							t.Errorf("%+v", a)
						}
					})
				}
				for range tt.owners {
					send("owner", "100ms", 10_000, ignore)
				}
				wg.Wait()
			})
		})
	}
}

// TestLeave stops a server while requests run and wait. All are finished, and none is taken after.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestServer("one", 1, 10, equalShares)
		answers := make(chan Answer, 3)
		for range 3 {
			go func() { answers <- s.Serve(t.Context(), hop("1s", "")) }()
			synctest.Wait()
		}
		s.admission.Leave()
		if a := s.Serve(t.Context(), hop("1s", "")); a.Outcome != NotRun || !a.Leaving {
			t.Errorf("after Leave: %+v", a)
		}
		<-s.admission.Idle()
		if running, waiting := s.admission.Load(); running != 0 || waiting != 0 {
			t.Errorf("said to be idle with %d running and %d waiting", running, waiting)
		}
		for range 3 {
			if a := <-answers; a.Outcome != Done {
				t.Errorf("in flight: %+v", a)
			}
		}
	})
}
