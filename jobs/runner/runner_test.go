package runner_test

import (
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

func TestRun(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		if p := a.leader.last(); len(p.Runs) != 1 || p.Runs[0].RunID != id(1) {
			t.Errorf("the runs are %+v", p.Runs)
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
		time.Sleep(4 * time.Second)
		p := a.leader.last()
		if len(p.Runs) != 0 || len(p.Ends) != 1 || p.Ends[0].Reason != job.EndDone {
			t.Errorf("after its work: runs %+v, ends %+v", p.Runs, p.Ends)
		}
		time.Sleep(3 * time.Second)
		if a.workers.AllDone(task.Job) && len(a.leader.last().Ends) != 1 {
			t.Error("an end that is not kept was forgotten")
		}
		a.leader.set(func(answer *assignment.Answer) { answer.AckedEnd = 1 })
		time.Sleep(time.Second)
		if p := a.leader.last(); len(p.Ends) != 0 || p.AckedEnd != 1 {
			t.Errorf("a kept end is still told: %+v", p.Ends)
		}
	})
}

// TestLeaseEnds: without a leader, runs end when the lease that it granted is over, and not
// before.
func TestLeaseEnds(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.workers.Work = time.Minute
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.leader.mu.Lock()
		a.leader.down = true
		a.leader.mu.Unlock()
		time.Sleep(time.Second)
		if !a.workers.AnyRun(task.Job) {
			t.Error("it ended a second after the leader was gone")
		}
		time.Sleep(lease)
		if a.workers.AnyRun(task.Job) {
			t.Error("it runs longer than the lease")
		}
	})
}

// TestSilentWorker: the runs of an unresponsive worker are given up once its lease is surely
// over, and reported until the leader has heard it.
func TestSilentWorker(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.workers.Work = time.Minute
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
		a.worker.SetUnreachable(true)
		time.Sleep(4 * time.Second)
		if p := a.leader.last(); len(p.Refused) != 0 || !p.Unresponsive {
			t.Errorf("after 4 s: refused %+v, silent %v", p.Refused, p.Unresponsive)
		}
		time.Sleep(6 * time.Second)
		if p := a.leader.last(); len(p.Refused) != 1 || p.Refused[0].RunID != id(1) || len(p.Runs) != 0 {
			t.Errorf("after 10 s: refused %+v, runs %+v", p.Refused, p.Runs)
		}
		a.leader.mu.Lock()
		a.leader.heard = true
		a.leader.mu.Unlock()
		time.Sleep(3 * time.Second)
		if p := a.leader.last(); len(p.Refused) != 0 {
			t.Errorf("it is told again after it was heard: %+v", p.Refused)
		}
	})
}

// TestOtherTerm: an agent does not go back to a leader of a lower term.
func TestOtherTerm(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Term, answer.Fence = 5, 50 })
		time.Sleep(time.Second)
		a.leader.set(func(answer *assignment.Answer) {
			answer.Term, answer.Fence = 4, 99
			answer.Start = []assignment.Start{{RunID: id(1)}}
		})
		time.Sleep(2 * time.Second)
		if p := a.leader.last(); p.Term != 5 || len(p.Runs) != 0 {
			t.Errorf("the term is %d and the runs are %+v", p.Term, p.Runs)
		}
	})
}

// TestSuspendedPoll: the answer to a poll that was under way while the machine was suspended
// gives no lease that is over and no proof that is too old.
func TestSuspendedPoll(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.leader.mu.Lock()
		a.leader.down = true
		a.leader.mu.Unlock()
		time.Sleep(2 * lease)
		a.leader.mu.Lock()
		a.leader.down = false
		a.leader.during = func() {
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
