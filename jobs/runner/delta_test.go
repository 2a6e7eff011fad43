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

// TestUnchangedIsNotToldAgain: an agent with eight runs sent the same 1.1 KB twice a second.
// While nothing but percentages changes, a poll must have only a number for each run. Ends are
// reported in full.
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
				// The poll's frame takes some 150 bytes, a percentage and its comma up to four.
				if p.Delta == nil || len(data) > 150+4*n {
					t.Errorf("with %d runs of which nothing but percentages changes a poll has %d bytes: %s", n, len(data), data)
				}
			}
			if last.Delta == nil {
				t.Fatalf("with %d runs the newest poll is no delta", n)
			}
			full, ok := last.Expand(a.leader.described(last.Delta.Sequence))
			if !ok || len(full.Runs) != n || full.State == nil || !full.Complete {
				t.Fatalf("the leader understands %+v", full)
			}
			if percent := full.Runs[0].Percent; percent <= 0 || percent >= 100 {
				t.Errorf("the leader understands that the first run is at %d %%", percent)
			}
			time.Sleep(3 * time.Second)
			if p := a.leader.last(); p.Delta != nil || len(p.Ends) != n {
				t.Errorf("after %d runs have ended it is told %+v", n, p)
			}
		})
	}
}

// after lists the polls after the one with a number.
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

// described is the poll with a number.
func (o *leader) described(sequence int64) assignment.Poll { return o.after(sequence - 1)[0] }
