package oracle

import (
	"fmt"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// Today's request path: 10 targets with 8 slots, 100 ms for each request, so 800 requests a second.
const (
	loadAgents   = 10
	loadSlots    = 8
	loadService  = 100 * time.Millisecond
	loadSeconds  = 4
	loadDeadline = time.Second
	capacity     = loadAgents * loadSlots * int(time.Second/loadService)
)

// loadCase is one load on the request path.
type loadCase struct {
	name string
	// wards and ports are requests a second of the two teams, whose shares are 3 and 1.
	wards, ports int
	before       func(s *system)
	// done is the least share of what could be done that must be done; behaving that of the team
	// below its share.
	done, behaving float64
	// ratio is how many times more the team of share 3 must get done than that of share 1, where
	// both want too much.
	ratio float64
	// p99 bounds how long the team below its share waits for what is done, if not zero.
	p99 time.Duration
}

// loadResult is what became of one team's requests.
type loadResult struct {
	sent, done, notRun, unknown int
	doneTimes, refusalTimes     []time.Duration
}

// TestLoad puts loads on the request path and checks how much is done in time, what the behaving
// team gets, and how quickly refusals are given. With -v it prints the table of
// docs/MEASUREMENTS.md.
func TestLoad(t *testing.T) {
	slow := func(s *system) {
		s.targets[0].delay, s.targets[1].delay = 10*loadService, 10*loadService
	}
	lose := func(s *system) { s.killAgent(0) }
	cases := []loadCase{
		{"0.5x", capacity / 4, capacity / 4, nil, 0.99, 0.99, 0, 0},
		{"1x", capacity / 2, capacity / 2, nil, 0.85, 0.95, 0, 0},
		{"2x", capacity, capacity, nil, 0.85, 0, 2, 0},
		{"5x", capacity * 5 / 2, capacity * 5 / 2, nil, 0.85, 0, 2, 0},
		{"ports floods 4x", capacity / 2, capacity * 4, nil, 0.85, 0.9, 0, 400 * time.Millisecond},
		{"0.5x, two targets slow", capacity / 4, capacity / 4, slow, 0.6, 0.6, 0, 0},
		{"0.5x, one target lost", capacity / 4, capacity / 4, lose, 0.95, 0.95, 0, 0},
		{"2x, one target lost", capacity, capacity, lose, 0.75, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { runLoad(t, c) }) })
	}
}

func runLoad(t *testing.T, c loadCase) {
	s := newSystemOf(t, 1, loadAgents, loadSlots)
	for _, target := range s.targets {
		target.delay = loadService
	}
	s.declare()
	if c.before != nil {
		c.before(s)
	}
	var mu sync.Mutex
	results := map[string]*loadResult{"wards": {}, "ports": {}}
	var wg sync.WaitGroup
	for team, rate := range map[string]int{"wards": c.wards, "ports": c.ports} {
		wg.Go(func() {
			for i := range rate * loadSeconds {
				wg.Go(func() { s.measureOne(&mu, results[team], team, i) })
				time.Sleep(time.Second / time.Duration(rate))
			}
		})
	}
	wg.Wait()
	s.stop()
	judgeLoad(t, c, results)
}

func (s *system) measureOne(mu *sync.Mutex, r *loadResult, team string, i int) {
	began := time.Now()
	answer, err := s.caller(i%entryCount).Send(s.ctx, request.Call{
		Service: service, Team: team, DeadlineMillis: loadDeadline.Milliseconds(), Body: fmt.Sprintf("%s %d", team, i),
	})
	took := time.Since(began)
	mu.Lock()
	defer mu.Unlock()
	r.sent++
	switch {
	case err != nil:
		s.violate("%v", err)
	case answer.Outcome == request.Done:
		r.done++
		r.doneTimes = append(r.doneTimes, took)
	case answer.Outcome == request.NotRun:
		r.notRun++
		r.refusalTimes = append(r.refusalTimes, took)
	default:
		r.unknown++
	}
}

func judgeLoad(t *testing.T, c loadCase, results map[string]*loadResult) {
	wards, ports := results["wards"], results["ports"]
	possible := min(wards.sent+ports.sent, capacity*loadSeconds)
	share := float64(wards.done+ports.done) / float64(possible)
	behaving := float64(wards.done) / float64(wards.sent)
	for _, team := range []string{"wards", "ports"} {
		r := results[team]
		t.Logf("| %s | %s | %d | %d | %d | %d | %v | %v | %v |", c.name, team, r.sent, r.done, r.notRun, r.unknown,
			at(r.doneTimes, 0.5), at(r.doneTimes, 0.99), at(r.refusalTimes, 0.99))
	}
	if share < c.done {
		t.Errorf("%.0f %% of what was possible is done, want %.0f", 100*share, 100*c.done)
	}
	if float64(wards.done) < c.ratio*float64(ports.done) {
		t.Errorf("shares of 3 and 1 got %d and %d done", wards.done, ports.done)
	}
	if p99 := at(wards.doneTimes, 0.99); c.p99 > 0 && p99 > c.p99 {
		t.Errorf("the team below its share waits %v, want at most %v", p99, c.p99)
	}
	if behaving < c.behaving {
		t.Errorf("the team below its share got %.0f %% done, want %.0f", 100*behaving, 100*c.behaving)
	}
	if p99 := at(append(wards.refusalTimes, ports.refusalTimes...), 0.99); p99 > loadDeadline {
		t.Errorf("refusals take %v", p99)
	}
	if p99 := at(append(wards.doneTimes, ports.doneTimes...), 0.99); p99 > loadDeadline {
		t.Errorf("what is done takes %v, over the deadline", p99)
	}
}

// at returns a quantile, in whole milliseconds.
func at(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(len(times)-1, int(q*float64(len(times))))].Round(time.Millisecond)
}
