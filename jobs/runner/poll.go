package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

const (
	// pollTimeout limits a poll. It must be well above the time for which a leader holds a poll.
	pollTimeout = 1800 * time.Millisecond
	// repeatPause is the pause before the next waiting poll if the leader held the last one for
	// less than minHold. Without the pause, the poll would only repeat what was just reported.
	minHold     = 5 * time.Millisecond
	repeatPause = 30 * time.Millisecond
	// supersededPause is the pause between polls while the leader accepts polls from a newer
	// process of the agent.
	supersededPause = 500 * time.Millisecond
)

// pollLoop polls the leader. It runs twice: one loop lets the leader hold its polls until there are
// orders, the other one polls at once whenever trigger fires.
func (r *Runner) pollLoop(ctx context.Context, wait bool, trigger chan struct{}) {
	for ctx.Err() == nil {
		if trigger != nil {
			select {
			case <-trigger:
			case <-ctx.Done():
				return
			}
		}
		held, err := r.pollOnce(ctx, wait)
		switch {
		case err != nil:
			pause.For(ctx, pauseAfter(err))
			if trigger != nil {
				signal(trigger)
			}
		case wait && held < minHold:
			pause.For(ctx, repeatPause)
		}
	}
}

// pauseAfter returns the pause after a failed poll.
func pauseAfter(err error) time.Duration {
	if isSuperseded(err) {
		return supersededPause
	}
	return retryPause
}

// pollOnce makes one poll and applies the answer. It returns the time for which the leader held the
// poll.
func (r *Runner) pollOnce(ctx context.Context, wait bool) (held time.Duration, err error) {
	poll, generation := r.nextPoll(wait)
	sent := r.dependencies.Suspension.Now()
	attempt, cancel := context.WithTimeout(ctx, pollTimeout)
	answer, err := r.dependencies.Leader.Poll(attempt, poll)
	cancel()
	r.metrics.polls.Inc(outcomeOf(err))
	var superseded *SupersededError
	if errors.As(err, &superseded) {
		r.standDown(superseded.Term)
	}
	if err != nil {
		return 0, err
	}
	r.applyAnswer(ctx, answer, sent, generation)
	return answer.Held(), nil
}

// nextPoll returns a poll that describes the worker, in full or as a delta, and the generation that
// it describes.
func (r *Runner) nextPoll(wait bool) (assignment.Poll, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls.sequence++
	now := time.Now()
	p := assignment.Poll{
		Worker:        r.settings.Name,
		Agent:         r.settings.Agent,
		AgentMillis:   r.ageMillis(now),
		Sequence:      r.polls.sequence,
		Term:          r.leader.term,
		Fence:         max(r.leader.fence, r.leader.offeredFence),
		Complete:      r.described(),
		AckedEnd:      r.present.ends.acked,
		Wait:          wait,
		Unresponsive:  r.worker != nil && (r.present.contact.unresponsive(now) || r.present.contact.fencedOff(now)),
		FailingMillis: r.present.contact.failingMillis(),
	}
	p.OpenStarts = r.openStarts(now)
	if r.open.forget.unanswered(now) {
		p.NoStartsMillis = r.open.forget.until.Sub(now).Milliseconds()
	}
	p.EndedIncarnations = r.reportEnded()
	p.ClosingIncarnations = r.former.closing()
	if r.worker != nil {
		state := *r.worker
		p.State = &state
	}
	if r.leader.refusedFence == r.leader.fence {
		p.RefusedFence = r.leader.refusedFence
	}
	if !p.Complete {
		return p, r.generation
	}
	r.describe(&p, now)
	return r.shorten(p), r.generation
}

// describe adds the runs, ends and refusals of the present incarnation to a poll. The lock must be
// held.
func (r *Runner) describe(p *assignment.Poll, now time.Time) {
	p.Partial = r.present.partial()
	p.Runs = r.present.runs.report(now)
	p.Ends = r.present.ends.list()
	for _, refused := range r.present.refusals {
		p.Refused = append(p.Refused, refused.Refusal)
	}
}

// described reports whether polls describe the worker: it has listed its runs under the newest
// fence. The lock must be held.
func (r *Runner) described() bool {
	return r.present.complete && r.leader.offeredFence <= r.leader.fence
}

// ageMillis returns the time since this process started or resumed, in milliseconds and at least
// one, as long as a start that was sent by another process may be open. After that it returns zero.
func (r *Runner) ageMillis(now time.Time) int64 {
	age := now.Sub(r.activeSince)
	if age >= assignment.MaxOpenStartTime {
		return 0
	}
	return max(age.Milliseconds(), 1)
}
