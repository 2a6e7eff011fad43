package runner

import (
	"context"
	"errors"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// Heartbeat processes the worker's report on itself. It returns false for an incarnation that has
// ended or may have ended, and while the leader accepts polls from a newer process of the agent.
func (r *Runner) Heartbeat(ctx context.Context, reported assignment.WorkerState) bool {
	if r.isSuperseded() || !r.acceptIdentity(reported) {
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
	r.applyHeartbeat(reported)
	return true
}

// applyHeartbeat stores a report of the present incarnation, or of the next one. The lock must be
// held.
func (r *Runner) applyHeartbeat(reported assignment.WorkerState) {
	logger := r.dependencies.Logger
	switch {
	case r.worker == nil:
		logger.Info().Str("step", "runner.heartbeat").Stringer("life", reported.ID).Msg("worker incarnation registered")
		r.present.contact.lastAnswer = time.Now()
	case r.worker.Draining != reported.Draining:
		logger.Info().Str("step", "runner.heartbeat").Stringer("life", reported.ID).
			Int64("leaves_in_ms", reported.DrainMillis).Msg("worker is draining")
	}
	changed := r.worker == nil || r.worker.ID != reported.ID || r.worker.Draining != reported.Draining ||
		r.worker.Capacity != reported.Capacity
	r.recordCapacity(reported.Capacity)
	r.worker, r.former.unregistered = &reported, incarnation.ID{}
	r.open.switchTo(reported.ID.Instance)
	if reported.Draining {
		r.present.drainsAt = time.Now().Add(time.Duration(reported.DrainMillis) * time.Millisecond)
	}
	if changed {
		signal(r.report)
		signal(r.extend)
	}
}

// conflict reports whether a heartbeat names another incarnation than the present one, and returns
// the order with which to probe the worker. The heartbeat is not necessarily the newer one: it may
// have been delayed until the next incarnation had reported, and this process may have started in
// between.
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
// present one, and reports whether it is the one of the heartbeat. Without an answer nothing
// changes, and the next heartbeat probes again. The lock must be held.
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
			Stringer("current", current.Incarnation).Msg("ignoring late heartbeat of a former incarnation")
	}
	return false
}

// refusedByInstance reports whether a worker of the expected instance has answered and refused the
// call. The answer does not show which incarnation of that instance it comes from.
func refusedByInstance(answer error) bool {
	return errors.Is(answer, ErrFenced) || errors.Is(answer, ErrUnavailable)
}

// identity holds the properties that a worker cannot change within an incarnation.
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

// acceptIdentity reports whether a heartbeat has the expected identity: for the present incarnation
// the one that it reported before, for any other incarnation the one in the settings. Processes
// other than the worker may send heartbeats too, so a different identity is accepted only if two
// heartbeats in a row claim it.
func (r *Runner) acceptIdentity(reported assignment.WorkerState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed := identityOf(reported)
	present := r.worker != nil && r.worker.ID == reported.ID
	known := present && identityOf(*r.worker) == claimed
	expected := !present && r.settings.expects(reported)
	if known || expected || r.rejectedIdentity == claimed {
		r.rejectedIdentity = identity{}
		return true
	}
	r.rejectedIdentity = claimed
	r.metrics.unexpectedIdentities.Inc(1)
	r.dependencies.Logger.Warn().Str("step", "runner.heartbeat").Stringer("life", reported.ID).
		Str("service", reported.Service).Str("zone", reported.Zone).Strs("labels", reported.Labels).
		Msg("dropping heartbeat with an unexpected identity")
	return false
}

// expects reports whether a worker has the service and the zone of the settings. Empty settings
// match every worker.
func (s Settings) expects(w assignment.WorkerState) bool {
	return (s.Service == "" || s.Service == w.Service) && (s.Zone == "" || s.Zone == w.Zone)
}

// Deregister handles the deregistration of a worker that shuts down. The call names only the
// instance. Where several incarnations may share one, it is accepted only for a draining worker.
// Otherwise a late deregistration of a former incarnation would end the present one, and its runs
// would be started twice.
func (r *Runner) Deregister(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker == nil || r.worker.ID.Instance != instance {
		r.former.recordDrained(incarnation.ID{Instance: instance})
		return
	}
	if r.worker.ID.StartMillis != 0 && !r.worker.Draining {
		r.dependencies.Logger.Warn().Str("step", "runner.gone").Stringer("life", r.worker.ID).
			Msg("ignoring deregistration of a worker that is not draining")
		return
	}
	r.present.contact.lastAnswer = time.Now()
	r.endIncarnation(errDrained)
}
