package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/gang"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// gangs holds the members and leaders on this worker, by token. It is immutable after it is
// published.
type gangs struct {
	members map[int64]*gang.Member
	leaders map[int64]*gang.Leader
	// assigned holds the tokens of the assignments in the latest view.
	assigned map[int64]bool
}

// empty reports whether the worker has no assignments.
func (g *gangs) empty() bool { return len(g.assigned) == 0 }

// reports returns the reports of the leaders, and the assigned members that have stopped.
func (g *gangs) reports() ([]gang.Report, []membership.StoppedMember) {
	var list []gang.Report
	for _, l := range g.leaders {
		list = append(list, l.Report())
	}
	var stopped []membership.StoppedMember
	for token, m := range g.members {
		if status, progress := m.Status(); status == gang.Stopped && g.assigned[token] {
			stopped = append(stopped, membership.StoppedMember{Token: token, Progress: progress})
		}
	}
	return list, stopped
}

// control runs the control goroutine, which owns the members and leaders. It applies views, and
// interrupts the open poll when there is something new to report.
func (a *Agent) control(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	g := &gangs{members: map[int64]*gang.Member{}, leaders: map[int64]*gang.Leader{}}
	for {
		select {
		case v := <-a.views:
			g = a.reconcile(ctx, &wg, g, v)
			a.gangs.Store(g)
		case <-a.wakeControl:
		case <-ctx.Done():
			return
		}
		a.notifyPoll()
	}
}

// reconcile starts members for the new assignments in a view, stops members that must stop or are
// no longer assigned, and returns the resulting gangs.
func (a *Agent) reconcile(ctx context.Context, wg *conc.WaitGroup, old *gangs, v membership.View) *gangs {
	g := &gangs{members: map[int64]*gang.Member{}, leaders: map[int64]*gang.Leader{}, assigned: map[int64]bool{}}
	for _, as := range v.Assignments {
		g.assigned[as.Token] = true
		m, found := old.members[as.Token]
		if !found {
			m = a.newMember(ctx, wg, as)
		}
		g.members[as.Token] = m
		if as.Phase == ledger.Stopping || as.Token < a.joined.Load() {
			// A token from before this incarnation joined belongs to a member that was lost with
			// the previous incarnation. Its task must end.
			m.Stop()
		}
		if l := a.leaderFor(ctx, wg, old, as); l != nil {
			g.leaders[as.Token] = l
		}
	}
	for token, m := range old.members {
		if !g.assigned[token] {
			m.Stop()
		}
	}
	return g
}

func (a *Agent) newMember(ctx context.Context, wg *conc.WaitGroup, as membership.Assignment) *gang.Member {
	spec := hosting.TaskSpec{
		Worker:       a.settings.Worker.Name,
		Session:      as.Session,
		Token:        as.Token,
		Accelerators: as.Accelerators,
		Work:         as.Work,
		Checkpoint:   as.Checkpoint,
	}
	withTrace := func(ctx context.Context) context.Context { return a.deps.Telemetry.WithTrace(ctx, as.Trace) }
	m := gang.NewMember(spec, a.link(as), a.deps.Platform, a.settings.Timing, a.notifyControl, withTrace)
	a.deps.Telemetry.Log.Info().Str("step", "gang.assigned").Str("session", as.Session).Int64("token", as.Token).
		Msg("preparing gang member")
	wg.Go(func() { m.Run(ctx) })
	return m
}

// leaderFor returns the leader of the gang if this worker leads it, and nil otherwise. It notifies
// the leader when the gang runs.
func (a *Agent) leaderFor(ctx context.Context, wg *conc.WaitGroup, old *gangs, as membership.Assignment) *gang.Leader {
	if len(as.Members) == 0 || as.Members[0].Worker != a.settings.Worker.Name || as.Token < a.joined.Load() {
		return nil
	}
	l, found := old.leaders[as.Token]
	if !found {
		var names []string
		for _, m := range as.Members {
			names = append(names, m.Worker)
		}
		l = gang.NewLeader(as.Token, names, a.settings.Timing)
		wg.Go(func() { a.watchLeader(ctx, l) })
	}
	if as.Phase == ledger.Running {
		l.SetRunning()
	}
	return l
}

// watchLeader notifies the control goroutine whenever the leader's report may have changed.
func (a *Agent) watchLeader(ctx context.Context, l *gang.Leader) {
	for ctx.Err() == nil {
		changed := l.Changed()
		// Notify after getting the channel, so that no change is missed in between.
		a.notifyControl()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (a *Agent) notifyControl() { signal(a.wakeControl) }
func (a *Agent) notifyPoll()    { signal(a.wakePoll) }

// signal wakes the receiver of a channel of capacity 1 without blocking. Pending signals are
// merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// errNoLeader means that the leader's agent does not know the gang: either it has not received the
// assignment yet, or the gang has ended.
var errNoLeader = errors.New("this agent has no leader for the gang")

// localLink passes heartbeats to a leader in this agent.
type localLink struct{ agent *Agent }

// Heartbeat implements gang.Link.
func (l localLink) Heartbeat(ctx context.Context, h gang.Heartbeat) (gang.Grant, error) {
	leader, found := l.agent.gangs.Load().leaders[h.Token]
	if !found {
		return gang.Grant{}, errNoLeader
	}
	return leader.Heartbeat(ctx, h), nil
}

// remoteLink sends heartbeats to a leader in another agent, over HTTP.
type remoteLink struct {
	client  *http.Client
	address string
}

// Heartbeat implements gang.Link.
func (l remoteLink) Heartbeat(ctx context.Context, h gang.Heartbeat) (gang.Grant, error) {
	var grant gang.Grant
	err := jsonhttp.Call(ctx, l.client, "gang.Beat", http.MethodPost, l.address, "/internal/beat", h, &grant)
	return grant, err
}

func (a *Agent) link(as membership.Assignment) gang.Link {
	if len(as.Members) == 0 || as.Members[0].Worker == a.settings.Worker.Name {
		return localLink{agent: a}
	}
	return remoteLink{client: a.deps.Client, address: as.Members[0].Address}
}

// sinceView returns the time since the last answered poll.
func (a *Agent) sinceView() time.Duration {
	return time.Since(time.Unix(0, a.lastView.Load()))
}
