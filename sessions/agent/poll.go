package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// Timeouts and pauses of the poll goroutine.
const (
	// pollTimeout bounds a complete poll, which an entry holds open for up to membership.PollWait.
	pollTimeout    = membership.PollWait + membership.PollIdleTimeout
	joinTimeout    = 10 * time.Second
	leavingTimeout = 2 * time.Second
	// firstBackoff and maxBackoff bound the backoff after a failure, which doubles with each
	// consecutive failure and has full jitter.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// poller is the state of the poll goroutine.
type poller struct {
	agent *Agent
	// entry is the address of the entry polled last.
	entry   string
	backoff time.Duration
	// revision is the revision of the latest view.
	revision int64
}

// poll joins through an entry, and then keeps one poll open at a time until ctx ends.
func (a *Agent) poll(ctx context.Context) {
	p := &poller{agent: a}
	for ctx.Err() == nil {
		p.entry = a.entries.choose()
		var err error
		if a.joined.Load() == 0 {
			err = p.join(ctx)
		} else {
			err = p.pollOnce(ctx)
		}
		if ctx.Err() == nil {
			p.handleResult(ctx, err)
		}
	}
}

// handleResult resets the backoff after a success. After a failure it records that the entry
// failed, and waits for the backoff.
func (p *poller) handleResult(ctx context.Context, err error) {
	if err == nil {
		p.backoff = 0
		return
	}
	p.agent.deps.Telemetry.Log.Warn().Str("step", "agent.poll").Err(err).Msg("call to the entry failed")
	p.agent.deps.Telemetry.Metrics.Counter("poll_failures").Inc(1)
	p.agent.entries.recordFailure(p.entry, err)
	p.backoff = min(max(2*p.backoff, firstBackoff), maxBackoff)
	timer := time.NewTimer(time.Duration(p.agent.deps.Random(int(p.backoff))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (p *poller) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answer membership.JoinAnswer
	a := p.agent
	worker := a.settings.Worker
	err := jsonhttp.Call(ctx, a.deps.Client, "agent.join", http.MethodPost, p.entry, "/internal/join", worker, &answer)
	if err != nil {
		return err
	}
	a.joined.Store(answer.Joined)
	a.deps.Telemetry.Log.Info().Str("step", "agent.join").Int64("joined", answer.Joined).Msg("joined")
	return nil
}

// pollOnce sends one poll. It returns when the poll has been answered or has failed, or when the
// agent cancels the poll because it has something new to report.
func (p *poller) pollOnce(ctx context.Context) error {
	a := p.agent
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	clearSignal(a.wakePoll)
	in := p.request()
	done := make(chan struct{})
	defer close(done)
	interrupted := make(chan struct{})
	go func() {
		select {
		case <-a.wakePoll:
			close(interrupted)
			cancel()
		case <-done:
		}
	}()
	var v membership.View
	err := jsonhttp.CallWithIdleTimeout(
		ctx, a.deps.Client, membership.PollIdleTimeout,
		"agent.poll", http.MethodPost, p.entry, "/internal/poll", in, &v,
	)
	if err != nil {
		select {
		case <-interrupted:
			return nil
		default:
		}
		return p.handleError(err)
	}
	p.apply(ctx, v)
	return nil
}

// request returns a poll with the revisions that the agent has and the reports of its gangs.
func (p *poller) request() membership.PollRequest {
	a := p.agent
	reports, stopped := a.gangs.Load().reports()
	return membership.PollRequest{
		Worker:         a.settings.Worker.Name,
		Incarnation:    a.settings.Worker.Incarnation,
		Revision:       p.revision,
		ConfigRevision: a.config.Load().revision,
		Leaving:        a.leaving.Load(),
		Gangs:          reports,
		Stopped:        stopped,
	}
}

// handleError makes the agent join again if the entry answered that it does not know the agent
// (status 410). It returns err.
func (p *poller) handleError(err error) error {
	var status *jsonhttp.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		p.agent.joined.Store(0)
	}
	return err
}

// apply replaces the list of entries, and applies the configuration and the assignments of a view
// if they are newer than those that the agent has.
func (p *poller) apply(ctx context.Context, v membership.View) {
	a := p.agent
	a.lastView.Store(time.Now().UnixNano())
	next := a.config.Load().with(v)
	a.config.Store(next)
	a.admission.SetMaxQueue(next.limits.QueueLength)
	a.entries.set(v.Entries)
	if v.Revision <= p.revision {
		return
	}
	p.revision = v.Revision
	select {
	case a.views <- v:
	case <-ctx.Done():
		// The control goroutine did not receive the view, so the next poll must request it again.
		p.revision = 0
	}
}

func clearSignal(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// notifyLeaving notifies one entry that the agent takes no new work. It does not retry, because the
// poll reports the same.
func (a *Agent) notifyLeaving(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	in := membership.LeavingNotice{Worker: a.settings.Worker.Name, Incarnation: a.settings.Worker.Incarnation}
	err := jsonhttp.Call(ctx, a.deps.Client, "agent.leaving", http.MethodPost, address, "/internal/leaving", in, nil)
	if err != nil {
		a.deps.Telemetry.Log.Warn().Str("step", "agent.leaving").Str("peer", address).Err(err).
			Msg("leaving notice not delivered")
	}
}
