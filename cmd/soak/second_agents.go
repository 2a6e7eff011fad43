package main

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/loopback"
	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/platform/standin"
)

// Timing of second agents.
const (
	// maxSecondAgentPause is the longest time between the end of a second agent and the next one.
	maxSecondAgentPause = 5 * time.Second
	// maxFirstPause is the longest time for which the first agent is paused while the second
	// starts, and maxOverlap the longest time for which both run afterwards.
	maxFirstPause = 4 * time.Second
	maxOverlap    = 8 * time.Second
)

// secondAgents start a second process of an agent while the first is paused; afterwards both run.
// They have their own random source, so that a seed generates the same jobs and the same other
// faults with and without them.
type secondAgents struct {
	random  *rand.Rand
	cluster *cluster
	record  func(format string, args ...any)
}

func newSecondAgents(c *cluster, seed uint64, record func(format string, args ...any)) *secondAgents {
	return &secondAgents{random: rand.New(rand.NewPCG(seed, 6)), cluster: c, record: record}
}

// run gives one agent after another a second process until ctx ends. It returns after the last
// second process has ended.
func (sa *secondAgents) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(sa.random.Int64N(int64(maxSecondAgentPause))))
		if ctx.Err() != nil {
			return
		}
		if err := sa.overlap(ctx); err != nil {
			sa.record("second agent: %v", err)
		}
	}
}

// overlap runs an agent twice for a random time and then kills one of the two processes. If it
// kills the first, it restarts it and kills the second a moment later.
func (sa *secondAgents) overlap(ctx context.Context) error {
	first := sa.cluster.agents[sa.random.IntN(len(sa.cluster.agents))]
	paused := time.Duration(sa.random.Int64N(int64(maxFirstPause)))
	overlapTime := time.Duration(sa.random.Int64N(int64(maxOverlap)))
	killsFirst := sa.random.IntN(2) == 0
	sa.record("second agent of %s, the first is paused for %v, both run for %v", first.name, paused, overlapTime)
	first.worker.ExpectDelays(paused + maxOrderDelay)
	if err := first.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The first process is restarted even if the second fails.
	defer func() { _ = first.process.EnsureRunning() }()
	second, stop, err := sa.start(ctx, first)
	if err == nil {
		defer stop()
		pause.For(ctx, paused)
	}
	if resumed := first.process.Signal(syscall.SIGCONT); err == nil {
		err = resumed
	}
	if err != nil {
		return err
	}
	pause.For(ctx, overlapTime)
	if killsFirst {
		first.process.Kill()
		pause.For(ctx, maxDowntime)
		if err := first.process.EnsureRunning(); err != nil {
			return err
		}
	}
	second.Kill()
	return nil
}

// start starts a second process of an agent at its own address. stop ends it.
func (sa *secondAgents) start(ctx context.Context, first *box) (second *loopback.Process, stop func(), err error) {
	ip, claim, err := claimIP()
	if err != nil {
		return nil, nil, err
	}
	b := &box{name: first.name + "-second", storeLink: first.storeLink}
	boot := first.boot
	boot.IP, boot.Heartbeats = ip, hostPort(ip, heartbeatsPort)
	if err := sa.cluster.launch(b, boot, "job-agent"); err != nil {
		claim.Close()
		return nil, nil, err
	}
	beating, end := context.WithCancel(context.WithoutCancel(ctx))
	go standin.SendHeartbeats(beating, first.worker, boot.Heartbeats)
	return b.process, func() {
		end()
		b.process.Kill()
		claim.Close()
	}, nil
}
