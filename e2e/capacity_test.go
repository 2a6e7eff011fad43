package e2e

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
)

// teamCount and waitingCount fill the state as at the design size: 170 teams, with all workers in
// use and some sessions waiting.
const (
	teamCount    = 170
	waitingCount = 30
)

// BenchmarkEntry measures one entry that runs in its own process, with different numbers of agents
// that poll it. At the design size, ten entries serve 140 agents each, and each entry follows all
// 1,400 workers.
func BenchmarkEntry(b *testing.B) {
	for _, n := range []int{10, 140, 400, 1400} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureEntries(b, 1, n)
			}
		})
	}
}

// BenchmarkDesignSize measures the whole design size: ten entries and 1,400 agents. The processor
// time and the memory are those of the first entry; the bytes are averaged over all entries.
func BenchmarkDesignSize(b *testing.B) {
	for b.Loop() {
		measureEntries(b, 10, 1400)
	}
}

func measureEntries(b *testing.B, entries, agents int) {
	s := newSwarm(b, entries, agents)
	s.fill(agents + waitingCount)
	s.eventuallyEvery(200*time.Millisecond, func() bool { return s.running() == agents })
	time.Sleep(settleTime)
	report(b, s.entries[0].ID(), func() int64 { return s.bytes() / int64(entries) })
	b.ReportMetric(float64(s.logBytes.Load())/float64(max(s.agentBytes.Load(), 1)), "log/agent-bytes")
	var changes []time.Duration
	for range 5 {
		changes = append(changes, s.measurePropagation())
	}
	b.ReportMetric(slowest(changes).Seconds(), "s-change")
	if agents > 100 {
		b.ReportMetric(s.slowestUrgentStart(20).Seconds(), "s-urgent")
	}
}

// BenchmarkSlowLog measures urgent starts, each of which reclaims a borrowed accelerator, with
// different delays of the log.
func BenchmarkSlowLog(b *testing.B) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		b.Run(fmt.Sprintf("delay=%v", delay), func(b *testing.B) {
			for b.Loop() {
				s := newSwarm(b, 2, 140)
				s.fill(140)
				s.eventuallyEvery(200*time.Millisecond, func() bool { return s.running() == 140 })
				s.platform.SetFaults(standin.Faults{Delay: delay})
				b.ReportMetric(s.slowestUrgentStart(10).Seconds(), "s-urgent")
			}
		})
	}
}

// BenchmarkLoss removes workers for good from a system with enough capacity left for their
// sessions, and measures the time until all sessions run again and the number of records that this
// takes.
func BenchmarkLoss(b *testing.B) {
	const agents, sessions = 400, 300
	for _, lost := range []struct {
		name string
		n    int
	}{{"box", 1}, {"rack", 3}, {"zone", 80}} {
		b.Run(lost.name, func(b *testing.B) {
			for b.Loop() {
				s := newSwarm(b, 2, agents)
				s.fill(sessions)
				s.eventuallyEvery(200*time.Millisecond, func() bool { return s.running() == sessions })
				before, began := s.records(), time.Now()
				s.loseWorkers(lost.n)
				gone := make(map[string]bool)
				for i := range lost.n {
					gone[fmt.Sprintf("w%04d", i)] = true
				}
				s.eventuallyEvery(200*time.Millisecond, func() bool { return s.runningOutside(gone) == sessions })
				b.ReportMetric(time.Since(began).Seconds(), "s-placed-again")
				b.ReportMetric(float64(s.records()-before), "records")
			}
		})
	}
}

func slowest(list []time.Duration) time.Duration {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[len(list)-1]
}
