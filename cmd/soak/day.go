package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// Timing of a scenario.
const (
	startTimeout = 30 * time.Second
	maxJobPause  = 800 * time.Millisecond
	// overloadFactor is how many times as many jobs are submitted with --overload. Without it they ask
	// for about what the workers can do.
	overloadFactor = 4
	maxFaultPause  = 1500 * time.Millisecond
	settleTimeout  = 90 * time.Second
	pollInterval   = 200 * time.Millisecond
	// revokeSlack is added to the time after which a revoked key must be refused: the soak knows
	// when it sent a call, not when the call arrived.
	revokeSlack     = 100 * time.Millisecond
	keyPollInterval = 250 * time.Millisecond
)

// report is the result of a scenario.
type report struct {
	planned                    bool
	accepted, refused, inDoubt int
	// shed counts the attempts that were refused because the service was overloaded.
	shed                 int
	starts               int
	injected, violations []string
	// lateReadings describe calls that were delayed only by a stall of this process.
	lateReadings []string
}

// summary returns the report in one line.
func (r report) summary() string {
	kind := "faults"
	if r.planned {
		kind = "planned work"
	}
	return fmt.Sprintf("%d %s, %d jobs accepted, %d refused, %d in doubt, %d attempts shed, %d runs, %d violations",
		len(r.injected), kind, r.accepted, r.refused, r.inDoubt, r.shed, r.starts, len(r.violations))
}

// scenario is the run of the soak for one seed.
type scenario struct {
	settings settings
	cluster  *cluster
	callers  *callers
	injector *injector
	// extraFaults is nil unless the scenario has the faults of --troubled.
	extraFaults *extraFaults
	// restarter is nil if each incarnation of a worker has its own ID.
	restarter *restarter
	// secondAgents is nil in a scenario of planned work.
	secondAgents *secondAgents
	random       *rand.Rand
	finalStates  finalStates
	stalls       *stallMonitor
	violations   []string
}

// runScenario runs the scenario of one seed and writes the logs of the processes to a directory.
func runScenario(ctx context.Context, s settings, seed uint64, logs string) (report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx, s, seed, logs)
	defer c.close()
	if err != nil {
		return report{}, err
	}
	planned, monitor := seed%4 == 0, &stallMonitor{}
	sc := &scenario{
		settings: s, cluster: c, random: rand.New(rand.NewPCG(seed, 1)), finalStates: finalStates{}, stalls: monitor,
		callers:  newCallers(c, rand.New(rand.NewPCG(seed, 2)), planned, monitor),
		injector: &injector{cluster: c, random: rand.New(rand.NewPCG(seed, 3)), planned: planned},
	}
	if s.Troubled && !planned {
		sc.extraFaults = newExtraFaults(c, seed)
	}
	if s.SameIDs && !planned {
		sc.restarter = newRestarter(c, seed)
	}
	if !planned {
		sc.secondAgents = newSecondAgents(c, seed, sc.injector.record)
	}
	go sc.stalls.measure(ctx)
	if err := sc.awaitService(ctx, startTimeout); err != nil {
		return report{}, err
	}
	sc.runActivities(ctx)
	if err := c.heal(); err != nil {
		return report{}, err
	}
	sc.awaitFinalStates(ctx)
	sc.check(ctx)
	return sc.report(), ctx.Err()
}

func (sc *scenario) violate(format string, args ...any) {
	sc.violations = append(sc.violations, fmt.Sprintf(format, args...))
}

// runActivities submits jobs and injects faults concurrently for the length of the scenario.
func (sc *scenario) runActivities(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sc.settings.Length)
	defer cancel()
	activities := []func(context.Context){sc.submitJobs, sc.injectFaults, sc.revokeKey}
	if sc.extraFaults != nil {
		activities = append(activities, sc.extraFaults.resizeWorkers)
	}
	if sc.restarter != nil {
		activities = append(activities, sc.restarter.run)
	}
	if sc.secondAgents != nil {
		activities = append(activities, sc.secondAgents.run)
	}
	done := make(chan struct{}, len(activities))
	begin := func(f func(context.Context)) {
		go func() {
			f(ctx)
			done <- struct{}{}
		}()
	}
	for _, activity := range activities {
		begin(activity)
	}
	for range cap(done) {
		<-done
	}
	sc.injector.pending.Wait()
}

// submitJobs submits jobs, each in its own goroutine, and cancels some of them.
func (sc *scenario) submitJobs(ctx context.Context) {
	var open []chan struct{}
	for ctx.Err() == nil {
		j, queue := sc.callers.newRandomJob()
		if sc.extraFaults != nil {
			sc.extraFaults.addCrashingTask(j)
		}
		first, cancelled := sc.random.IntN(len(sc.cluster.entries)), sc.random.IntN(10) == 0
		done := make(chan struct{})
		open = append(open, done)
		go func() {
			defer close(done)
			// A submission that has started is completed even if the scenario's time is over.
			uncancelled := context.WithoutCancel(ctx)
			sc.callers.submit(uncancelled, j, queue, first)
			if cancelled {
				sc.callers.cancel(uncancelled, j.ID, queue, first)
			}
		}()
		pause.For(ctx, time.Duration(sc.random.Int64N(int64(sc.settings.maxJobPause()))))
	}
	for _, done := range open {
		<-done
	}
}

func (sc *scenario) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(sc.injector.random.Int64N(int64(maxFaultPause))))
		if ctx.Err() == nil {
			sc.injector.inject()
		}
	}
}

