package runner

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

const (
	// pollTimeout bounds a poll; it must be well above the time for which a leader holds one.
	pollTimeout = 1800 * time.Millisecond
	// repeatPause holds back the next waiting poll after an answer that was held for less than
	// heldAtLeast: it would only repeat what was just reported.
	heldAtLeast = 5 * time.Millisecond
	repeatPause = 30 * time.Millisecond
	// supersededPause is the pause between polls while a newer process of the agent is heard.
	supersededPause = 500 * time.Millisecond
)

// pollLoop polls the leader. One loop waits there for orders, the other one brings news at once.
func (r *Runner) pollLoop(ctx context.Context, wait bool, news chan struct{}) {
	for ctx.Err() == nil {
		if news != nil {
			select {
			case <-news:
			case <-ctx.Done():
				return
			}
		}
		held, err := r.pollOnce(ctx, wait)
		switch {
		case err != nil:
			pause.For(ctx, pauseAfter(err))
			if news != nil {
				signal(news)
			}
		case wait && held < heldAtLeast:
			pause.For(ctx, repeatPause)
		}
	}
}

// pauseAfter is how long to wait after a poll that failed.
func pauseAfter(err error) time.Duration {
	if isSuperseded(err) {
		return supersededPause
	}
	return retryPause
}

// pollOnce makes one poll and applies the answer. It returns for how long the leader held the
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
		r.giveWay(superseded.Term)
	}
	if err != nil {
		return 0, err
	}
	r.applyAnswer(ctx, answer, sent, generation)
	return answer.Held(), nil
}

// nextPoll describes the worker, in full or as a delta, and returns the generation that is
// described.
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
		Fence:         max(r.leader.fence, r.leader.offered),
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
	if r.leader.refused == r.leader.fence {
		p.RefusedFence = r.leader.refused
	}
	if !p.Complete {
		return p, r.generation
	}
	p.Runs = r.present.runs.report(now)
	p.Ends = r.present.ends.list()
	for _, refused := range r.present.refusals {
		p.Refused = append(p.Refused, refused.Refusal)
	}
	return r.shorten(p), r.generation
}

// described reports whether the worker has listed what it runs under the newest fence, so that polls
// describe it. The lock must be held.
func (r *Runner) described() bool { return r.present.complete && r.leader.offered <= r.leader.fence }

// ageMillis is how long this process has run or is back, in milliseconds and at least one, while a
// start that another one has sent may be open; zero after that.
func (r *Runner) ageMillis(now time.Time) int64 {
	age := now.Sub(r.begunAt)
	if age >= assignment.MaxOpenTime {
		return 0
	}
	return max(age.Milliseconds(), 1)
}
