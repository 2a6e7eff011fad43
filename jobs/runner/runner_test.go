package runner_test

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

const lease = 6 * time.Second

// leader is a leader that wants what a test tells it to want.
type leader struct {
	mu     sync.Mutex
	answer assignment.Answer
	heard  bool
	polls  []assignment.Poll
	down   bool
	// keeps says that it keeps polls that describe the worker, so that later ones may build on them.
	keeps bool
	base  int64
	// during happens while each poll is under way, if it is set.
	during func()
}

// Poll implements runner.Leader. What a poll does not name and is wanted is started.
func (o *leader) Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error) {
	o.mu.Lock()
	o.polls = append(o.polls, p)
	o.mu.Unlock()
	if p.Wait {
		time.Sleep(300 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.during != nil {
		o.during()
	}
	if o.down {
		return assignment.Answer{}, context.DeadlineExceeded
	}
	a := o.answer
	if o.keeps && p.Delta == nil {
		o.base = max(o.base, p.Sequence)
	}
	a.BasePoll = o.base
	if p.Wait {
		a.HeldMillis = 300
	}
	if p.State != nil {
		a.Incarnation = p.State.ID
	}
	if o.heard {
		a.AckedPoll = p.Sequence
	}
	return a, nil
}

func (o *leader) set(f func(a *assignment.Answer)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.answer)
}

// last is the newest poll.
func (o *leader) last() assignment.Poll {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := o.polls[0]
	for _, p := range o.polls {
		if p.Sequence > newest.Sequence {
			newest = p
		}
	}
	return newest
}

// agent is a runner beside a stand-in worker.
type agent struct {
	leader  *leader
	workers *jobtest.Workers
	worker  *jobtest.Worker
	runner  *runner.Runner
}

var task = job.TaskName{Job: "0000000000000001"}

func id(run int) assignment.RunID { return assignment.RunID{Task: task, Run: run} }

// suspended is for how long the agent's machine was suspended, in nanoseconds.
var suspended atomic.Int64

// startAgent starts a runner beside a worker of two accelerators.
func startAgent(ctx context.Context, t *testing.T, o *leader) *agent {
	a := &agent{workers: jobtest.NewWorkers(1), leader: o}
	a.workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{{Tasks: 1, Resources: job.Resources{Accelerators: 1}}}})
	a.worker = a.workers.Add("w", "s", "z", "r", job.Resources{Accelerators: 2})
	a.runner = runner.New(runner.Settings{Name: "w", Agent: "1", Lease: lease, Drift: 0.03, CordonWithin: jobtest.CordonBound},
		runner.Dependencies{Worker: a.worker, Leader: a.leader, Logger: zerolog.Nop(), Metrics: tally.NoopScope, Suspension: func() time.Duration { return time.Duration(suspended.Load()) }})
	go a.workers.Run(ctx)
	go a.runner.Run(ctx)
	first, _ := a.worker.Beat()
	a.runner.Heartbeat(t.Context(), first)
	return a
}

func within(t *testing.T, f func(t *testing.T, a *agent)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := startAgent(ctx, t, &leader{answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: true}})
		time.Sleep(time.Second)
		f(t, a)
		for _, b := range a.workers.Report() {
			t.Error(b)
		}
		cancel()
		time.Sleep(20 * time.Second)
	})
}

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

// TestLeaseEnds: without a leader what runs ends when the lease that it gave is over, and not before.
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

// TestSilentWorker: what a silent worker ran is given up once its lease is surely over, and told until that was heard.
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

