package leader

import (
	"testing"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// TestPollsWithNothingNew checks that polls that only report progress of runs do not trigger
// decisions.
//
// It guards against one decision per poll, which amounted to 1,600 decisions a second with 800
// workers.
func TestPollsWithNothingNew(t *testing.T) {
	for _, n := range sizes {
		withFleet(t, n, func(t *testing.T, fl *fleet, _ *counter) {
			decisions := 0
			for round := range 3 {
				for i := range n {
					p := agentPoll(i, int64(2+round), 10*round)
					p.Wait = false
					ask(t, fl, p)
					decisions += drain(fl.decisionDue)
				}
			}
			if decisions != 0 {
				t.Errorf("%d of %d polls requested a decision, want none", decisions, 3*n)
			}
			if got := len(fl.take()); got != n {
				t.Errorf("%d polls are pending for the next decision, want %d", got, n)
			}
		})
	}
}

func drain(decisionDue <-chan struct{}) int {
	select {
	case <-decisionDue:
		return 1
	default:
		return 0
	}
}

// TestPollsThatDecide checks which changes in a poll require a decision at once and which do not.
func TestPollsThatDecide(t *testing.T) {
	other := runOf(99)
	tests := []struct {
		name    string
		change  func(p *assignment.Poll)
		decides bool
	}{
		{"nothing new", func(*assignment.Poll) {}, false},
		{"progress of a run", func(p *assignment.Poll) { p.Runs[0].Percent, p.Runs[0].Checkpoint = 70, "x" }, false},
		{"an end", func(p *assignment.Poll) {
			p.Runs, p.Ends = nil, []assignment.End{{RunID: runOf(0), Number: 1, Reason: job.EndDone}}
		}, true},
		{"a refusal", func(p *assignment.Poll) { p.Runs, p.Refused = nil, []assignment.Refusal{{RunID: runOf(0)}} }, true},
		{"a run that is not desired", func(p *assignment.Poll) {
			p.Runs = append(p.Runs, assignment.Run{RunID: other})
		}, true},
		{"a desired task in another run", func(p *assignment.Poll) { p.Runs[0].Run = 2 }, true},
		{"a run that is gone", func(p *assignment.Poll) { p.Runs = nil }, true},
		{"another incarnation", func(p *assignment.Poll) { p.State.ID.StartMillis = 2 }, true},
		{"no state", func(p *assignment.Poll) { p.State = nil }, true},
		{"less capacity", func(p *assignment.Poll) { p.State.Capacity.Memory-- }, true},
		{"it drains", func(p *assignment.Poll) { p.State.Draining, p.State.DrainMillis = true, 4000 }, true},
		{"other labels", func(p *assignment.Poll) { p.State.Labels = []string{"b"} }, true},
		{"an incarnation that has ended", func(p *assignment.Poll) {
			p.EndedIncarnations = []assignment.IncarnationEnd{{ID: incarnation.ID{Instance: "x"}}}
		}, true},
		{"an incarnation that is closing", func(p *assignment.Poll) {
			p.ClosingIncarnations = []incarnation.ID{p.State.ID}
		}, true},
		{"silence", func(p *assignment.Poll) { p.Unresponsive = true }, true},
		{"failing", func(p *assignment.Poll) { p.FailingMillis = 300 }, true},
		{"not complete", func(p *assignment.Poll) { p.Complete, p.Runs = false, nil }, true},
		{"another agent", func(p *assignment.Poll) { p.Agent, p.Sequence = "b", 1 }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 1, func(t *testing.T, fl *fleet, _ *counter) {
				p := agentPoll(0, 2, 0)
				p.Wait = false
				test.change(&p)
				ask(t, fl, p)
				if got := drain(fl.decisionDue) == 1; got != test.decides {
					t.Errorf("poll requests a decision: %v, want %v", got, test.decides)
				}
			})
		})
	}
}
