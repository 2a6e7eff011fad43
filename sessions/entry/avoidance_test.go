package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAvoidance checks the backoff for an agent whose target has become slow. The agent gets no new
// work for a time that doubles with each failure, up to a limit. After that it gets one request at
// a time, and normal traffic after the first answer.
func TestAvoidance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, agent := newAvoidance(), incarnation{worker: "w", id: "one"}
		want := func(what string, team string, inflight int, ok, suspect bool) {
			t.Helper()
			if gotOK, gotSuspect := a.eligible(agent, team, inflight); gotOK != ok || gotSuspect != suspect {
				t.Errorf("%s: eligible %v, suspect %v; want %v, %v", what, gotOK, gotSuspect, ok, suspect)
			}
		}
		want("new", "a", 7, true, false)
		for _, backoff := range []time.Duration{1, 2, 4, 8, 8} {
			a.recordFailure(agent)
			a.recordFailure(agent)
			time.Sleep(backoff*time.Second - time.Nanosecond)
			want("after a failure", "a", 0, true, true)
			time.Sleep(time.Nanosecond)
			want("after its backoff", "a", 0, true, false)
			want("during a trial request", "a", 1, true, true)
		}
		a.recordSuccess(agent)
		want("after an answer", "a", 7, true, false)
		a.markFull(agent, "a", time.Minute)
		want("for the refused team", "a", 0, false, false)
		want("for another team", "b", 0, true, false)
		time.Sleep(suspectFor)
		want("after the refusal expired", "a", 0, true, false)
		a.markLeaving(agent)
		time.Sleep(leavingFor - time.Nanosecond)
		want("after its leaving notice", "a", 0, false, false)
	})
}
