package runner_test

import (
	"encoding/json"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// manyTaskRun returns the run of one of many tasks.
func manyTaskRun(index int) assignment.RunID {
	return assignment.RunID{Task: job.TaskName{Job: "00000000000000ff", Index: index}, Run: 1}
}

// TestUnchangedIsNotToldAgain checks that, while only percentages change, a poll contains just one
// number per run. Full polls would repeat 1.1 KB twice a second for an agent with eight runs. Ends
// are still reported in full.
func TestUnchangedIsNotToldAgain(t *testing.T) {
	for _, n := range []int{4, 8} {
		withAgent(t, func(t *testing.T, a *agent) {
			a.workers.Expect(&job.Job{ID: "00000000000000ff", Service: "s", Steps: []job.Step{{Tasks: n}}})
			a.workers.Work = 6 * time.Second
			a.leader.mu.Lock()
			a.leader.keepsPolls = true
			for i := range n {
				a.leader.answer.Start = append(a.leader.answer.Start, assignment.Start{RunID: manyTaskRun(i)})
			}
			a.leader.mu.Unlock()
			time.Sleep(2 * time.Second)
			began := a.leader.last().Sequence
			a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
			time.Sleep(3 * time.Second)
			last := a.leader.last()
			for _, p := range a.leader.after(began) {
				data, err := json.Marshal(p)
				if err != nil {
					t.Fatal(err)
				}
				// The rest of the poll takes some 150 bytes, a percentage with its comma up to
				// four.
				if p.Delta == nil || len(data) > 150+4*n {
					t.Errorf("poll with %d runs of which only percentages change has %d bytes: %s", n, len(data), data)
				}
			}
			if last.Delta == nil {
				t.Fatalf("newest poll with %d runs is not a delta", n)
			}
			full, ok := last.Expand(a.leader.poll(last.Delta.BaseSequence))
			if !ok || len(full.Runs) != n || full.State == nil || !full.Complete {
				t.Fatalf("the delta expands to %+v", full)
			}
			if percent := full.Runs[0].Percent; percent <= 0 || percent >= 100 {
				t.Errorf("in the expanded delta the first run is at %d %%", percent)
			}
			time.Sleep(3 * time.Second)
			if p := a.leader.last(); p.Delta != nil || len(p.Ends) != n {
				t.Errorf("after %d runs have ended the poll is %+v", n, p)
			}
		})
	}
}

// after returns the polls after the one with the given number.
func (o *leader) after(sequence int64) []assignment.Poll {
	o.mu.Lock()
	defer o.mu.Unlock()
	var polls []assignment.Poll
	for _, p := range o.polls {
		if p.Sequence > sequence {
			polls = append(polls, p)
		}
	}
	return polls
}

// poll returns the poll with the given number.
func (o *leader) poll(sequence int64) assignment.Poll { return o.after(sequence - 1)[0] }
