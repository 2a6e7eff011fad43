package leader

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
	"yarrowgrade.example/yarrowgrade/jobs/job"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// counter is a tally.Counter that tests read.
type counter struct{ n atomic.Int64 }

func (c *counter) Inc(delta int64) { c.n.Add(delta) }

// sizes are the numbers of workers for which work is counted.
var sizes = []int{100, 200}

// agentPoll is a poll of the i-th of many agents, whose worker runs what is desired.
func agentPoll(i int, sequence int64, percent int) assignment.Poll {
	id := incarnation.ID{Instance: fmt.Sprintf("life-%d", i), StartMillis: 1}
	return assignment.Poll{
		Worker: fmt.Sprintf("w-%d", i), Agent: "a", Sequence: sequence, Term: 3, Complete: true, Wait: true,
		State: &assignment.WorkerState{ID: id, Service: "roster", Labels: []string{"a"}},
		Runs:  []assignment.Run{{RunID: runOf(i), Percent: percent}},
	}
}

func runOf(i int) assignment.RunID {
	return assignment.RunID{Task: job.TaskName{Job: job.ID(fmt.Sprintf("%016x", i))}, Run: 1}
}

// desiredOf says that the i-th worker runs what is desired, and that ends up to acked are stored.
func desiredOf(i int, acked int64) dispatch.DesiredState {
	p := agentPoll(i, 1, 0)
	run := dispatch.DesiredRun{Start: assignment.Start{RunID: runOf(i)}}
	return dispatch.DesiredState{
		Incarnation: p.State.ID,
		AckedEnd:    acked,
		Runs:        map[job.TaskName]dispatch.DesiredRun{runOf(i).Task: run},
	}
}

// withFleet runs a test with n agents that have polled, and whose workers run what is desired.
func withFleet(t *testing.T, n int, f func(t *testing.T, fl *fleet, answers *counter)) {
	synctest.Test(t, func(t *testing.T) {
		answers := &counter{}
		open := func() (catalog.Cordons, time.Time) { return nil, time.Now() }
		fl := newFleet(DefaultTiming(6*time.Second), suspend.Clock(nil), open, answers)
		fl.open(3)
		fl.prove(fl.clock.Now())
		all := map[string]dispatch.DesiredState{}
		for i := range n {
			p := agentPoll(i, 1, 0)
			p.Wait = false
			ask(t, fl, p)
			all[p.Worker] = desiredOf(i, 0)
		}
		fl.take()
		fl.publish(all)
		<-fl.decisionDue
		f(t, fl, answers)
	})
}

// TestPublicationWakesWhomItConcerns: each decision had all held polls answered again, and with
// 800 workers the leader spent most of its time on that. A change for one worker makes one
// answer, however many workers there are.
func TestPublicationWakesWhomItConcerns(t *testing.T) {
	for _, n := range sizes {
		withFleet(t, n, func(t *testing.T, fl *fleet, answers *counter) {
			for i := range n {
				go fl.serve(t.Context(), agentPoll(i, 2, 1))
			}
			synctest.Wait()
			before := answers.n.Load()
			fl.take()
			fl.publish(map[string]dispatch.DesiredState{"w-7": desiredOf(7, 1)})
			synctest.Wait()
			if got := answers.n.Load() - before; got != 1 {
				t.Errorf("%d polls of %d were answered again for one worker, want 1", got, n)
			}
			time.Sleep(fl.timing.PollWait)
			synctest.Wait()
		})
	}
}

// TestPollsWithNothingNew: each poll of each agent made a decision, 1,600 a second with 800
// workers, though it only brought progress of runs.
func TestPollsWithNothingNew(t *testing.T) {
	for _, n := range sizes {
		withFleet(t, n, func(t *testing.T, fl *fleet, _ *counter) {
			decisions := 0
			for round := range 3 {
				for i := range n {
					p := agentPoll(i, int64(2+round), 10*round)
					p.Wait = false
					ask(t, fl, p)
					decisions += drained(fl.decisionDue)
				}
			}
			if decisions != 0 {
				t.Errorf("%d polls of %d asked for a decision, want none", decisions, 3*n)
			}
			if got := len(fl.take()); got != n {
				t.Errorf("%d polls are there for the next decision, want %d", got, n)
			}
		})
	}
}

func drained(news <-chan struct{}) int {
	select {
	case <-news:
		return 1
	default:
		return 0
	}
}

// TestPollsThatDecide: lists what a poll may say that needs a decision at once, and what does
// not.
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
				if got := drained(fl.decisionDue) == 1; got != test.decides {
					t.Errorf("it asks for a decision: %v, want %v", got, test.decides)
				}
			})
		})
	}
}

