package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/loopback"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
)

// injector chooses faults at random and injects them into a cluster. Faults overlap, and each ends
// after its own time.
type injector struct {
	cluster *cluster
	random  *rand.Rand
	// planned restricts the faults to intentional actions of operators.
	planned bool

	mu sync.Mutex
	// injected describes the faults injected so far.
	injected   []string
	violations []string
	pending    sync.WaitGroup
}

// Timing of faults.
const (
	minFaultLength = time.Second
	maxFaultLength = 7 * time.Second
	// maxDowntime is the longest time for which a killed process stays down.
	maxDowntime = 2 * time.Second
	// stopSlack is added to the time that a planned stop may take.
	stopSlack = time.Second
	// minCordon is added to the time for which an availability zone is cordoned, so that the zone
	// stays cordoned for a while after the last start that is allowed in it.
	minCordon = jobtest.CordonBound
	// maxOrderDelay is how long after a fault of a worker's link, or a pause of its agent, delayed
	// orders may still arrive.
	maxOrderDelay = 3 * time.Second
)

// inject injects the next fault.
func (s *injector) inject() {
	length := minFaultLength + time.Duration(s.random.Int64N(int64(maxFaultLength-minFaultLength)))
	if s.planned {
		s.injectPlanned(length)
		return
	}
	b := s.randomBox()
	switch s.random.IntN(14) {
	case 0, 1:
		s.linkFault(b, length)
	case 2:
		s.storeFault(length)
	case 3:
		s.pauseProcess(b, length)
	case 4, 5:
		s.killProcess(b)
	case 6:
		s.stopProcess(b)
	case 7:
		s.record("hangup of %s", b.name)
		_ = b.process.Signal(syscall.SIGHUP)
	case 8, 9:
		s.workerFault(length)
	case 10:
		s.killAll()
	case 11:
		s.flap(b)
	case 12, 13:
		s.cordonZone(minCordon + length)
	}
}

// injectPlanned stops a process, reloads its settings, or cordons an availability zone.
func (s *injector) injectPlanned(length time.Duration) {
	b := s.randomBox()
	if s.random.IntN(4) == 0 {
		s.cordonZone(minCordon + length)
		return
	}
	if s.random.IntN(3) == 0 {
		s.record("hangup of %s", b.name)
		_ = b.process.Signal(syscall.SIGHUP)
		return
	}
	s.stopProcess(b)
}

func (s *injector) randomBox() *box {
	all := s.cluster.boxes()
	if s.random.IntN(2) == 0 {
		return s.cluster.entries[s.random.IntN(len(s.cluster.entries))]
	}
	return all[s.random.IntN(len(all))]
}

func (s *injector) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, fmt.Sprintf(format, args...))
}

func (s *injector) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// endAfter schedules the end of a fault. The scenario waits for it.
func (s *injector) endAfter(after time.Duration, end func()) {
	s.pending.Add(1)
	time.AfterFunc(after, func() {
		defer s.pending.Done()
		end()
	})
}

// linkFault cuts, slows down, resets or blackholes one of the links around a box.
func (s *injector) linkFault(b *box, length time.Duration) {
	links := b.links()
	l := links[s.random.IntN(len(links))]
	kinds := []struct {
		name   string
		inject func(*loopback.Link)
	}{
		{"cut", (*loopback.Link).Cut},
		{"cut one way", func(l *loopback.Link) { l.Upstream.Block() }},
		{"cut the other way", func(l *loopback.Link) { l.Downstream.Block() }},
		{"slow", func(l *loopback.Link) { l.Downstream.SetDelay(300 * time.Millisecond) }},
		{"reset", (*loopback.Link).Reset},
		{"silent on its open connections", func(l *loopback.Link) { l.Blackhole() }},
	}
	kind := kinds[s.random.IntN(len(kinds))]
	s.record("link of %s %s for %v", b.name, kind.name, length)
	if l == b.workerLink {
		b.worker.ExpectDelays(length + maxOrderDelay)
	}
	kind.inject(l)
	s.endAfter(length, l.Heal)
}

