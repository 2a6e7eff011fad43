package jobtest

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/runner"
)

// This file implements the faults of the calls from an agent to its worker. Faults of the worker
// itself, which end its runs, are in crash.go.

// ErrBrokenOff is the failure of a worker that breaks off calls.
var ErrBrokenOff = errors.New("the worker broke off the call")

var errLost = errors.New("the answer was lost")

// SetUnreachable drops the agent's calls while lost is true. Runs continue.
func (w *Worker) SetUnreachable(lost bool) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.unreachable = lost
}

// SetFailure makes the agent's calls fail at once with an error, such as ErrBrokenOff or
// runner.ErrUnavailable, until it is called with nil. Runs and heartbeats continue.
func (w *Worker) SetFailure(failure error) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.failure = failure
}

// SetAnswers makes a share of the calls get no answer although they are executed, and delays the
// other answers by up to the given time.
func (w *Worker) SetAnswers(lostShare float64, delay time.Duration) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.lostShare, w.answerDelay = lostShare, delay
}

// SetLate makes a share of the orders get no response and execute late.
func (w *Worker) SetLate(share float64) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.lateShare = share
}

// DelayStarts makes starts get no response and execute after the delay; zero ends this. It returns
// the number of delayed starts so far.
func (w *Worker) DelayStarts(delay time.Duration) int {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.startDelay = delay
	return w.delayedStarts
}

// Heal ends the faults of the worker's link.
func (w *Worker) Heal() {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.unreachable, w.failure, w.lateShare = false, nil, 0
	w.lostShare, w.answerDelay = 0, 0
}

// deliverAnswer applies the faults of answers: it delays the answer, or returns an error if it is
// lost.
func (w *Worker) deliverAnswer(ctx context.Context) error {
	w.workers.mu.Lock()
	var delay time.Duration
	if w.answerDelay > 0 {
		delay = time.Duration(w.workers.random.Int64N(int64(w.answerDelay)))
	}
	lost := w.lostShare > 0 && w.workers.random.Float64() < w.lostShare
	w.workers.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errLost
	}
	if delay == 0 {
		return nil
	}
	return sleep(ctx, delay)
}

// executeAfter executes an order after a delay if the worker is up by then. It blocks until ctx
// ends and returns errLost. The caller must hold the lock, which is released while waiting.
func (w *Worker) executeAfter(ctx context.Context, delay time.Duration, o runner.Order, apply func() error) error {
	time.AfterFunc(delay, func() {
		w.workers.mu.Lock()
		defer w.workers.mu.Unlock()
		if w.up {
			w.executingLate = true
			w.logLate(o, w.execute(o, apply))
			w.executingLate = false
		}
	})
	w.workers.mu.Unlock()
	<-ctx.Done()
	w.workers.mu.Lock()
	return errLost
}
