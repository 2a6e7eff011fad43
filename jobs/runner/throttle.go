package runner

import (
	"context"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// Best-effort runs are throttled while runs with a latency target share their worker. The worker
// reports latencies over the last half second, so each adjustment, one per throttleInterval, sees
// the effect of the previous one.
const (
	throttleInterval = 700 * time.Millisecond
	// fullSpeed, in percent, is the speed of a run that is not throttled.
	fullSpeed = 100
	// initialSpeed is the speed at which best-effort runs start next to a run with a latency
	// target.
	initialSpeed = 50
	// Above highLatency, as a fraction of the target, the speed is halved; below minSpeed it
	// becomes zero. Below lowLatency the speed is raised by speedStep.
	highLatency = 0.9
	lowLatency  = 0.7
	minSpeed    = 10
	speedStep   = 10
)

// throttle controls the speed of the best-effort runs on one worker.
type throttle struct {
	roles map[assignment.RunID]assignment.Role
	// speed is the common speed of all best-effort runs while they share the worker, in percent.
	speed int
	// applied holds the speed that the worker has for each run; a missing entry means fullSpeed.
	applied map[assignment.RunID]int
}

func newThrottle() throttle {
	return throttle{speed: initialSpeed, applied: map[assignment.RunID]int{}}
}

// assign stores the roles of the worker's runs.
func (t *throttle) assign(roles []assignment.Role) {
	t.roles = make(map[assignment.RunID]assignment.Role, len(roles))
	for _, role := range roles {
		t.roles[role.RunID] = role
	}
}

// shared reports whether there are both runs with a latency target and best-effort runs.
func (t *throttle) shared(runs map[assignment.RunID]*run) bool {
	targeted, bestEffort := false, false
	for id := range runs {
		role := t.roles[id]
		targeted = targeted || role.LatencyTargetMillis > 0
		bestEffort = bestEffort || role.BestEffort
	}
	return targeted && bestEffort
}

// adjust sets the speed by the run with the highest latency in proportion to its target.
func (t *throttle) adjust(runs map[assignment.RunID]*run) {
	if !t.shared(runs) {
		t.speed = initialSpeed
		return
	}
	worst := 0.0
	for id, k := range runs {
		if target := t.roles[id].LatencyTargetMillis; target > 0 {
			worst = max(worst, float64(k.latencyMillis)/float64(target))
		}
	}
	switch {
	case worst > highLatency:
		if t.speed /= 2; t.speed < minSpeed {
			t.speed = 0
		}
	case worst < lowLatency:
		t.speed = min(t.speed+speedStep, fullSpeed)
	}
}

// changes returns the runs whose speed on the worker has to change, with the new speed in percent.
func (t *throttle) changes(runs map[assignment.RunID]*run) map[assignment.RunID]int {
	want := fullSpeed
	if t.shared(runs) {
		want = t.speed
	}
	changes := map[assignment.RunID]int{}
	for id, k := range runs {
		applied, ok := t.applied[id]
		if !ok {
			applied = fullSpeed
		}
		if k.running && t.roles[id].BestEffort && applied != want {
			changes[id] = want
		}
	}
	for id := range t.applied {
		if runs[id] == nil {
			delete(t.applied, id)
		}
	}
	return changes
}

// throttleLoop throttles best-effort runs while they share the worker. It sleeps until an answer of
// the leader contains roles.
func (r *Runner) throttleLoop(ctx context.Context) {
	for {
		select {
		case <-r.shared:
		case <-ctx.Done():
			return
		}
		for r.throttleOnce(ctx) && ctx.Err() == nil {
			pause.For(ctx, throttleInterval)
		}
	}
}

// throttleOnce sets the speed by the worker's latest latencies. It reports whether throttling has
// to go on.
func (r *Runner) throttleOnce(ctx context.Context) bool {
	r.mu.Lock()
	shared := r.present.throttle.shared(r.present.runs.known)
	r.mu.Unlock()
	if shared && !r.syncOnce(ctx, 0) {
		return true
	}
	r.mu.Lock()
	r.present.throttle.adjust(r.present.runs.known)
	changes := r.present.throttle.changes(r.present.runs.known)
	order, ok := r.order()
	generation := r.generation
	r.mu.Unlock()
	if !ok {
		return false
	}
	for id, percent := range changes {
		r.setSpeed(ctx, order, id, percent, generation)
	}
	return shared || len(changes) > 0
}

// setSpeed sets the speed of a run on the worker, in percent. If the call gets no answer, the next
// adjustment repeats it.
func (r *Runner) setSpeed(ctx context.Context, order Order, id assignment.RunID, percent, generation int) {
	attempt, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	clock, err := r.dependencies.Worker.Throttle(attempt, order, id, percent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation != r.generation {
		return
	}
	r.recordAnswer(order, clock, err)
	r.dependencies.Logger.Info().Str("step", "runner.pace").Stringer("task", id.Task).Int("run", id.Run).
		Int("percent", percent).Int64("fence", order.Fence).Err(err).Msg("speed ordered")
	if err == nil {
		r.present.throttle.applied[id] = percent
	}
}
