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

// Pace of second agents.
const (
	// secondPause is the longest time between the end of a second agent and the next one.
	secondPause = 5 * time.Second
	// pausedBeside is the longest time for which the first agent is paused while the second starts,
	// and besideFor the longest for which both run after that.
	pausedBeside = 4 * time.Second
	besideFor    = 8 * time.Second
)

// secondAgents starts second processes of agents: one while the first is paused, which then goes on
// beside it. It draws from a source of its own, so that a seed has the same jobs and other faults.
type secondAgents struct {
	random  *rand.Rand
	cluster *cluster
	note    func(format string, args ...any)
}

func newSecondAgents(c *cluster, seed uint64, note func(format string, args ...any)) *secondAgents {
	return &secondAgents{random: rand.New(rand.NewPCG(seed, 6)), cluster: c, note: note}
}

// run lets one agent after the other run twice until ctx ends. It returns once no second process runs.
func (sa *secondAgents) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(sa.random.Int64N(int64(secondPause))))
		if ctx.Err() != nil {
			return
		}
		if err := sa.overlap(ctx); err != nil {
			sa.note("second agent: %v", err)
		}
	}
}

// overlap lets an agent run twice for a drawn time, at whose end one of the two is killed. If that is
// the first, it starts again and the second is killed a moment later.
func (sa *secondAgents) overlap(ctx context.Context) error {
	first := sa.cluster.agents[sa.random.IntN(len(sa.cluster.agents))]
	paused := time.Duration(sa.random.Int64N(int64(pausedBeside)))
	beside := time.Duration(sa.random.Int64N(int64(besideFor)))
	killsFirst := sa.random.IntN(2) == 0
	sa.note("second agent of %s, the first is paused for %v, both run for %v", first.name, paused, beside)
	first.beside.ExpectDelays(paused + lateOrders)
	if err := first.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The first one is back whatever becomes of the second.
	defer func() { _ = first.process.StartAgain() }()
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
	pause.For(ctx, beside)
	if killsFirst {
		first.process.Kill()
		pause.For(ctx, bounceFor)
		if err := first.process.StartAgain(); err != nil {
			return err
		}
	}
	second.Kill()
	return nil
}

// start starts a second process of an agent, at an address of its own. stop ends it.
func (sa *secondAgents) start(ctx context.Context, first *box) (second *loopback.Process, stop func(), err error) {
	ip, claim, err := claimIP()
	if err != nil {
		return nil, nil, err
	}
	b := &box{name: first.name + "-second", store: first.store}
	boot := first.boot
	boot.IP, boot.Heartbeats = ip, at(ip, heartbeatsPort)
	if err := sa.cluster.launch(b, boot, "job-agent"); err != nil {
		claim.Close()
		return nil, nil, err
	}
	beating, end := context.WithCancel(context.WithoutCancel(ctx))
	go standin.SendHeartbeats(beating, first.beside, boot.Heartbeats)
	return b.process, func() {
		end()
		b.process.Kill()
		claim.Close()
	}, nil
}