// TestLapsedLeaseWakes: a start that was held back because the proof of leadership was too old
// waited until the poll had been held for its full time. It is sent as soon as there is a newer
// proof.
func TestLapsedLeaseWakes(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fl *fleet, _ *counter) {
		time.Sleep(fl.timing.MaxProofAge + time.Millisecond)
		p := agentPoll(0, 2, 0)
		p.Runs = nil
		began := time.Now()
		go func() {
			time.Sleep(50 * time.Millisecond)
			fl.prove(fl.clock.Now())
		}()
		if a := ask(t, fl, p); len(a.Start) != 1 || time.Since(began) != 50*time.Millisecond {
			t.Errorf("after %v it is told to start %v", time.Since(began), a.Start)
		}
	})
}

// TestRoundsOfAQuietLeader: a leader decided three times for each of its appends: its own record
// woke it when it was written, and again when it was read.
func TestRoundsOfAQuietLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(10 * time.Second) }()
		scope := tally.NewTestScope("", nil)
		log, config, announced := jobtest.NewLog(1), jobtest.NewLog(2), jobtest.NewLog(3).Client("e")
		directory := directory.NewDirectory(announced, zerolog.Nop())
		replica := jobstore.NewReplica(log.Client("e"), func() int { return 1 }, zerolog.Nop())
		follower := catalog.NewFollower(config.Client("e"), catalog.Format{ConfigKey: "config"}, zerolog.Nop())
		settings := Settings{
			Entry:       "e",
			Incarnation: "e/1",
			Address:     "e",
			Timing:      DefaultTiming(6 * time.Second),
			Dispatch:    dispatch.DefaultSettings(),
		}
		c := New(settings, Dependencies{
			Log:          log.Client("e"),
			Replica:      replica,
			Catalog:      follower,
			DirectoryLog: announced,
			Directory:    directory,
			Latency:      replica.Latency(),
			Logger:       zerolog.Nop(),
			Metrics:      scope,
		})
		go replica.Run(ctx)
		go follower.Run(ctx)
		go directory.Run(ctx)
		go c.Run(ctx)
		time.Sleep(5 * time.Second)
		before := roundsIn(scope)
		const watched = 10 * time.Second
		time.Sleep(watched)
		// One when a decision is due by itself, and one when a heartbeat is.
		most := int(watched/settings.Dispatch.MaxInterval) + int(watched/settings.Timing.HeartbeatInterval) + 1
		if got := roundsIn(scope) - before; got == 0 || got > most {
			t.Errorf("%d rounds in %v without any news, want at most %d", got, watched, most)
		}
	})
}

// roundsIn is how many rounds of the leading goroutine a scope has counted.
func roundsIn(scope tally.TestScope) int {
	rounds := 0
	for _, h := range scope.Snapshot().Histograms() {
		if h.Name() == "pass_time" {
			for _, n := range h.Durations() {
				rounds += int(n)
			}
		}
	}
	return rounds
}

// TestRest: decisions take at most a third of the leading goroutine's time, up to the longest
// rest.
func TestRest(t *testing.T) {
	tests := []struct{ worked, rest time.Duration }{
		{0, 0},
		{500 * time.Microsecond, 0},
		{time.Millisecond, 2 * time.Millisecond},
		{6 * time.Millisecond, 12 * time.Millisecond},
		{time.Second, maxRest},
	}
	for _, test := range tests {
		if got := restAfter(test.worked); got != test.rest {
			t.Errorf("after %v it rests for %v, want %v", test.worked, got, test.rest)
		}
	}
}

// TestPollsBuildOnOthers: a delta is answered like the full poll, and one to a poll that this
// leader does not have starts and stops nothing: the answer says on which poll the agent may
// build.
func TestPollsBuildOnOthers(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, fl *fleet, _ *counter) {
		brief := agentPoll(0, 2, 0)
		brief.Wait, brief.State, brief.Runs, brief.Complete = false, nil, nil, false
		brief.Delta = &assignment.Delta{Sequence: 1, Percents: []int{30}}
		if a := ask(t, fl, brief); a.LeaseMillis == 0 || len(a.Start)+len(a.Stop) != 0 || a.BasePoll != 1 {
			t.Errorf("it is answered with %+v", a)
		}
		if got := fl.take()["w-0"].poll; len(got.Runs) != 1 || got.Runs[0].Percent != 30 || got.Sequence != 2 {
			t.Errorf("the decision gets %+v", got)
		}
		brief.Sequence, brief.Delta = 3, &assignment.Delta{Sequence: 2, Percents: []int{40}}
		a := ask(t, fl, brief)
		if a.LeaseMillis != 0 || len(a.Start)+len(a.Stop) != 0 || a.BasePoll != 1 || !a.Incarnation.IsZero() {
			t.Errorf("on a poll that is not known here it is answered with %+v", a)
		}
		if got := len(fl.take()); got != 0 {
			t.Errorf("%d polls are taken over", got)
		}
	})
}
