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

// Times of a day.
const (
	startTimeout  = 30 * time.Second
	jobPause      = 800 * time.Millisecond
	faultPause    = 1500 * time.Millisecond
	settleTimeout = 90 * time.Second
	pollPause     = 200 * time.Millisecond
	// revokeSlack is added to the time after which a removed key must not work any more: the soak
	// knows when it sent a call, not when it arrived.
	revokeSlack = 100 * time.Millisecond
	keyPause    = 250 * time.Millisecond
)

// report is the result of a day.
type report struct {
	planned                    bool
	accepted, refused, doubted int
	starts                     int
	injected, violations       []string
	// lateReadings describe calls that were held by a standstill of this process alone.
	lateReadings []string
}

// summary returns the report in one line.
func (r report) summary() string {
	kind := "faults"
	if r.planned {
		kind = "planned work"
	}
	return fmt.Sprintf("%d %s, %d jobs accepted, %d refused, %d in doubt, %d runs, %d violations",
		len(r.injected), kind, r.accepted, r.refused, r.doubted, r.starts, len(r.violations))
}

// day is one day of the soak.
type day struct {
	settings settings
	cluster  *cluster
	callers  *callers
	injector *injector
	// troubles is nil on a day without them.
	troubles *troubles
	// restarts is nil on a day on which each incarnation has an ID of its own.
	restarts *restarts
	// secondAgents is nil on a day of planned work.
	secondAgents *secondAgents
	random       *rand.Rand
	endings      endings
	standstill   *standstill
	violations   []string
}

// playDay plays one day.
func playDay(ctx context.Context, s settings, seed uint64, logs string) (report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx, s, seed, logs)
	defer c.close()
	if err != nil {
		return report{}, err
	}
	planned, still := seed%4 == 0, &standstill{}
	d := &day{
		settings: s, cluster: c, random: rand.New(rand.NewPCG(seed, 1)), endings: endings{}, standstill: still,
		callers:  newCallers(c, rand.New(rand.NewPCG(seed, 2)), planned, still),
		injector: &injector{cluster: c, random: rand.New(rand.NewPCG(seed, 3)), planned: planned},
	}
	if s.Troubled && !planned {
		d.troubles = newTroubles(c, seed)
	}
	if s.SameIDs && !planned {
		d.restarts = newRestarts(c, seed)
	}
	if !planned {
		d.secondAgents = newSecondAgents(c, seed, d.injector.note)
	}
	go d.standstill.watch(ctx)
	if err := d.awaitService(ctx, startTimeout); err != nil {
		return report{}, err
	}
	d.play(ctx)
	if err := c.heal(); err != nil {
		return report{}, err
	}
	d.settle(ctx)
	d.check(ctx)
	return d.report(), ctx.Err()
}

func (d *day) violate(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// play lets callers and faults go on, side by side, for the length of the day.
func (d *day) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Length)
	defer cancel()
	activities := []func(context.Context){d.submitJobs, d.disturb, d.revoke}
	if d.troubles != nil {
		activities = append(activities, d.troubles.resize)
	}
	if d.restarts != nil {
		activities = append(activities, d.restarts.run)
	}
	if d.secondAgents != nil {
		activities = append(activities, d.secondAgents.run)
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
	d.injector.wait.Wait()
}

// submitJobs submits jobs, each in a goroutine, and cancels some.
func (d *day) submitJobs(ctx context.Context) {
	var open []chan struct{}
	for ctx.Err() == nil {
		j, queue := d.callers.drawJob()
		if d.troubles != nil {
			d.troubles.infect(j)
		}
		first, cancelled := d.random.IntN(len(d.cluster.entries)), d.random.IntN(10) == 0
		done := make(chan struct{})
		open = append(open, done)
		go func() {
			defer close(done)
			// A job that was begun is seen through even if the day's time is over.
			whole := context.WithoutCancel(ctx)
			d.callers.submit(whole, j, queue, first)
			if cancelled {
				d.callers.cancel(whole, j.ID, queue, first)
			}
		}()
		pause.For(ctx, time.Duration(d.random.Int64N(int64(jobPause))))
	}
	for _, done := range open {
		<-done
	}
}

func (d *day) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(d.injector.random.Int64N(int64(faultPause))))
		if ctx.Err() == nil {
			d.injector.inject()
		}
	}
}

