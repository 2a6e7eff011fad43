package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestMayBeForgotten: a job that is not known counts as lost unless an entry has told its end, and
// callers may no longer ask for it.
func TestMayBeForgotten(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		told time.Duration
		want bool
	}{
		{"its end was never told", 0, false},
		{"told a moment ago", time.Second, false},
		{"told a second less than callers may ask", statusRetention - time.Second, false},
		{"told long ago", statusRetention, true},
	}
	for _, test := range tests {
		e := endings{}
		if test.told > 0 {
			e.note("a", "completed", now.Add(-test.told))
			e.note("a", "completed", now)
		}
		if got := e.mayBeForgotten("a", now); got != test.want {
			t.Errorf("%s: it may be forgotten: %v, want %v", test.name, got, test.want)
		}
	}
}

// said is what an entry says of each job: a state, or that it knows none.
type said string

const unknown said = ""

func (s said) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s == unknown {
		w.WriteHeader(statusUnknownJob)
		return
	}
	fmt.Fprintf(w, `{"state": %q}`, string(s))
}

// TestRealLossesAreCaught: that an entry may forget a job whose end was told long ago hides no job
// that it has forgotten too early, or never knew, or takes back.
func TestRealLossesAreCaught(t *testing.T) {
	const id = job.ID("0000000000000001")
	tests := []struct {
		name string
		// told is how long ago the end was told; zero if it was not.
		told    time.Duration
		entries []said
		lost    int
	}{
		{"forgotten everywhere before its end was told", 0, []said{unknown, unknown}, 2},
		{"forgotten everywhere a second too early", statusRetention - time.Second, []said{unknown, unknown}, 2},
		{"never known at one entry", 0, []said{"completed", unknown}, 1},
		{"taken back long after its end was told", statusRetention, []said{"running", unknown}, 1},
		{"queued for good", 0, []said{"queued", "queued"}, 2},
		{"forgotten when it may be", statusRetention, []said{unknown, unknown}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &cluster{}
			for _, s := range test.entries {
				server := httptest.NewServer(s)
				defer server.Close()
				c.entries = append(c.entries, &box{callers: server.Listener.Addr().String()})
			}
			d := &day{cluster: c, callers: newCallers(c, nil, false), endings: endings{}}
			d.callers.accepted[id] = true
			if test.told > 0 {
				d.endings.note(id, "completed", time.Now().Add(-test.told))
			}
			if lost := d.unsettled(t.Context()); len(lost) != test.lost {
				t.Errorf("%d lost, want %d: %v", len(lost), test.lost, lost)
			}
		})
	}
}
