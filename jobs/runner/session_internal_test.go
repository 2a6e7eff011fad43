package runner

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestDropWithdrawn checks which runs are dropped after a list that does not contain them.
//
// It guards against a run that is given up although an attempt to start it is still on its way, and
// the worker would carry it out.
func TestDropWithdrawn(t *testing.T) {
	const listedUnder = 7
	tests := []struct {
		name    string
		run     run
		dropped bool
	}{
		{"withdrawn, sent with a lower fence", run{ordered: true, withdrawn: true, fence: listedUnder - 1}, true},
		{"withdrawn, sent with the fence of the list", run{ordered: true, withdrawn: true, fence: listedUnder}, false},
		{"withdrawn, but running", run{ordered: true, withdrawn: true, fence: listedUnder - 1, running: true}, false},
		{"withdrawn, but stopping", run{ordered: true, withdrawn: true, fence: listedUnder - 1, stopping: true}, false},
		{"not withdrawn", run{ordered: true, fence: listedUnder - 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newRunTable()
			id := assignment.RunID{Task: job.TaskName{Job: "0000000000000001"}, Run: 1}
			table.known[id] = &test.run
			reported := table.dropWithdrawn(listedUnder)
			if _, known := table.known[id]; known == test.dropped || reported != test.dropped {
				t.Errorf("the run is known: %v, reported as dropped: %v; want dropped: %v", known, reported, test.dropped)
			}
		})
	}
}