// TestRefusals: a run that does not fit, or that is to stop before it came, is told as one that never starts.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		room   job.Resources
		answer func(a *assignment.Answer)
	}{
		{"no room", job.Resources{Accelerators: 9}, func(a *assignment.Answer) { a.Start = []assignment.Start{{RunID: id(1)}} }},
		{"stopped before it came", job.Resources{Accelerators: 1}, func(a *assignment.Answer) { a.StopUnlisted = []assignment.RunID{id(1)} }},
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

// lossy is a worker whose answers are lost: that to the first start of a run, and those to listings for two seconds from then on.
type lossy struct {
	*jobtest.Worker
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

func (l *lossy) Sync(ctx context.Context, o runner.Order, until, seen int64, wait time.Duration) (runner.Listing, int64, error) {
	listing, clock, err := l.Worker.Sync(ctx, o, until, seen, wait)
	l.mu.Lock()
	deaf := time.Now().Before(l.deaf)
	l.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return runner.Listing{}, 0, ctx.Err()
	}
	return listing, clock, err
}

// TestEndedBeforeItsAnswer: a run that ended before its start was answered is told as ended, never as one that did not start:
// the leader would start its task once more.
func TestEndedBeforeItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		workers := jobtest.NewWorkers(1)
		workers.Work, workers.FailureShare = 200*time.Millisecond, 0
		workers.Expect(&job.Job{ID: task.Job, Service: "s", Steps: []job.Step{{Tasks: 1, Resources: job.Resources{Accelerators: 1}}}})
		worker := workers.Add("w", "s", "z", "r", job.Resources{Accelerators: 2})
		o := &leader{answer: assignment.Answer{Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: true, Start: []assignment.Start{{RunID: id(1)}}}}
		r := runner.New(runner.Settings{Name: "w", Agent: "1", Lease: lease, Drift: 0.03, CordonWithin: jobtest.CordonBound}, runner.Dependencies{
			Worker: &lossy{Worker: worker, started: map[assignment.RunID]bool{}}, Leader: o, Logger: zerolog.Nop(), Metrics: tally.NoopScope,
		})
		go workers.Run(ctx)
		go r.Run(ctx)
		life, _ := worker.Beat()
		r.Heartbeat(t.Context(), life)
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

// TestNewLife: a life that is over is told, and its runs are forgotten.
func TestNewLife(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = nil })
		old, _ := a.worker.Beat()
		a.worker.Crash(time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		next, _ := a.worker.Beat()
		if !a.runner.Heartbeat(t.Context(), next) || a.runner.Heartbeat(t.Context(), old) {
			t.Error("the new life must be taken and the old one not")
		}
		time.Sleep(time.Second)
		if p := a.leader.last(); p.State.ID != next.ID || len(p.Runs) != 0 || len(p.EndedIncarnations) != 1 || p.EndedIncarnations[0].ID != old.ID {
			t.Errorf("life %v, runs %+v, over %v", p.State.ID, p.Runs, p.EndedIncarnations)
		}
	})
}

