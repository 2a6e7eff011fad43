package runner

import (
	"context"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/pause"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
)

// Bounds of the pace of what fills beside tasks that serve users. A worker's figures are of the last half second, and an order
// is in force a tenth of a second later, so the pace is looked at every paceEvery. From 100 % it is at zero after four looks,
// well within the 4 s for which a task may be over its target by the doing of others.
const (
	paceEvery = 700 * time.Millisecond
	// paceFirst is the pace with which filling begins beside a task that serves.
	paceFirst = 50
	// A look that finds a task above closeShare of its target halves the pace, and below paceLeast it is zero. One that
	// finds all below calmShare raises it by paceStep.
	closeShare = 0.9
	calmShare  = 0.7
	paceLeast  = 10
	paceStep   = 10
)

// pacer sets the pace of the tasks that fill on one worker.
type pacer struct {
	roles map[assignment.RunID]assignment.Role
	// percent is the pace of all that fills here, as long as something serves.
	percent int
	// told is what the worker has heard for each run; nothing is 100.
	told map[assignment.RunID]int
}

func newPacer() pacer {
	return pacer{percent: paceFirst, told: map[assignment.RunID]int{}}
}

// assign takes over the roles of the worker's runs.
func (p *pacer) assign(roles []assignment.Role) {
	p.roles = make(map[assignment.RunID]assignment.Role, len(roles))
	for _, role := range roles {
		p.roles[role.RunID] = role
	}
}

// shared reports whether something serves and something fills among the runs.
func (p *pacer) shared(runs map[assignment.RunID]*known) bool {
	serves, fills := false, false
	for id := range runs {
		role := p.roles[id]
		serves = serves || role.LatencyTargetMillis > 0
		fills = fills || role.BestEffort
	}
	return serves && fills
}

// look sets the pace by how the tasks that serve do.
func (p *pacer) look(runs map[assignment.RunID]*known) {
	if !p.shared(runs) {
		p.percent = paceFirst
		return
	}
	worst := 0.0
	for id, k := range runs {
		if target := p.roles[id].LatencyTargetMillis; target > 0 {
			worst = max(worst, float64(k.gauge)/float64(target))
		}
	}
	switch {
	case worst > closeShare:
		if p.percent /= 2; p.percent < paceLeast {
			p.percent = 0
		}
	case worst < calmShare:
		p.percent = min(p.percent+paceStep, 100)
	}
}

// orders returns the runs whose pace at the worker is another one than it should be.
func (p *pacer) orders(runs map[assignment.RunID]*known) map[assignment.RunID]int {
	want := 100
	if p.shared(runs) {
		want = p.percent
	}
	orders := map[assignment.RunID]int{}
	for id, k := range runs {
		told, ok := p.told[id]
		if !ok {
			told = 100
		}
		if k.phase == there && p.roles[id].BestEffort && told != want {
			orders[id] = want
		}
	}
	for id := range p.told {
		if runs[id] == nil {
			delete(p.told, id)
		}
	}
	return orders
}

// paceLoop paces what fills as long as something serves beside it. It sleeps until an answer of the leader names roles.
func (r *Runner) paceLoop(ctx context.Context) {
	for {
		select {
		case <-r.sharing:
		case <-ctx.Done():
			return
		}
		for r.paceOnce(ctx) && ctx.Err() == nil {
			pause.For(ctx, paceEvery)
		}
	}
}

// paceOnce looks at the worker's tasks and paces what fills. It reports whether there is anything to watch.
func (r *Runner) paceOnce(ctx context.Context) bool {
	r.mu.Lock()
	shared := r.pacer.shared(r.runs)
	r.mu.Unlock()
	if shared && !r.list(ctx, 0) {
		return true
	}
	r.mu.Lock()
	r.pacer.look(r.runs)
	orders := r.pacer.orders(r.runs)
	order, ok := r.order()
	generation := r.generation
	r.mu.Unlock()
	if !ok {
		return false
	}
	for id, percent := range orders {
		r.pace(ctx, order, id, percent, generation)
	}
	return shared || len(orders) > 0
}

// pace tells the worker the pace of a run; without an answer the next look tells it again.
func (r *Runner) pace(ctx context.Context, order Order, id assignment.RunID, percent, generation int) {
	attempt, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	clock, err := r.parts.Worker.Throttle(attempt, order, id, percent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation != r.generation {
		return
	}
	r.noteAnswer(clock, err)
	r.parts.Logger.Info().Str("step", "runner.pace").Stringer("task", id.Task).Int("run", id.Run).Int("percent", percent).
		Err(err).Msg("pace ordered")
	if err == nil {
		r.pacer.told[id] = percent
	}
}
