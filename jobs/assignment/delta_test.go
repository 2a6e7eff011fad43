package assignment

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestOn checks that a delta is expanded only on the poll on which it builds, and that the result
// equals the full poll.
func TestOn(t *testing.T) {
	run := func(i int) RunID { return RunID{Task: job.TaskName{Job: "0000000000000001", Index: i}, Run: 2} }
	base := Poll{
		Worker:   "w",
		Agent:    "a",
		Sequence: 7,
		Term:     3,
		Complete: true,
		AckedEnd: 4,
		State:    &WorkerState{ID: incarnation.ID{Instance: "x", StartMillis: 1}},
		Runs:     []Run{{RunID: run(0), Percent: 10, AgeMillis: 900, ListedMillis: 800}, {RunID: run(1), Percent: 20}},
	}
	delta := &Delta{BaseSequence: 7, ElapsedMillis: 500, ListedMillis: 450, Percents: []int{15, 25}}
	next := Poll{Worker: "w", Agent: "a", Sequence: 9, Term: 3, Wait: true, Delta: delta}
	got, ok := next.Expand(base)
	if !ok || got.Sequence != 9 || !got.Wait || got.Delta != nil {
		t.Fatalf("got %+v, %v", got, ok)
	}
	if got.AckedEnd != 4 || !got.Complete || got.State != base.State {
		t.Fatalf("got %+v", got)
	}
	if want := (Run{RunID: run(0), Percent: 15, AgeMillis: 1400, ListedMillis: 1250}); got.Runs[0] != want {
		t.Errorf("first run is %+v, want %+v", got.Runs[0], want)
	}
	if want := (Run{RunID: run(1), Percent: 25}); got.Runs[1] != want {
		t.Errorf("second run, whose age is unknown, is %+v, want %+v", got.Runs[1], want)
	}
	tests := map[string]func(base, next *Poll){
		"another poll":         func(_, next *Poll) { next.Delta.BaseSequence = 8 },
		"another agent":        func(base, _ *Poll) { base.Agent = "b" },
		"other runs":           func(base, _ *Poll) { base.Runs = base.Runs[:1] },
		"none that is known":   func(base, _ *Poll) { *base = Poll{} },
		"one that says it all": func(_, next *Poll) { next.Delta = nil },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			b, n := base, next
			s := *next.Delta
			n.Delta = &s
			change(&b, &n)
			if _, ok := n.Expand(b); ok {
				t.Error("the delta was expanded on a poll on which it does not build")
			}
		})
	}
}