// revokeKey revokes an API key early in the scenario, and uses it until the end to check that
// entries refuse it.
func (sc *scenario) revokeKey(ctx context.Context) {
	pause.For(ctx, sc.settings.Length/8)
	if err := sc.cluster.platform.PutConfig(context.WithoutCancel(ctx), config(2, validKey)); err != nil {
		sc.violate("the configuration was not stored: %v", err)
		return
	}
	acknowledged := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, keyPollInterval)
		for i := range sc.cluster.entries {
			sent := time.Now()
			_, a := sc.callers.caller(i, revokedKey).State(ctx, prefix(0), unknownJob)
			// An entry answers about an unknown job only if it accepts the key.
			accepted := a.Accepted() || a.Status == statusUnknownJob
			if late := sent.Sub(acknowledged); accepted && late > revocationLimit+revokeSlack {
				sc.violate("CONFIG: entry-%d accepts a call with a key %v after the key was revoked", i, late)
			}
		}
	}
}

// unknownJob is the ID of a job that is never submitted.
const unknownJob = job.ID("ffffffffffffffff")

// statusUnknownJob is the status of an answer about an unknown job.
const statusUnknownJob = 410

// awaitFinalStates waits until every entry reports a final state for all accepted jobs. Time during
// which the machine is stalled does not count towards the timeout.
func (sc *scenario) awaitFinalStates(ctx context.Context) {
	began, stalledBefore := time.Now(), sc.stalls.machineStall()
	for ctx.Err() == nil {
		if len(sc.unfinishedJobs(ctx)) == 0 {
			return
		}
		time.Sleep(pollInterval)
		if sc.stalls.runningTime(began, stalledBefore) >= settleTimeout {
			return
		}
	}
}

// unfinishedJobs returns a violation for each accepted job that an entry does not report as ended.
// An entry may forget an ended job after the status retention.
func (sc *scenario) unfinishedJobs(ctx context.Context) []string {
	var open []string
	for id := range sc.callers.accepted {
		for i := range sc.cluster.entries {
			state, a := sc.callers.caller(i, validKey).State(ctx, prefix(sc.callers.queueOf[id]), id)
			now := time.Now()
			switch {
			case isFinal(state):
				sc.finalStates.record(id, state, now)
			case a.Status == statusUnknownJob && (sc.finalStates.retentionOver(id, now) || sc.endedBeyondRetention(id, now)):
			default:
				open = append(open, fmt.Sprintf("LOST: entry-%d reports accepted job %s as %q (status %d, %v)",
					i, id, state, a.Status, a.Err))
			}
		}
	}
	return open
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// check compares the answers to callers with the records of the workers.
func (sc *scenario) check(ctx context.Context) {
	sc.violations = append(sc.violations, sc.unfinishedJobs(ctx)...)
	workers := sc.cluster.platform.Workers
	sc.violations = append(sc.violations, workers.Report()...)
	for id, certain := range sc.callers.refused {
		if certain && workers.EverRan(id) {
			sc.violate("REFUSED: job %s ran, but every attempt to submit it was refused", id)
		}
	}
	for id := range sc.callers.accepted {
		sc.checkEnd(ctx, id)
	}
}

func (sc *scenario) checkEnd(ctx context.Context, id job.ID) {
	workers := sc.cluster.platform.Workers
	state, a := sc.callers.caller(0, validKey).State(ctx, prefix(sc.callers.queueOf[id]), id)
	if a.Status == statusUnknownJob {
		state = sc.finalStates[id].state
	}
	switch {
	case state == "completed" && !workers.AllDone(id):
		sc.violate("MIXED: job %s is reported as completed, but not all of its tasks are completed", id)
	case state == "failed" && !workers.MayFail(id):
		sc.violate("LOST: job %s is reported as failed, but none of its tasks failed too often or crashed workers", id)
	case state == "cancelled" && !sc.callers.cancelled[id]:
		sc.violate("LOST: job %s is reported as cancelled, but no caller cancelled it", id)
	case isFinal(state) && !sc.stopsWithin(id, stopLimitFor(state)):
		sc.violate("MIXED: job %s is reported as %s, but still runs", id, state)
	}
}

// stopLimit is how long the runs of a job may take to stop after the job was reported as failed or
// cancelled: agents are notified after the state is stored, and a stop takes 0.3 s.
const stopLimit = time.Second

// stopLimitFor returns how long the runs of a job in a final state may continue. A completed job
// has no runs left.
func stopLimitFor(state string) time.Duration {
	if state == "completed" {
		return 0
	}
	return stopLimit
}

// stopsWithin waits until no run of a job is left, and reports whether that happens within the
// limit.
func (sc *scenario) stopsWithin(id job.ID, limit time.Duration) bool {
	for began := time.Now(); sc.cluster.platform.Workers.AnyRun(id); time.Sleep(pollInterval) {
		if time.Since(began) >= limit {
			return false
		}
	}
	return true
}

func (sc *scenario) report() report {
	r := report{
		planned:  sc.injector.planned,
		accepted: len(sc.callers.accepted),
		shed:     sc.callers.shed,
		starts:   sc.cluster.platform.Workers.Starts,
		injected: sc.injector.injected,
	}
	for _, certain := range sc.callers.refused {
		if certain {
			r.refused++
		} else {
			r.inDoubt++
		}
	}
	r.lateReadings = sc.callers.lateReadings
	r.violations = slices.Concat(sc.violations, sc.injector.violations, sc.callers.violations)
	return r
}
