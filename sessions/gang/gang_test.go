package gang

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
)

const testToken = 7

// testGang is a gang of three members with one leader, on the workers of the stand-in platform.
type testGang struct {
	platform *standin.Platform
	leader   *Leader
	members  []*Member
	links    []*testLink
	frozen   []*frozenWorkers
}

// testLink calls the leader directly unless the link is cut.
type testLink struct {
	leader *Leader
	mu     sync.Mutex
	cut    bool
	// losesAnswers drops every answer of the leader.
	losesAnswers bool
}

func (l *testLink) loseAnswers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losesAnswers = true
}

func (l *testLink) isLosingAnswers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.losesAnswers
}

func (l *testLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *testLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *testLink) Heartbeat(ctx context.Context, b Heartbeat) (Grant, error) {
	if l.isCut() {
		<-ctx.Done()
		return Grant{}, ctx.Err()
	}
	g := l.leader.Heartbeat(ctx, b)
	if l.isCut() || l.isLosingAnswers() {
		return Grant{}, errors.New("answer lost")
	}
	return g, nil
}

// frozenWorkers blocks the StartTask and RenewTask calls of one member while it is frozen, like a
// suspended process. While it is down, these calls fail.
type frozenWorkers struct {
	hosting.Workers
	mu     sync.Mutex
	thawed chan struct{}
	down   bool
}

// errDown is the error of calls through frozenWorkers while it is down.
var errDown = errors.New("platform is down")

func (f *frozenWorkers) setDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
}

func (f *frozenWorkers) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thawed = make(chan struct{})
}

func (f *frozenWorkers) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.thawed)
	f.thawed = nil
}

func (f *frozenWorkers) wait() error {
	f.mu.Lock()
	thawed, down := f.thawed, f.down
	f.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
	if down {
		return errDown
	}
	return nil
}

func (f *frozenWorkers) StartTask(ctx context.Context, s hosting.TaskSpec) error {
	if err := f.wait(); err != nil {
		return err
	}
	return f.Workers.StartTask(ctx, s)
}

func (f *frozenWorkers) RenewTask(ctx context.Context, w string, token int64, lease time.Duration) error {
	if err := f.wait(); err != nil {
		return err
	}
	return f.Workers.RenewTask(ctx, w, token, lease)
}

func workerName(i int) string { return fmt.Sprintf("w%d", i) }

func newTestGang(ctx context.Context, wg *sync.WaitGroup, work time.Duration) *testGang {
	g := &testGang{platform: standin.New()}
	g.leader = NewLeader(testToken, []string{workerName(0), workerName(1), workerName(2)}, DefaultTiming())
	for i := range 3 {
		link := &testLink{leader: g.leader}
		workers := &frozenWorkers{Workers: g.platform}
		spec := hosting.TaskSpec{Worker: workerName(i), Session: "s", Token: testToken, Accelerators: []int{0, 1}, Work: work}
		m := NewMember(
			spec,
			link,
			workers,
			DefaultTiming(),
			func() {},
			func(ctx context.Context) context.Context { return ctx },
		)
		g.members, g.links, g.frozen = append(g.members, m), append(g.links, link), append(g.frozen, workers)
		wg.Go(func() { m.Run(ctx) })
	}
	return g
}

// start waits until all members are ready and starts the gang, as the ledger does.
func (g *testGang) start() {
	for !g.leader.Report().Ready {
		time.Sleep(10 * time.Millisecond)
	}
	g.leader.SetRunning()
}

// running returns the number of members whose task is running on the worker.
func (g *testGang) running() int {
	n := 0
	for i := range g.members {
		tasks, _ := g.platform.Tasks(context.Background(), workerName(i))
		for _, task := range tasks {
			if task.State == hosting.TaskRunning {
				n++
			}
		}
	}
	return n
}

// partial advances the clock by d and returns the time during which only some members ran.
func (g *testGang) partial(d time.Duration) time.Duration {
	const tick = 50 * time.Millisecond
	sum := time.Duration(0)
	for range d / tick {
		if n := g.running(); n != 0 && n != len(g.members) {
			sum += tick
		}
		time.Sleep(tick)
	}
	return sum
}

func TestNothingRunsUntilAllAreReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		g := newTestGang(ctx, &wg, 0)
		time.Sleep(10 * time.Second)
		if r := g.leader.Report(); !r.Ready || g.running() != 0 {
			t.Errorf("ready is %v with %d members running, want true with none", r.Ready, g.running())
		}
		g.leader.SetRunning()
		time.Sleep(500 * time.Millisecond)
		if n := g.running(); n != 3 {
			t.Errorf("%d members run 500 ms after the start, want all 3", n)
		}
		if p := g.partial(5 * time.Minute); p != 0 {
			t.Errorf("a healthy gang ran partially for %v", p)
		}
		cancel()
		wg.Wait()
	})
}

