package runner_test

import (
	"encoding/json"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// manyID is a run of one of many tasks.
func manyID(index int) assignment.RunID {
	return assignment.RunID{Task: job.TaskName{Job: "00000000000000ff", Index: index}, Run: 1}
}

// TestUnchangedIsNotToldAgain: an agent with eight runs told the same 1.1 KB twice a second. What a poll says while nothing but percentages changes is a number for each
// run. What ends is told in full.
func TestUnchangedIsNotToldAgain(t *testing.T) {
	for _, n := range []int{4, 8} {
		within(t, func(t *testing.T, a *agent) {
			a.workers.Expect(&job.Job{ID: "00000000000000ff", Service: "s", Steps: []job.Step{{Tasks: n}}})
			a.workers.Work = 6 * time.Second
			a.leader.mu.Lock()
			a.leader.keeps = true
			for i := range n {
				a.leader.answer.Start = append(a.leader.answer.Start, assignment.Start{RunID: manyID(i)})
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
				// Who polls, when, and on what it builds take some 150 bytes, a percentage and its comma up to four.
				if p.Delta == nil || len(data) > 150+4*n {
					t.Errorf("with %d runs of which nothing but percentages changes a poll has %d bytes: %s", n, len(data), data)
				}
			}
			full, ok := last.Expand(a.leader.described(last.Delta.Sequence))
			if !ok || len(full.Runs) != n || full.Runs[0].Percent <= 0 || full.Runs[0].Percent >= 100 || full.State == nil || !full.Complete {
				t.Errorf("the leader understands %+v", full)
			}
			time.Sleep(3 * time.Second)
			if p := a.leader.last(); p.Delta != nil || len(p.Ends) != n {
				t.Errorf("after %d runs have ended it is told %+v", n, p)
			}
		})
	}
}

// after lists the polls after one.
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

// described is the poll of that number.
func (o *leader) described(sequence int64) assignment.Poll { return o.after(sequence - 1)[0] }
