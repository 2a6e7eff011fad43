package runner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// TestRefusals: a run that does not fit, or that is stopped before its start came, is reported
// as one that never starts.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		room   job.Resources
		answer func(a *assignment.Answer)
	}{
		{"no room", job.Resources{Accelerators: 9}, func(a *assignment.Answer) {
			a.Start = []assignment.Start{{RunID: id(1)}}
		}},
		{"stopped before it came", job.Resources{Accelerators: 1}, func(a *assignment.Answer) {
			a.StopUnlisted = []assignment.RunID{id(1)}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, a *agent) {
				a.workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{{Tasks: 1, Resources: test.room}}})
				a.leader.set(test.answer)
				time.Sleep(2 * time.Second)
				if p := a.leader.last(); len(p.Refused) != 1 || p.Refused[0].RunID != id(1) {
					t.Errorf("refused: %+v", p.Refused)
				}
				a.leader.set(func(answer *assignment.Answer) {
					*answer = assignment.Answer{Term: 1, Fence: 1, LeaseMillis: 6000, Start: []assignment.Start{{RunID: id(1)}}}
				})
				time.Sleep(2 * time.Second)
				if a.workers.AnyRun(task.Job) {
					t.Error("it started after it was refused")
				}
			})
		})
	}
}

// lossy is a worker whose answers are lost: that to the first start of a run, and those to
// syncs for two seconds from then on.
type lossy struct {
	*jobtest.Worker
	// anonymous says that it does not say when it started.
	anonymous bool

	mu      sync.Mutex
	started map[assignment.RunID]bool
	deaf    time.Time
}

func (l *lossy) Start(ctx context.Context, o runner.Order, s assignment.Start, until int64) (int64, error) {
	l.mu.Lock()
	again := l.started[s.RunID]
	if !again {
		l.started[s.RunID], l.deaf = true, time.Now().Add(2*time.Second)
	}
	l.mu.Unlock()
	clock, err := l.Worker.Start(ctx, o, s, until)
	if !again {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return clock, err
}

func (l *lossy) Sync(
	ctx context.Context, o runner.Order, until, forget int64, wait time.Duration,
) (runner.Listing, int64, error) {
	listing, clock, err := l.Worker.Sync(ctx, o, until, forget, wait)
	l.mu.Lock()
	deaf := time.Now().Before(l.deaf)
	l.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return runner.Listing{}, 0, ctx.Err()
	}
	if l.anonymous {
		listing.StartMillis = 0
	}
	return listing, clock, err
}

// TestEndedBeforeItsAnswer: a run that ended before its start was answered was reported as one
// that did not start, and the leader started its task once more. It must be reported as ended,
// whether the worker says when it started, so that its list is asked for first, or does not, so
// that the start is sent again and refused.
func TestEndedBeforeItsAnswer(t *testing.T) {
	for name, anonymous := range map[string]bool{"incarnation is known": false, "instance only": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testEndedBeforeItsAnswer(t, anonymous) })
		})
	}
}

func testEndedBeforeItsAnswer(t *testing.T, anonymous bool) {
	ctx, cancel := context.WithCancel(t.Context())
	workers := jobtest.NewWorkers(1)
	workers.Work, workers.FailureShare = 200*time.Millisecond, 0
	step := job.Step{Tasks: 1, Resources: job.Resources{Accelerators: 1}}
	workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{step}})
	worker := workers.Add("w", "s", "z", "r", job.Resources{Accelerators: 2})
	o := granting()
	o.answer.Start = []assignment.Start{{RunID: id(1)}}
	r := runner.New(agentSettings("1"), runner.Dependencies{
		Worker:  &lossy{Worker: worker, anonymous: anonymous, started: map[assignment.RunID]bool{}},
		Leader:  o,
		Logger:  zerolog.Nop(),
		Metrics: tally.NoopScope,
	})
	go workers.Run(ctx)
	go r.Run(ctx)
	reported, _ := worker.Beat()
	if anonymous {
		reported.ID.StartMillis = 0
	}
	r.Heartbeat(t.Context(), reported)
	time.Sleep(5 * time.Second)
	ended := false
	for _, p := range o.polls {
		ended = ended || len(p.Ends) == 1 && p.Ends[0].Reason == job.EndDone
		if !ended && len(p.Refused) > 0 {
			t.Errorf("poll %d says that it did not start: %+v", p.Sequence, p.Refused)
			break
		}
	}
	if !ended {
		t.Error("its end was never told")
	}
	cancel()
	time.Sleep(20 * time.Second)
}

