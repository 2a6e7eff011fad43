package runner_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

func TestRun(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); len(p.Runs) != 1 || p.Runs[0].RunID != id(1) {
			t.Errorf("the agent polls runs %+v, want one", p.Runs)
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
		time.Sleep(4 * time.Second)
		p := a.leader.last()
		if len(p.Runs) != 0 || len(p.Ends) != 1 || p.Ends[0].Reason != job.EndDone {
			t.Errorf("after the run has finished: runs %+v, ends %+v", p.Runs, p.Ends)
		}
		time.Sleep(3 * time.Second)
		if a.workers.AllDone(task.Job) && len(a.leader.last().Ends) != 1 {
			t.Error("an end that is not stored was dropped")
		}
		a.leader.set(func(answer *assignment.Answer) { answer.AckedEnd = 1 })
		time.Sleep(time.Second)
		if p := a.leader.last(); len(p.Ends) != 0 || p.AckedEnd != 1 {
			t.Errorf("a stored end is still reported: %+v", p.Ends)
		}
	})
}

// TestLeaseEnds checks that runs end without a leader when the granted lease expires, and not
// before.
func TestLeaseEnds(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		a.workers.Work = time.Minute
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.leader.mu.Lock()
		a.leader.down = true
		a.leader.mu.Unlock()
		time.Sleep(time.Second)
		if !a.workers.AnyRun(task.Job) {
			t.Error("the run ended one second after the leader failed")
		}
		time.Sleep(lease)
		if a.workers.AnyRun(task.Job) {
			t.Error("the run outlives its lease")
		}
	})
}

// TestSilentWorker checks that the runs of an unresponsive worker are given up once its lease has
// certainly expired, and that they are reported until the leader has acknowledged the report.
func TestSilentWorker(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		a.workers.Work = time.Minute
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
		a.worker.SetUnreachable(true)
		time.Sleep(4 * time.Second)
		if p := a.leader.last(); len(p.Refused) != 0 || !p.Unresponsive {
			t.Errorf("after 4 s: refused %+v, unresponsive %v", p.Refused, p.Unresponsive)
		}
		time.Sleep(6 * time.Second)
		if p := a.leader.last(); len(p.Refused) != 1 || p.Refused[0].RunID != id(1) || len(p.Runs) != 0 {
			t.Errorf("after 10 s: refused %+v, runs %+v", p.Refused, p.Runs)
		}
		a.leader.mu.Lock()
		a.leader.acks = true
		a.leader.mu.Unlock()
		time.Sleep(3 * time.Second)
		if p := a.leader.last(); len(p.Refused) != 0 {
			t.Errorf("refusals are repeated after their acknowledgment: %+v", p.Refused)
		}
	})
}

// TestOtherTerm checks that an agent does not return to a leader of a lower term.
func TestOtherTerm(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Term, answer.Fence = 5, 50 })
		time.Sleep(time.Second)
		a.leader.set(func(answer *assignment.Answer) {
			answer.Term, answer.Fence = 4, 99
			answer.Start = []assignment.Start{{RunID: id(1)}}
		})
		time.Sleep(2 * time.Second)
		if p := a.leader.last(); p.Term != 5 || len(p.Runs) != 0 {
			t.Errorf("the agent polls term %d and runs %+v, want term 5 and no runs", p.Term, p.Runs)
		}
	})
}

// TestSuspendedPoll checks that the answer to a poll during which the machine was suspended yields
// neither a lease that has expired nor a proof that is too old.
func TestSuspendedPoll(t *testing.T) {
	withAgent(t, func(t *testing.T, a *agent) {
		a.leader.mu.Lock()
		a.leader.down = true
		a.leader.mu.Unlock()
		time.Sleep(2 * lease)
		a.leader.mu.Lock()
		a.leader.down = false
		a.leader.onPoll = func() {
			suspended.Add(int64(lease + time.Second))
			a.leader.answer.Start = []assignment.Start{{RunID: id(1)}}
		}
		a.leader.mu.Unlock()
		time.Sleep(10 * time.Second)
		if a.workers.Starts > 0 {
			t.Errorf("%d runs started", a.workers.Starts)
		}
	})
}