// TestLifeEnd: where a worker goes, the agent says how, and what was there: a run that had begun with its age, one whose start got no answer, and
// none that was never sent.
func TestLifeEnd(t *testing.T) {
	begun := assignment.InterruptedRun{RunID: id(1), Started: true, AgeMillis: 400}
	tests := []struct {
		name   string
		strike func(a *agent, instance string)
		want   assignment.IncarnationEnd
	}{
		{"a run crashes it", func(a *agent, _ string) { a.workers.CrashOn(task, 400*time.Millisecond, 3*time.Second) }, assignment.IncarnationEnd{Runs: []assignment.InterruptedRun{begun}}},
		{"a start crashes it", func(a *agent, _ string) { a.workers.CrashOn(task, 0, 3*time.Second) }, assignment.IncarnationEnd{Runs: []assignment.InterruptedRun{{RunID: id(1)}}}},
		{"it leaves", func(a *agent, instance string) {
			time.AfterFunc(600*time.Millisecond, func() {
				a.worker.Leave(time.Minute)
				leaving, _ := a.worker.Beat()
				a.runner.Heartbeat(context.Background(), leaving)
			})
			time.AfterFunc(700*time.Millisecond, func() { a.runner.Deregister(instance); a.worker.Crash(3 * time.Second) })
		}, assignment.IncarnationEnd{Drained: true, Runs: []assignment.InterruptedRun{begun}}},
		{"it is away before the start", func(a *agent, _ string) { a.worker.CrashProcess(3 * time.Second) }, assignment.IncarnationEnd{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, a *agent) {
				present, _ := a.worker.Beat()
				test.want.ID, test.want.Complete = present.ID, true
				test.strike(a, present.ID.Instance)
				a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
				time.Sleep(3500 * time.Millisecond)
				next, _ := a.worker.Beat()
				a.runner.Heartbeat(t.Context(), next)
				time.Sleep(300 * time.Millisecond)
				p := a.leader.last()
				if len(p.EndedIncarnations) != 1 {
					t.Fatalf("the lives that are over are %+v, want %+v", p.EndedIncarnations, test.want)
				}
				p.EndedIncarnations[0].SinceMillis = 0
				for i, cut := range p.EndedIncarnations[0].Runs {
					p.EndedIncarnations[0].Runs[i].AgeMillis = cut.AgeMillis / 100 * 100
				}
				if !reflect.DeepEqual(p.EndedIncarnations[0], test.want) {
					t.Errorf("the life ended as %+v, want %+v", p.EndedIncarnations[0], test.want)
				}
			})
		})
	}
}

// TestLateHeartbeat: a heartbeat that was held up and is of a life that has crashed changes nothing, also for an agent that began after
// that life and has not heard of it.
func TestLateHeartbeat(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.workers.SetWork(time.Minute)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		present, _ := a.worker.Beat()
		late := present
		late.ID = incarnation.ID{Instance: "a life that the agent never knew"}
		if a.runner.Heartbeat(t.Context(), late) {
			t.Error("the late heartbeat was taken")
		}
		time.Sleep(time.Second)
		if p := a.leader.last(); p.State == nil || p.State.ID != present.ID || len(p.Runs) != 1 || len(p.EndedIncarnations) != 0 {
			t.Errorf("after it the agent says %+v", p)
		}
		if !a.runner.Heartbeat(t.Context(), present) {
			t.Error("the next heartbeat of the present life was not taken")
		}
	})
}

// TestPace: what fills beside a task that serves is slowed down until that is within its target, and works at full pace
// again once it is alone.
func TestPace(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		serves := &job.Job{ID: "0000000000000011", Service: "s", Steps: []job.Step{{Tasks: 1, LongRunning: true, LatencyTarget: 100 * time.Millisecond}}}
		fills := &job.Job{ID: "0000000000000012", Service: "s", Steps: []job.Step{{Tasks: 3, BestEffort: true}}}
		a.workers.Work = time.Minute
		a.workers.Expect(serves)
		a.workers.Expect(fills)
		var starts []assignment.Start
		serving := assignment.RunID{Task: job.TaskName{Job: serves.ID}, Run: 1}
		starts = append(starts, assignment.Start{RunID: serving})
		roles := []assignment.Role{{RunID: serving, LatencyTargetMillis: 100}}
		for i := range 3 {
			filling := assignment.RunID{Task: job.TaskName{Job: fills.ID, Index: i}, Run: 1}
			starts = append(starts, assignment.Start{RunID: filling})
			roles = append(roles, assignment.Role{RunID: filling, BestEffort: true})
		}
		a.leader.set(func(answer *assignment.Answer) { answer.Start, answer.Roles = starts, roles })
		time.Sleep(10 * time.Second)
		if got := a.worker.BestEffortSpeeds(); len(got) != 3 || got[0] >= 100 || got[0] != got[2] {
			t.Errorf("what fills works at %v, want three equal paces below 100", got)
		}
		time.Sleep(time.Minute)
		a.leader.set(func(answer *assignment.Answer) { answer.Start, answer.Stop = nil, []assignment.RunID{serving} })
		time.Sleep(5 * time.Second)
		for _, pace := range a.worker.BestEffortSpeeds() {
			if pace != 100 {
				t.Errorf("alone, what fills works at %d %%", pace)
			}
		}
	})
}