// TestMemberIsLost checks that the gang runs partially for at most MaxStopDelay after one member is
// lost, whatever the cause, and that in the end either none or all of its members run.
func TestMemberIsLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(g *testGang)
	}{
		{"cut off", func(g *testGang) { g.links[1].setCut(true) }},
		{"cut off for less than its lease", func(g *testGang) {
			g.links[1].setCut(true)
			time.AfterFunc(4*time.Second, func() { g.links[1].setCut(false) })
		}},
		{"the leader is cut off from all", func(g *testGang) {
			g.links[1].setCut(true)
			g.links[2].setCut(true)
		}},
		{"its worker is gone", func(g *testGang) { g.platform.RemoveWorker(workerName(1)) }},
		{"its platform refuses to renew", func(g *testGang) { g.frozen[1].setDown() }},
		{"asked to stop", func(g *testGang) { g.members[1].Stop() }},
		{"frozen while it renews, and woken later", func(g *testGang) {
			g.frozen[1].freeze()
			time.AfterFunc(time.Minute, g.frozen[1].thaw)
		}},
		{"frozen and woken just before its lease ends", func(g *testGang) {
			g.frozen[1].freeze()
			time.AfterFunc(4900*time.Millisecond, g.frozen[1].thaw)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var wg sync.WaitGroup
				ctx, cancel := context.WithCancel(t.Context())
				g := newTestGang(ctx, &wg, 0)
				g.start()
				time.Sleep(time.Minute)
				if g.running() != 3 {
					t.Fatalf("%d members run, want 3", g.running())
				}
				tt.lose(g)
				partial := g.partial(3 * time.Minute)
				t.Logf("ran partially for %v; the maximum is %v", partial, DefaultTiming().MaxStopDelay())
				if partial > DefaultTiming().MaxStopDelay() {
					t.Errorf("ran partially for %v, want at most %v", partial, DefaultTiming().MaxStopDelay())
				}
				if n := g.running(); n != 0 && n != 3 {
					t.Errorf("%d members are running at the end, want none or all 3", n)
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestGrantsNeverArrive drops all answers to one member from the start, while its heartbeats arrive
// and report that it is ready. The other members must not run without it for longer than
// MaxStopDelay.
func TestGrantsNeverArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		g := newTestGang(ctx, &wg, 0)
		g.links[1].loseAnswers()
		g.start()
		if partial := g.partial(time.Minute); partial > DefaultTiming().MaxStopDelay() {
			t.Errorf("ran partially for %v, want at most %v", partial, DefaultTiming().MaxStopDelay())
		}
		if r := g.leader.Report(); r.Failed == "" || g.running() != 0 {
			t.Errorf("%d members run, report %+v; want none running and a failure", g.running(), r)
		}
		cancel()
		wg.Wait()
	})
}

// TestFinish checks that a gang whose work ends is reported as finished, and that all members keep
// their leases until then.
func TestFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		g := newTestGang(ctx, &wg, time.Minute)
		g.start()
		time.Sleep(2 * time.Minute)
		if r := g.leader.Report(); !r.Finished || r.Failed != "" {
			t.Errorf("report %+v, want finished", r)
		}
		for _, m := range g.members {
			m.Stop()
		}
		wg.Wait()
		for i, m := range g.members {
			if s, progress := m.Status(); s != Stopped || progress != time.Minute {
				t.Errorf("member %d is %s with progress %v", i, s, progress)
			}
		}
		cancel()
	})
}

// TestLateStart checks that a worker refuses a start that arrives after the token was stopped,
// which a slow network can cause.
func TestLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New()
		spec := hosting.TaskSpec{Worker: "w", Token: 5, Accelerators: []int{0}, Lease: time.Minute}
		if err := p.StopTask(t.Context(), "w", 5); err != nil {
			t.Fatal(err)
		}
		if err := p.StartTask(t.Context(), spec); !errors.Is(err, hosting.ErrFenced) {
			t.Errorf("start after the stop: got %v, want ErrFenced", err)
		}
		spec.Token = 9
		if err := p.StartTask(t.Context(), spec); err != nil {
			t.Fatal(err)
		}
		if err := p.StopTask(t.Context(), "w", 9); err != nil {
			t.Fatal(err)
		}
		spec.Token = 8
		if err := p.StartTask(t.Context(), spec); !errors.Is(err, hosting.ErrFenced) {
			t.Errorf("start with an older token: got %v, want ErrFenced", err)
		}
	})
}

// TestCheckpoints checks that members save checkpoints while the gang runs, that the leader reports
// the work that all members have saved, and that no member has saved less when it stops.
func TestCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		g := newTestGang(ctx, &wg, 0)
		g.start()
		time.Sleep(9 * time.Minute)
		if r := g.leader.Report(); r.Progress != 0 {
			t.Errorf("progress %v before the first checkpoint", r.Progress)
		}
		time.Sleep(2 * time.Minute)
		r := g.leader.Report()
		if r.Progress < 10*time.Minute || r.Progress > 11*time.Minute {
			t.Errorf("progress %v after 11 minutes, want that of the checkpoint after 10 minutes", r.Progress)
		}
		g.links[1].setCut(true)
		time.Sleep(time.Minute)
		for i, m := range g.members {
			if s, progress := m.Status(); s != Stopped || progress < r.Progress {
				t.Errorf("member %d is %s with progress %v, want stopped with at least %v", i, s, progress, r.Progress)
			}
		}
		cancel()
		wg.Wait()
	})
}
