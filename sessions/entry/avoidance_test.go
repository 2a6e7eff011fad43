package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAvoidance walks an agent whose target has become slow through its failures. It gets no
// new work for a time that doubles, then one request at a time, and all again once that is
// answered.
func TestAvoidance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, agent := newAvoidance(), incarnation{worker: "w", id: "one"}
		want := func(what string, team string, inflight int, ok, suspect bool) {
			t.Helper()
			if gotOK, gotSuspect := a.usable(agent, team, inflight); gotOK != ok || gotSuspect != suspect {
				t.Errorf("%s: usable %v, suspect %v; want %v, %v", what, gotOK, gotSuspect, ok, suspect)
			}
		}
		want("new", "a", 7, true, false)
		for _, rest := range []time.Duration{1, 2, 4, 8, 8} {
			a.fail(agent)
			a.fail(agent)
			time.Sleep(rest*time.Second - time.Nanosecond)
			want("after a failure", "a", 0, true, true)
			time.Sleep(time.Nanosecond)
			want("after its rest", "a", 0, true, false)
			want("while it is tried", "a", 1, true, true)
		}
		a.succeed(agent)
		want("after an answer", "a", 7, true, false)
		a.refuse(agent, "a", time.Minute)
		want("for the team that was refused", "a", 0, false, false)
		want("for another team", "b", 0, true, false)
		time.Sleep(suspectFor)
		want("a while after the refusal", "a", 0, true, false)
		a.leave(agent)
		time.Sleep(leavingFor - time.Nanosecond)
		want("after it left", "a", 0, false, false)
	})
}