// TestStartWaitsForOpenZone: a start is sent only while the proof that the worker's zone is not
// cordoned is new enough, its age at the leader included, and is sent by itself once a new
// proof has come.
func TestStartWaitsForOpenZone(t *testing.T) {
	tests := []struct {
		name    string
		open    bool
		age     time.Duration
		started bool
	}{
		{"open", true, 0, true},
		{"open, proof at its limit", true, 3 * time.Second, true},
		{"open, proof too old", true, 4500 * time.Millisecond, false},
		{"cordoned", false, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				o := granting()
				o.answer.ZoneOpen, o.answer.ZoneProofMillis = test.open, test.age.Milliseconds()
				o.answer.Start = []assignment.Start{{RunID: id(1)}}
				a := startAgent(ctx, t, o)
				time.Sleep(time.Second)
				if started := a.workers.Starts > 0; started != test.started {
					t.Errorf("started is %v, want %v", started, test.started)
				}
				a.leader.set(func(answer *assignment.Answer) { answer.ZoneOpen, answer.ZoneProofMillis = true, 0 })
				time.Sleep(time.Second)
				if a.workers.Starts != 1 {
					t.Errorf("%d starts a second after the zone is known to be open, want 1", a.workers.Starts)
				}
				cancel()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// takeOrderInHand leaves the agent without a leader, and with a start that it can't send since
// its worker can't be reached.
func (a *agent) takeOrderInHand() {
	a.worker.SetUnreachable(true)
	a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
	time.Sleep(500 * time.Millisecond)
	a.leader.mu.Lock()
	defer a.leader.mu.Unlock()
	a.leader.down = true
}

// reachAgain lets the worker be reached, and report its capacity, so that only the bounds of
// the order hold it back.
func (a *agent) reachAgain(t *testing.T) {
	t.Helper()
	a.worker.SetUnreachable(false)
	said, _ := a.worker.Beat()
	a.runner.Heartbeat(t.Context(), said)
}

// TestOrderInHand: a start that could not be sent for a while is not sent any more once a
// cordon that the agent can't have heard of may bind, although its lease would still allow it.
func TestOrderInHand(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.takeOrderInHand()
		time.Sleep(3900 * time.Millisecond)
		a.reachAgain(t)
		time.Sleep(20 * time.Second)
		if a.workers.Starts > 0 {
			t.Errorf("%d runs started", a.workers.Starts)
		}
	})
}

// TestSuspendedOrder: a start that waits while the machine is suspended is not sent once its
// lease is over, though by the agent's monotonic clock it is not: the leader may have given the
// run up and started it elsewhere.
func TestSuspendedOrder(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.takeOrderInHand()
		suspended.Add(int64(lease))
		a.reachAgain(t)
		time.Sleep(20 * time.Second)
		if a.workers.Starts > 0 {
			t.Errorf("%d runs started", a.workers.Starts)
		}
	})
}

// TestShrunkOrder: a start that waits when the worker's capacity shrinks is sent only once the
// leader has decided for the new capacity.
func TestShrunkOrder(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.worker.SetUnreachable(true)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.worker.SetUnreachable(false)
		reported, _ := a.worker.Beat()
		reported.Capacity.Accelerators--
		for range 3 {
			a.runner.Heartbeat(t.Context(), reported)
			time.Sleep(time.Second)
		}
		if a.workers.Starts > 0 {
			t.Errorf("%d runs started before the leader has heard of the new capacity", a.workers.Starts)
		}
		a.leader.mu.Lock()
		a.leader.heard = true
		a.leader.mu.Unlock()
		a.runner.Heartbeat(t.Context(), reported)
		time.Sleep(time.Second)
		if a.workers.Starts != 1 {
			t.Errorf("%d runs started once it has, want 1", a.workers.Starts)
		}
	})
}

// TestSuspectOnGoneWorker: a start of a task under which workers have crashed is not sent to a worker
// that has just gone, so it doesn't count as one more crash under the task. Others are sent as ever.
//
// The sync that the agent holds shows after up to 1.7 s that the worker is gone; a start meanwhile
// got no answer, and the task was given up.
func TestSuspectOnGoneWorker(t *testing.T) {
	for _, suspect := range []bool{true, false} {
		t.Run(fmt.Sprintf("suspect %v", suspect), func(t *testing.T) {
			within(t, func(t *testing.T, a *agent) {
				time.Sleep(time.Second)
				a.worker.Crash(3 * time.Second)
				start := assignment.Start{RunID: id(1), Suspect: suspect}
				a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{start} })
				time.Sleep(2 * time.Second)
				a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
				time.Sleep(2 * time.Second)
				next, _ := a.worker.Beat()
				a.runner.Heartbeat(t.Context(), next)
				time.Sleep(time.Second)
				ended := a.leader.last().EndedIncarnations
				if len(ended) != 1 || !ended[0].Complete {
					t.Fatalf("ended incarnations: %+v", ended)
				}
				if blamed := len(ended[0].Runs) > 0; blamed == suspect {
					t.Errorf("the run may have been there: %v, want %v", blamed, !suspect)
				}
			})
		})
	}
}

// TestSuspectStarts: a start of a suspect is sent once its worker has answered.
func TestSuspectStarts(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) {
			answer.Start = []assignment.Start{{RunID: id(1), Suspect: true}}
		})
		time.Sleep(500 * time.Millisecond)
		if a.workers.Starts != 1 {
			t.Errorf("%d runs started, want 1", a.workers.Starts)
		}
	})
}