// storeFault makes the store fail for all processes.
func (s *injector) storeFault(length time.Duration) {
	faults := []jobtest.Fault{
		{Silent: true},
		{Refuse: true},
		{Reset: true},
		{Delay: 250 * time.Millisecond},
		{Lost: 0.4},
		{Lost: 0.4, Late: true},
	}
	f := faults[s.random.IntN(len(faults))]
	s.record("store %+v for %v", f, length)
	s.cluster.platform.SetFault(f)
	s.endAfter(length, func() { s.cluster.platform.SetFault(jobtest.Fault{}) })
}

func (s *injector) pauseProcess(b *box, length time.Duration) {
	s.record("%s paused for %v", b.name, length)
	if b.worker != nil {
		b.worker.ExpectDelays(length + maxOrderDelay)
	}
	_ = b.process.Signal(syscall.SIGSTOP)
	s.endAfter(length, func() { _ = b.process.Signal(syscall.SIGCONT) })
}

// killProcess kills a process and restarts it later.
func (s *injector) killProcess(b *box) {
	downtime := time.Duration(s.random.Int64N(int64(maxDowntime)))
	s.record("%s killed, restarted after %v", b.name, downtime)
	b.process.Kill()
	s.endAfter(downtime, func() { s.start(b) })
}

// start starts a process that has exited.
func (s *injector) start(b *box) {
	if err := b.process.EnsureRunning(); err != nil {
		s.violate("%s failed to start: %v", b.name, err)
	}
}

// stopProcess performs a planned stop of a process and restarts it after it has exited. In a
// scenario of planned work it must exit in time.
func (s *injector) stopProcess(b *box) {
	s.record("%s stopped as planned", b.name)
	_ = b.process.Signal(syscall.SIGCONT)
	done := b.process.Done()
	_ = b.process.Signal(syscall.SIGTERM)
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		select {
		case <-done:
			s.start(b)
		case <-time.After(gracePeriod + stopSlack):
			if s.planned {
				s.violate("STOP: %s has not exited %v after SIGTERM", b.name, gracePeriod+stopSlack)
			}
			b.process.Kill()
			s.start(b)
		}
	}()
}

// flap kills and restarts a process three times in a row, each time as soon as it is up.
func (s *injector) flap(b *box) {
	s.record("%s flaps", b.name)
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		for range 3 {
			b.process.Kill()
			s.start(b)
			time.Sleep(300 * time.Millisecond)
		}
	}()
}

// killAll kills all processes at once, as a power failure does.
func (s *injector) killAll() {
	downtime := time.Duration(s.random.Int64N(int64(maxDowntime)))
	s.record("all processes killed, restarted after %v", downtime)
	for _, b := range s.cluster.boxes() {
		done := b.process.Done()
		_ = b.process.Signal(syscall.SIGKILL)
		s.endAfter(downtime, func() {
			<-done
			s.start(b)
		})
	}
}

// cordonZone cordons the availability zone of a random worker, and ends the cordon later.
func (s *injector) cordonZone(length time.Duration) {
	zone := zoneOf(s.random.IntN(len(s.cluster.workers)))
	s.record("%s cordoned for %v", zone, length)
	platform := s.cluster.platform
	if err := platform.PutCordon(context.Background(), zone, true); err != nil {
		s.violate("cannot cordon %s: %v", zone, err)
		return
	}
	platform.Workers.Cordon(zone)
	s.endAfter(length, func() {
		platform.Workers.Uncordon(zone)
		if err := platform.PutCordon(context.Background(), zone, false); err != nil {
			s.violate("cannot remove the cordon of %s: %v", zone, err)
		}
	})
}

// workerFault injects a fault into a random worker.
func (s *injector) workerFault(length time.Duration) {
	n := s.random.IntN(len(s.cluster.workers))
	w := s.cluster.workers[n]
	kinds := []struct {
		name   string
		inject func()
	}{
		{"crashes", func() { w.Crash(length) }},
		{"leaves", func() { w.Drain(length) }},
		{"is silent", func() {
			w.SetUnreachable(true)
			s.endAfter(length, func() { w.SetUnreachable(false) })
		}},
		{"carries orders out late", func() {
			w.SetLate(0.3)
			s.endAfter(length, func() { w.SetLate(0) })
		}},
	}
	kind := kinds[s.random.IntN(len(kinds))]
	s.record("worker %d %s for %v", n, kind.name, length)
	kind.inject()
}
