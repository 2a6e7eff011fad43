package leader

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
)

// leadership is one term in which this entry leads. The goroutine of lead owns it.
type leadership struct {
	*Candidate
	writer     *termWriter
	controller *dispatch.Controller
	// formerLeases is until when a former leader may have granted leases.
	formerLeases time.Time
}

// lead leads until leadership is lost, and returns why.
func (c *Candidate) lead(ctx context.Context, leader directory.Leader) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := c.newLeadership(leader)
	c.deps.Replica.SetLeading(true)
	defer c.deps.Replica.SetLeading(false)
	c.fleet.open(leader.Term)
	defer c.fleet.close()
	l.formerLeases = time.Now().Add(c.settings.Timing.MaxProofAge)
	c.deps.Logger.Info().Str("step", "leader.lead").Int64("term", leader.Term).Int("jobs", l.controller.Jobs()).
		Msg("leadership taken")
	// No lease is granted before this first acknowledged write.
	if err := l.writer.heartbeat(ctx); err != nil {
		return err
	}
	go directory.AnnounceLeader(ctx, c.deps.DirectoryLog, leader)
	go handover{leader: leader, deps: c.deps}.toLarger(ctx, c.settings.Cores)
	go newPruner(c.deps, leader.Address).run(ctx)
	for {
		if err := l.round(ctx); err != nil {
			return err
		}
	}
}

func (c *Candidate) newLeadership(leader directory.Leader) *leadership {
	l := &leadership{
		Candidate: c,
		writer:    newTermWriter(leader, c.deps, c.fleet),
		controller: dispatch.New(c.settings.Dispatch, dispatch.Dependencies{
			Catalog: c.deps.Catalog,
			Permits: c.deps.Permits,
			Logger:  c.deps.Logger,
			Metrics: c.metrics.dispatch,
		}),
	}
	for _, job := range c.deps.Replica.Jobs() {
		l.controller.ApplyJob(job)
	}
	return l
}

// round decides, rests, writes a heartbeat if one is due, and waits. An error ends the
// leadership.
func (l *leadership) round(ctx context.Context) error {
	// Taken before the decision: what changes during it wakes the wait.
	jobs, operators := l.deps.Replica.JobsChanged(), l.deps.Catalog.Changed()
	worked, err := l.decide(ctx)
	if err != nil {
		return err
	}
	pause.For(ctx, restAfter(worked))
	if time.Since(l.writer.written) >= l.settings.Timing.HeartbeatInterval {
		if err := l.writer.heartbeat(ctx); err != nil {
			return err
		}
	}
	if err := l.wait(ctx, jobs, operators); err != nil {
		return err
	}
	return l.checkLeading(ctx)
}

// decide takes what is new, decides, stores the decision, and publishes it. It returns the time
// that this took without the append.
func (l *leadership) decide(ctx context.Context) (worked time.Duration, err error) {
	now := time.Now()
	// What polls and expired leases end may have been sent until they were taken.
	polls := l.fleet.take()
	l.controller.NoteSent(l.fleet.takeSent())
	for _, p := range polls {
		l.controller.ApplyPoll(p.at, p.poll)
	}
	for _, job := range l.deps.Replica.TakeChanged() {
		l.controller.ApplyJob(job)
	}
	expired := l.fleet.expire(l.controller.WorkersInUse(), now, l.formerLeases)
	l.controller.NoteSent(l.fleet.takeSent())
	l.controller.ExpireLeases(expired)
	l.controller.Plan(ctx, now)
	records, err := l.controller.TakeRecords(now)
	if err != nil {
		return 0, err
	}
	worked = time.Since(now)
	if len(records) > 0 {
		if err := l.writer.write(ctx, records); err != nil {
			return 0, err
		}
	}
	stored := time.Now()
	l.fleet.publish(l.controller.TakeDesired(now))
	l.controller.UpdateMetrics(now)
	worked += time.Since(stored)
	l.metrics.passTime.RecordDuration(time.Since(now))
	l.metrics.workTime.RecordDuration(worked)
	return worked, nil
}

// wait returns when there is something to decide on, or a heartbeat or decision is due.
func (l *leadership) wait(ctx context.Context, jobs, operators <-chan struct{}) error {
	timer := time.NewTimer(l.untilDue())
	defer timer.Stop()
	select {
	case <-jobs:
	case <-operators:
	case <-l.fleet.decisionDue:
	case permits := <-l.controller.Permits():
		l.controller.ApplyPermits(permits)
	case <-timer.C:
	case <-l.resign:
		return l.giveUp(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// minWait keeps rounds apart when something is overdue.
const minWait = time.Millisecond

func (l *leadership) untilDue() time.Duration {
	heartbeat := l.writer.written.Add(l.settings.Timing.HeartbeatInterval)
	return max(min(time.Until(heartbeat), time.Until(l.controller.Next())), minWait)
}

// checkLeading returns an error if another entry leads, or after giving up for lack of polls.
func (l *leadership) checkLeading(ctx context.Context) error {
	if current, _, _ := l.deps.Replica.Leader(); current.Term > l.writer.leader.Term {
		return errSuperseded
	}
	if l.fleet.silence(time.Now()) > l.settings.Timing.IsolationTimeout && l.controller.Busy() {
		return errors.Join(errIsolated, l.giveUp(ctx))
	}
	return nil
}

// giveUp records that nobody leads, and returns errResigned.
func (l *leadership) giveUp(ctx context.Context) error {
	l.writer.leader.Incarnation = ""
	if err := l.writer.heartbeat(ctx); err != nil {
		return err
	}
	return errResigned
}

// Rest after a decision. Decisions look at all workers and jobs, and the more there are the more
// often one is due: without rest they would take all of the processor, and polls would wait.
const (
	// restFactor is the rest in multiples of the time that the decision took.
	restFactor = 2
	// Rests are at most maxRest long; those under minRest are left out.
	maxRest = 100 * time.Millisecond
	minRest = 2 * time.Millisecond
)

// restAfter is the rest after a decision that took so long without its append.
func restAfter(worked time.Duration) time.Duration {
	rest := min(restFactor*worked, maxRest)
	if rest < minRest {
		return 0
	}
	return rest
}
