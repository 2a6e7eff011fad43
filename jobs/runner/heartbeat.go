package runner

import (
	"context"
	"errors"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Heartbeat takes over what the worker reports of itself. It returns false for an incarnation
// that is over, or that may be, and while a newer process of the agent is heard.
func (r *Runner) Heartbeat(ctx context.Context, reported assignment.WorkerState) bool {
	if r.isSuperseded() || !r.plausible(reported) {
		return false
	}
	current, conflicting := r.conflict(reported.ID)
	var answer error
	if conflicting {
		answer = r.probe(ctx, current)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader.superseded {
		return false
	}
	if conflicting && !r.resolveConflict(current, reported.ID, answer) {
		return false
	}
	if r.former.known[reported.ID] {
		return false
	}
	r.takeReport(reported)
	return true
}

// takeReport takes over a report of the present incarnation, or of the next one. The lock must
// be held.
func (r *Runner) takeReport(reported assignment.WorkerState) {
	logger := r.dependencies.Logger
	switch {
	case r.worker == nil:
		logger.Info().Str("step", "runner.heartbeat").Stringer("life", reported.ID).Msg("worker reports")
		r.present.contact.lastAnswer = time.Now()
	case r.worker.Draining != reported.Draining:
		logger.Info().Str("step", "runner.heartbeat").Stringer("life", reported.ID).
			Int64("leaves_in_ms", reported.DrainMillis).Msg("worker drains")
	}
	news := r.worker == nil || r.worker.ID != reported.ID || r.worker.Draining != reported.Draining ||
		r.worker.Capacity != reported.Capacity
	r.noteCapacity(reported.Capacity)
	r.worker, r.former.unregistered = &reported, incarnation.ID{}
	r.open.meet(reported.ID.Instance)
	if reported.Draining {
		r.present.drainsAt = time.Now().Add(time.Duration(reported.DrainMillis) * time.Millisecond)
	}
	if news {
		signal(r.report)
		signal(r.extend)
	}
}

// conflict reports whether a heartbeat is of another incarnation than the present one, and
// returns the order with which to ask the worker. The heartbeat need not be the newer one: it
// may have been held up until the next incarnation had reported, and this process may have
// begun in between.
func (r *Runner) conflict(id incarnation.ID) (current Order, conflicting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.worker.ID == id || r.former.known[id] {
		return Order{}, false
	}
	current, _ = r.order()
	return Order{Incarnation: r.worker.ID, Fence: current.Fence}, true
}

// probe asks the worker whether it is still in an incarnation, and returns nil if it is.
func (r *Runner) probe(ctx context.Context, current Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := r.sync(ctx, syncCall{order: current})
	return err
}

// resolveConflict decides by the worker's answer to a probe which of two incarnations is the
// present one, and reports whether that is the one of the heartbeat. Without an answer nothing
// changes: the next heartbeat probes again. The lock must be held.
func (r *Runner) resolveConflict(current Order, reported incarnation.ID, answer error) bool {
	switch {
	case errors.Is(answer, ErrOtherIncarnation):
		if r.worker != nil && r.worker.ID == current.Incarnation {
			r.endIncarnation(answer)
		}
		return r.worker == nil || r.worker.ID == reported
	case answer == nil, refusedByInstance(answer) && !reported.SharesInstance(current.Incarnation):
		r.former.known[reported] = true
		r.dependencies.Logger.Info().Str("step", "runner.heartbeat").Stringer("life", reported).
			Stringer("current", current.Incarnation).Msg("late heartbeat of a former incarnation")
	}
	return false
}

// refusedByInstance reports whether a worker with the instance that was meant has answered, and
// refused the call. Which of its incarnations that was it doesn't say.
func refusedByInstance(answer error) bool {
	return errors.Is(answer, ErrFenced) || errors.Is(answer, ErrUnavailable)
}

// identity is what a worker can't change within an incarnation.
type identity struct {
	service, zone, rack, labels, machine string
}

func identityOf(w assignment.WorkerState) identity {
	return identity{
		service: w.Service,
		zone:    w.Zone,
		rack:    w.Rack,
		labels:  strings.Join(w.Labels, "\n"),
		machine: w.Machine,
	}
}

// plausible reports whether a heartbeat claims the identity that is known: of the present
// incarnation the one that it reported before, of any other one that of the settings. Others
// than the worker may send heartbeats too, so a different identity is believed only once it is
// claimed twice in a row.
func (r *Runner) plausible(reported assignment.WorkerState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed := identityOf(reported)
	present := r.worker != nil && r.worker.ID == reported.ID
	known := present && identityOf(*r.worker) == claimed
	expected := !present && r.settings.expects(reported)
	if known || expected || r.doubtful == claimed {
		r.doubtful = identity{}
		return true
	}
	r.doubtful = claimed
	r.metrics.implausible.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.heartbeat").Stringer("life", reported.ID).
		Str("service", reported.Service).Str("zone", reported.Zone).Strs("labels", reported.Labels).
		Msg("heartbeat of another identity is dropped")
	return false
}

// expects reports whether a worker is of the service and the zone that the settings name, if
// they name them.
func (s Settings) expects(w assignment.WorkerState) bool {
	return (s.Service == "" || s.Service == w.Service) && (s.Zone == "" || s.Zone == w.Zone)
}

// Deregister handles the deregistration of a worker that ends. It names only the instance:
// where several incarnations may share one, it is believed only of a draining worker. Otherwise
// the late deregistration of a former incarnation would end the present one, and its runs would
// be started twice.
func (r *Runner) Deregister(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.worker.ID.Instance != instance {
		r.former.noteDrained(incarnation.ID{Instance: instance})
		return
	}
	if r.worker.ID.StartMillis != 0 && !r.worker.Draining {
		r.dependencies.Logger.Warn().Str("step", "runner.gone").Stringer("life", r.worker.ID).
			Msg("a worker that isn't draining deregisters; its incarnation goes on")
		return
	}
	r.present.contact.lastAnswer = time.Now()
	r.endIncarnation(errDrained)
}