// revoke removes an API key early in the day, and tries it until the end.
func (d *day) revoke(ctx context.Context) {
	pause.For(ctx, d.settings.Length/8)
	if err := d.cluster.platform.PutConfig(context.WithoutCancel(ctx), config(2, keptKey)); err != nil {
		d.violate("the configuration is not taken: %v", err)
		return
	}
	acknowledged := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, keyPause)
		for i := range d.cluster.entries {
			sent := time.Now()
			_, a := d.callers.caller(i, takenKey).State(ctx, prefix(0), noJob)
			// An unknown job is an answer under the key; an unknown key is another one.
			under := a.Accepted() || a.Status == statusUnknownJob
			if late := sent.Sub(acknowledged); under && late > revoke+revokeSlack {
				d.violate("CONFIG: entry-%d takes a call under a key %v after it was taken away", i, late)
			}
		}
	}
}

// noJob is the ID of a job that nobody submits.
const noJob = job.ID("ffffffffffffffff")

// statusUnknownJob is the status of an answer about an unknown job.
const statusUnknownJob = 410

// settle waits until every entry says that all accepted jobs have ended. Time for which the machine
// stands still does not count.
func (d *day) settle(ctx context.Context) {
	began, stood := time.Now(), d.standstill.length()
	for ctx.Err() == nil {
		if len(d.unsettled(ctx)) == 0 {
			return
		}
		time.Sleep(pollPause)
		if d.standstill.running(began, stood) >= settleTimeout {
			return
		}
	}
}

// unsettled returns a violation for each accepted job that some entry doesn't say has ended. Once
// callers may no longer ask for a job that has ended, entries may forget it.
func (d *day) unsettled(ctx context.Context) []string {
	var open []string
	for id := range d.callers.accepted {
		for i := range d.cluster.entries {
			state, a := d.callers.caller(i, keptKey).State(ctx, prefix(d.callers.queueOf[id]), id)
			now := time.Now()
			switch {
			case ended(state):
				d.endings.note(id, state, now)
			case a.Status == statusUnknownJob && (d.endings.mayBeForgotten(id, now) || d.endedLongAgo(id, now)):
			default:
				open = append(open, fmt.Sprintf("LOST: entry-%d says of accepted job %s: %q (status %d, %v)",
					i, id, state, a.Status, a.Err))
			}
		}
	}
	return open
}

func ended(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// check compares what callers were told with what the workers saw.
func (d *day) check(ctx context.Context) {
	d.violations = append(d.violations, d.unsettled(ctx)...)
	workers := d.cluster.platform.Workers
	d.violations = append(d.violations, workers.Report()...)
	for id, surely := range d.callers.refused {
		if surely && workers.EverRan(id) {
			d.violate("REFUSED: %s ran, but every try to hand it in was refused", id)
		}
	}
	for id := range d.callers.accepted {
		d.checkEnd(ctx, id)
	}
}

func (d *day) checkEnd(ctx context.Context, id job.ID) {
	workers := d.cluster.platform.Workers
	state, a := d.callers.caller(0, keptKey).State(ctx, prefix(d.callers.queueOf[id]), id)
	if a.Status == statusUnknownJob {
		state = d.endings[id].state
	}
	switch {
	case state == "completed" && !workers.AllDone(id):
		d.violate("MIXED: job %s is completed, and not all of its tasks have ended so", id)
	case state == "failed" && !workers.MayFail(id):
		d.violate("LOST: job %s is failed, and no task of it has failed too often or crashed workers", id)
	case state == "cancelled" && !d.callers.cancelled[id]:
		d.violate("LOST: job %s is cancelled, and nobody asked for it", id)
	case ended(state) && !d.goneWithin(id, timeToStop(state)):
		d.violate("MIXED: job %s is %s and still runs", id, state)
	}
}

// stopLimit is how long the runs of a job may take to stop after it was reported as failed or
// cancelled: the agents are told after that is stored, and a stop takes 0.3 s.
const stopLimit = time.Second

// timeToStop returns how long runs of a job in the state may go on. A completed job has none.
func timeToStop(state string) time.Duration {
	if state == "completed" {
		return 0
	}
	return stopLimit
}

// goneWithin waits until nothing of a job runs, for at most the limit.
func (d *day) goneWithin(id job.ID, limit time.Duration) bool {
	for began := time.Now(); d.cluster.platform.Workers.AnyRun(id); time.Sleep(pollPause) {
		if time.Since(began) >= limit {
			return false
		}
	}
	return true
}

func (d *day) report() report {
	r := report{
		planned:  d.injector.planned,
		accepted: len(d.callers.accepted),
		starts:   d.cluster.platform.Workers.Starts,
		injected: d.injector.injected,
	}
	for _, surely := range d.callers.refused {
		if surely {
			r.refused++
		} else {
			r.doubted++
		}
	}
	r.lateReadings = d.callers.lateReadings
	r.violations = slices.Concat(d.violations, d.injector.violations, d.callers.violations)
	return r
}
