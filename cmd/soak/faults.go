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

// injector draws faults and injects them into a cluster. Faults overlap; each ends by itself.
type injector struct {
	cluster *cluster
	random  *rand.Rand
	// planned restricts the faults to what operators do on purpose.
	planned bool

	mu sync.Mutex
	// injected describes the faults so far.
	injected   []string
	violations []string
	wait       sync.WaitGroup
}

// Times of a fault.
const (
	shortestFault = time.Second
	longestFault  = 7 * time.Second
	// bounceFor is the longest time for which a killed process stays away.
	bounceFor = 2 * time.Second
	// stopSlack is added to the time that a planned stop may take.
	stopSlack = time.Second
	// cordonFor is added to the time for which an availability zone is cordoned, so that the bound
	// on starts there has passed for a while.
	cordonFor = jobtest.CordonBound
	// lateOrders is how long after a fault of a worker's link delayed orders may still arrive.
	lateOrders = 3 * time.Second
)

// inject injects the next fault.
func (s *injector) inject() {
	length := shortestFault + time.Duration(s.random.Int64N(int64(longestFault-shortestFault)))
	if s.planned {
		s.injectPlanned(length)
		return
	}
	b := s.anyBox()
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
		s.note("hangup of %s", b.name)
		_ = b.process.Signal(syscall.SIGHUP)
	case 8, 9:
		s.workerFault(length)
	case 10:
		s.killAll()
	case 11:
		s.flap(b)
	case 12, 13:
		s.cordonZone(cordonFor + length)
	}
}

// injectPlanned stops a process, reloads its settings, or cordons an availability zone.
func (s *injector) injectPlanned(length time.Duration) {
	b := s.anyBox()
	if s.random.IntN(4) == 0 {
		s.cordonZone(cordonFor + length)
		return
	}
	if s.random.IntN(3) == 0 {
		s.note("hangup of %s", b.name)
		_ = b.process.Signal(syscall.SIGHUP)
		return
	}
	s.stopProcess(b)
}

func (s *injector) anyBox() *box {
	all := s.cluster.all()
	if s.random.IntN(2) == 0 {
		return s.cluster.entries[s.random.IntN(len(s.cluster.entries))]
	}
	return all[s.random.IntN(len(all))]
}

func (s *injector) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, fmt.Sprintf(format, args...))
}

func (s *injector) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// later ends a fault after its time. The day waits for it.
func (s *injector) later(after time.Duration, end func()) {
	s.wait.Add(1)
	time.AfterFunc(after, func() {
		defer s.wait.Done()
		end()
	})
}

// linkFault cuts, slows down or resets one of the links around a box.
func (s *injector) linkFault(b *box, length time.Duration) {
	links := b.links()
	l := links[s.random.IntN(len(links))]
	kinds := []struct {
		name   string
		inject func(*loopback.Link)
	}{
		{"cut", (*loopback.Link).Cut},
		{"cut one way", func(l *loopback.Link) { l.Forth.Shut() }},
		{"cut the other way", func(l *loopback.Link) { l.Back.Shut() }},
		{"slow", func(l *loopback.Link) { l.Back.Slow(300 * time.Millisecond) }},
		{"reset", (*loopback.Link).Reset},
		{"silent on its open connections", func(l *loopback.Link) { l.Silence() }},
	}
	kind := kinds[s.random.IntN(len(kinds))]
	s.note("link of %s %s for %v", b.name, kind.name, length)
	if l == b.worker {
		b.beside.ExpectDelays(length + lateOrders)
	}
	kind.inject(l)
	s.later(length, l.Heal)
}

// storeFault lets the store fail for everybody.
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
	s.note("store %+v for %v", f, length)
	s.cluster.platform.SetFault(f)
	s.later(length, func() { s.cluster.platform.SetFault(jobtest.Fault{}) })
}

func (s *injector) pauseProcess(b *box, length time.Duration) {
	s.note("%s paused for %v", b.name, length)
	if b.beside != nil {
		b.beside.ExpectDelays(length + lateOrders)
	}
	_ = b.process.Signal(syscall.SIGSTOP)
	s.later(length, func() { _ = b.process.Signal(syscall.SIGCONT) })
}

// killProcess kills a process and restarts it later.
func (s *injector) killProcess(b *box) {
	away := time.Duration(s.random.Int64N(int64(bounceFor)))
	s.note("%s killed, back after %v", b.name, away)
	b.process.Kill()
	s.later(away, func() { s.start(b) })
}

// start starts a process that has ended.
func (s *injector) start(b *box) {
	if err := b.process.StartAgain(); err != nil {
		s.violate("%s does not start: %v", b.name, err)
	}
}

// stopProcess stops a process as planned and restarts it after it has ended. It must end in time.
func (s *injector) stopProcess(b *box) {
	s.note("%s stopped as planned", b.name)
	_ = b.process.Signal(syscall.SIGCONT)
	done := b.process.Done()
	_ = b.process.Signal(syscall.SIGTERM)
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		select {
		case <-done:
			s.start(b)
		case <-time.After(grace + stopSlack):
			if s.planned {
				s.violate("STOP: %s has not ended %v after SIGTERM", b.name, grace+stopSlack)
			}
			b.process.Kill()
			s.start(b)
		}
	}()
}

// flap kills a process three times in a row, as soon as it is up.
func (s *injector) flap(b *box) {
	s.note("%s flaps", b.name)
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		for range 3 {
			b.process.Kill()
			s.start(b)
			time.Sleep(300 * time.Millisecond)
		}
	}()
}

// killAll kills all processes at once, like a loss of power.
func (s *injector) killAll() {
	away := time.Duration(s.random.Int64N(int64(bounceFor)))
	s.note("all processes killed, back after %v", away)
	for _, b := range s.cluster.all() {
		done := b.process.Done()
		_ = b.process.Signal(syscall.SIGKILL)
		s.later(away, func() {
			<-done
			s.start(b)
		})
	}
}

// cordonZone cordons the availability zone of one of the workers, and ends that later.
func (s *injector) cordonZone(length time.Duration) {
	zone := zoneOf(s.random.IntN(len(s.cluster.workers)))
	s.note("%s cordoned for %v", zone, length)
	platform := s.cluster.platform
	if err := platform.PutCordon(context.Background(), zone, true); err != nil {
		s.violate("cordon of %s: %v", zone, err)
		return
	}
	platform.Workers.Cordon(zone)
	s.later(length, func() {
		platform.Workers.Uncordon(zone)
		if err := platform.PutCordon(context.Background(), zone, false); err != nil {
			s.violate("cordon of %s is not taken away: %v", zone, err)
		}
	})
}

// workerFault injects a fault of one of the workers.
func (s *injector) workerFault(length time.Duration) {
	n := s.random.IntN(len(s.cluster.workers))
	w := s.cluster.workers[n]
	kinds := []struct {
		name   string
		inject func()
	}{
		{"crashes", func() { w.Crash(length) }},
		{"leaves", func() { w.Leave(length) }},
		{"is silent", func() {
			w.SetUnreachable(true)
			s.later(length, func() { w.SetUnreachable(false) })
		}},
		{"carries orders out late", func() {
			w.SetLate(0.3)
			s.later(length, func() { w.SetLate(0) })
		}},
	}
	kind := kinds[s.random.IntN(len(kinds))]
	s.note("worker %d %s for %v", n, kind.name, length)
	kind.inject()
}
