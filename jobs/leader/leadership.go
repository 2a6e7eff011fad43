package leader

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/dispatch"
	"yarrowgrade.example/yarrowgrade/jobs/jobstore"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// leadership is the state of one term in which this entry leads. It is used only by the goroutine
// that runs lead.
type leadership struct {
	*Candidate
	writer     *termWriter
	controller *dispatch.Controller
	// lastFormerGrant is the latest time at which a former leader may have granted a lease.
	lastFormerGrant time.Time
	forecasts       *forecastSchedule
	// backlogNext is the offset in the job topic up to which submissions are part of the backlog.
	backlogNext int64
}

// lead runs the term until leadership is lost, and returns the reason.
func (c *Candidate) lead(ctx context.Context, leader directory.Leader) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := c.newLeadership(leader)
	c.deps.Replica.SetLeading(true)
	defer c.deps.Replica.SetLeading(false)
	c.fleet.open(leader.Term)
	defer c.fleet.close()
	l.lastFormerGrant = time.Now().Add(c.settings.Timing.MaxProofAge)
	c.deps.Logger.Info().Str("step", "leader.lead").Int64("term", leader.Term).Int("jobs", l.controller.JobCount()).
		Msg("leadership acquired")
	// No lease is granted before this first write is acknowledged.
	if err := l.heartbeat(ctx); err != nil {
		return err
	}
	go c.deps.Directory.KeepAnnounced(ctx, c.deps.DirectoryLog, leader)
	go handover{leader: leader, deps: c.deps}.offerToLarger(ctx, c.settings.Cores)
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
		forecasts: newForecastSchedule(time.Now(), c.deps.Replica.ForecastStored()),
	}
	for _, job := range c.deps.Replica.Jobs() {
		l.controller.ApplyJob(job)
	}
	return l
}

// round makes a decision, pauses, writes a heartbeat if one is due, and waits until the next
// decision is needed. An error ends the leadership.
func (l *leadership) round(ctx context.Context) error {
	// These channels are read before the decision, so that a change during it ends the wait.
	jobs, operators := l.deps.Replica.JobsChanged(), l.deps.Catalog.Changed()
	computeTime, err := l.decide(ctx)
	if err != nil {
		return err
	}
	pause.For(ctx, pauseAfter(computeTime))
	if time.Since(l.writer.lastAppend) >= l.settings.Timing.HeartbeatInterval {
		if err := l.heartbeat(ctx); err != nil {
			return err
		}
	}
	if err := l.wait(ctx, jobs, operators); err != nil {
		return err
	}
	return l.checkLeading(ctx)
}

// decide applies all new input, makes a decision, stores it, and publishes it. It returns the time
// taken excluding the append.
func (l *leadership) decide(ctx context.Context) (computeTime time.Duration, err error) {
	now := time.Now()
	// Runs ended by a poll or an expired lease may have been sent to the agent until the poll was
	// taken or the lease expired.
	polls := l.fleet.take()
	l.controller.MarkSent(l.fleet.takeSent())
	for _, p := range polls {
		l.controller.ApplyPoll(p.at, p.poll)
	}
	_, _, next := l.deps.Replica.Leader()
	for _, job := range l.deps.Replica.TakeChanged() {
		l.controller.ApplyJob(job)
	}
	expired := l.fleet.expire(l.controller.WorkersInUse(), now, l.lastFormerGrant)
	l.controller.MarkSent(l.fleet.takeSent())
	l.controller.ExpireLeases(expired)
	l.controller.Plan(ctx, now)
	if l.controller.BacklogAt().Equal(now) {
		l.backlogNext = next
	}
	records, err := l.controller.TakeRecords(now)
	if err != nil {
		return 0, err
	}
	computeTime = time.Since(now)
	if len(records) > 0 {
		if err := l.append(ctx, records); err != nil {
			return 0, err
		}
	}
	stored := time.Now()
	l.fleet.publish(l.controller.TakeDesired(now))
	l.controller.UpdateMetrics(now)
	computeTime += time.Since(stored)
	l.metrics.passTime.RecordDuration(time.Since(now))
	l.metrics.workTime.RecordDuration(computeTime)
	return computeTime, nil
}

// heartbeat writes the leader record, and with it the forecast of the backlog if it is due.
func (l *leadership) heartbeat(ctx context.Context) error {
	record, err := directory.LeaderRecord(l.writer.leader)
	if err != nil {
		return err
	}
	return l.append(ctx, []topic.Record{record})
}

// append writes records, and with them the forecast of the backlog if it is due.
func (l *leadership) append(ctx context.Context, records []topic.Record) error {
	now := time.Now()
	forecast, due := l.forecasts.next(now, l.controller.Backlog())
	if due {
		record, err := jobstore.ForecastRecord(forecast.WithTerm(l.writer.leader.Term).WithNext(l.backlogNext))
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	if err := l.writer.write(ctx, records); err != nil {
		return err
	}
	if due {
		l.forecasts.markWritten(now, forecast)
		l.logForecast(forecast)
	}
	return nil
}

// wait returns when there is new input for a decision, or when a heartbeat or a decision is due.
func (l *leadership) wait(ctx context.Context, jobs, operators <-chan struct{}) error {
	timer := time.NewTimer(l.untilDue())
	defer timer.Stop()
	select {
	case <-jobs:
	case <-operators:
	case <-l.fleet.decisionDue:
	case permits := <-l.controller.PermitResults():
		l.controller.ApplyPermitResult(permits)
	case <-timer.C:
	case <-l.resign:
		return l.stepDown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// minWait is the minimum wait between rounds. It prevents a busy loop when an action is overdue.
const minWait = time.Millisecond

// untilDue returns the time until the next heartbeat or decision is due.
func (l *leadership) untilDue() time.Duration {
	heartbeat := l.writer.lastAppend.Add(l.settings.Timing.HeartbeatInterval)
	return max(min(time.Until(heartbeat), time.Until(l.controller.NextPlanAt())), minWait)
}

// checkLeading returns an error if another entry leads. It steps down and returns an error if there
// are unfinished jobs but no agent has polled for the isolation timeout.
func (l *leadership) checkLeading(ctx context.Context) error {
	if current, _, _ := l.deps.Replica.Leader(); current.Term > l.writer.leader.Term {
		return errSuperseded
	}
	if l.fleet.silence(time.Now()) > l.settings.Timing.IsolationTimeout && l.controller.Busy() {
		return errors.Join(errIsolated, l.stepDown(ctx))
	}
	return nil
}

// stepDown writes a leader record without an incarnation, which tells other entries that leadership
// is vacant, and returns errResigned.
func (l *leadership) stepDown(ctx context.Context) error {
	l.writer.leader.Incarnation = ""
	if err := l.writer.heartbeat(ctx); err != nil {
		return err
	}
	return errResigned
}

// The leading goroutine pauses after each decision. A decision examines all workers and jobs, and
// decisions are due more often the more workers and jobs there are. Without a pause, decisions
// would use all CPU time and delay the handling of polls.
const (
	// pauseFactor is the length of the pause as a multiple of the time that the decision took.
	pauseFactor = 2
	// Pauses are limited to maxPause. Those shorter than minPause are skipped.
	maxPause = 100 * time.Millisecond
	minPause = 2 * time.Millisecond
)

// pauseAfter returns the pause after a decision that took computeTime, excluding its append.
func pauseAfter(computeTime time.Duration) time.Duration {
	d := min(pauseFactor*computeTime, maxPause)
	if d < minPause {
		return 0
	}
	return d
}