// TestPacer: the pace by the figures of the tasks that serve, look by look.
func TestPacer(t *testing.T) {
	serving, filling := id(1), assignment.RunID{Task: job.TaskName{Job: "0000000000000012"}, Run: 1}
	tests := []struct {
		name   string
		gauges []int
		want   int
	}{
		{"far over the target", []int{150, 150, 150}, 0},
		{"just below the target", []int{95}, 25},
		{"between", []int{80, 80}, 50},
		{"calm", []int{50, 50, 50}, 80},
		{"calm for long", []int{1, 1, 1, 1, 1, 1, 1, 1}, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := runner.PaceAfter(serving, filling, 100, test.gauges); got != test.want {
				t.Errorf("the pace is %d %%, want %d", got, test.want)
			}
		})
	}
}

// TestStartWaitsForOpenZone: a start is sent only while the proof that the worker's zone is open is new enough, however old the proof
// was when the leader sent it, and goes on by itself once there is a new one.
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
				a := startAgent(ctx, t, &leader{answer: assignment.Answer{
					Term: 1, Fence: 1, LeaseMillis: lease.Milliseconds(), ZoneOpen: test.open, ZoneProofMillis: test.age.Milliseconds(),
					Start: []assignment.Start{{RunID: id(1)}},
				}})
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

// takeOrderInHand leaves the agent with an order that it can't carry out, since its worker can't be reached, and without a leader.
func (a *agent) takeOrderInHand() {
	a.worker.SetUnreachable(true)
	a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
	time.Sleep(500 * time.Millisecond)
	a.leader.mu.Lock()
	defer a.leader.mu.Unlock()
	a.leader.down = true
}

// reachAgain lets the worker be reached, and report: with its room known anew, only the order's own bounds hold it back.
func (a *agent) reachAgain(t *testing.T) {
	t.Helper()
	a.worker.SetUnreachable(false)
	said, _ := a.worker.Beat()
	a.runner.Heartbeat(t.Context(), said)
}

// TestOrderInHand: an order that an agent could not carry out for a while is not carried out after the bound of a cordon that it cannot
// have heard of, although its lease would still allow it.
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

// TestSuspendedOrder: an order that an agent has in hand while its machine is suspended is not carried out once the lease that came with it is over, though
// by the agent's steady clock it is not: the leader may have given the run up, and started it elsewhere.
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

// TestSuspendedPoll: the answer to a poll that was under way while the machine was suspended gives no lease and no proof that is over.
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

// TestShrunkOrder: an order that an agent has in hand when its worker's room shrinks is carried out only once the leader has decided for the new room: it
// may have been for the old one.
func TestShrunkOrder(t *testing.T) {
	within(t, func(t *testing.T, a *agent) {
		a.worker.SetUnreachable(true)
		a.leader.set(func(answer *assignment.Answer) { answer.Start = []assignment.Start{{RunID: id(1)}} })
		time.Sleep(500 * time.Millisecond)
		a.worker.SetUnreachable(false)
		life, _ := a.worker.Beat()
		life.Capacity.Accelerators--
		for range 3 {
			a.runner.Heartbeat(t.Context(), life)
			time.Sleep(time.Second)
		}
		if a.workers.Starts > 0 {
			t.Errorf("%d runs started before the leader has heard of the new room", a.workers.Starts)
		}
		a.leader.mu.Lock()
		a.leader.heard = true
		a.leader.mu.Unlock()
		a.runner.Heartbeat(t.Context(), life)
		time.Sleep(time.Second)
		if a.workers.Starts != 1 {
			t.Errorf("%d runs started once it has, want 1", a.workers.Starts)
		}
	})
}
