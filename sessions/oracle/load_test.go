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

// The request path under load has 10 targets with 8 slots each and takes 100 ms per request, which
// gives a capacity of 800 requests per second.
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
	// wards and ports are the request rates per second of the two teams, whose shares are 3 and 1.
	wards, ports int
	setUp        func(s *system)
	// minDone is the minimum fraction of the achievable requests that must be done. minWardsDone is
	// the minimum fraction of the requests of team wards where it stays below its share; zero means
	// no minimum.
	minDone, minWardsDone float64
	// minRatio is the minimum ratio of done requests between the teams with shares 3 and 1 when
	// both overload the system; zero means no minimum.
	minRatio float64
	// maxP99 limits the 99th percentile latency of the done requests of team wards; zero means no
	// limit.
	maxP99 time.Duration
}

// loadResult has the outcomes of one team's requests.
type loadResult struct {
	sent, done, notRun, unknown int
	doneTimes, refusalTimes     []time.Duration
}

// TestLoad checks, under several loads, how many requests are done in time, how many of the
// requests of the team below its share are done, and how quickly requests are refused. With -v it
// prints the table of docs/MEASUREMENTS.md.
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
	s.setUpTeams()
	if c.setUp != nil {
		c.setUp(s)
	}
	var mu sync.Mutex
	results := map[string]*loadResult{"wards": {}, "ports": {}}
	var wg sync.WaitGroup
	for team, rate := range map[string]int{"wards": c.wards, "ports": c.ports} {
		wg.Go(func() {
			for i := range rate * loadSeconds {
				wg.Go(func() { s.sendMeasured(&mu, results[team], team, i) })
				time.Sleep(time.Second / time.Duration(rate))
			}
		})
	}
	wg.Wait()
	s.stop()
	checkLoad(t, c, results)
}

func (s *system) sendMeasured(mu *sync.Mutex, r *loadResult, team string, i int) {
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
		s.addViolation("%v", err)
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

func checkLoad(t *testing.T, c loadCase, results map[string]*loadResult) {
	wards, ports := results["wards"], results["ports"]
	possible := min(wards.sent+ports.sent, capacity*loadSeconds)
	share := float64(wards.done+ports.done) / float64(possible)
	wardsShare := float64(wards.done) / float64(wards.sent)
	for _, team := range []string{"wards", "ports"} {
		r := results[team]
		t.Logf("| %s | %s | %d | %d | %d | %d | %v | %v | %v |", c.name, team, r.sent, r.done, r.notRun, r.unknown,
			quantile(r.doneTimes, 0.5), quantile(r.doneTimes, 0.99), quantile(r.refusalTimes, 0.99))
	}
	if share < c.minDone {
		t.Errorf("%.0f %% of the achievable requests are done, want %.0f", 100*share, 100*c.minDone)
	}
	if float64(wards.done) < c.minRatio*float64(ports.done) {
		t.Errorf("teams with shares 3 and 1 have %d and %d requests done", wards.done, ports.done)
	}
	if p99 := quantile(wards.doneTimes, 0.99); c.maxP99 > 0 && p99 > c.maxP99 {
		t.Errorf("the 99th percentile latency of the team below its share is %v, want at most %v", p99, c.maxP99)
	}
	if wardsShare < c.minWardsDone {
		t.Errorf("%.0f %% of the requests of the team below its share are done, want %.0f",
			100*wardsShare, 100*c.minWardsDone)
	}
	if p99 := quantile(append(wards.refusalTimes, ports.refusalTimes...), 0.99); p99 > loadDeadline {
		t.Errorf("the 99th percentile latency of refusals is %v, over the deadline", p99)
	}
	if p99 := quantile(append(wards.doneTimes, ports.doneTimes...), 0.99); p99 > loadDeadline {
		t.Errorf("the 99th percentile latency of done requests is %v, over the deadline", p99)
	}
}

// quantile returns the q-quantile of times, rounded to milliseconds.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(len(times)-1, int(q*float64(len(times))))].Round(time.Millisecond)
}
