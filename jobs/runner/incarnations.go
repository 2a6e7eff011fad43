package runner

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/incarnation"
)

// lifeEnd is a life that is over. It is told until a poll that told it has been heard.
type lifeEnd struct {
	assignment.IncarnationEnd
	// since is the number of the poll since which all polls have told it; zero if the newest did not.
	since int64
	// settled says that no order for this life has any effect any more; until then it is not told, since what was placed there would be placed again.
	settled bool
	// at is when the worker gave its last sign; zero if this agent never heard it.
	at time.Time
}

// Heartbeat takes over what the worker says of itself. It returns false for a life that is over, or that may be.
func (r *Runner) Heartbeat(ctx context.Context, l assignment.WorkerState) bool {
	r.mu.Lock()
	consistent := r.consistent(l)
	r.mu.Unlock()
	if !consistent {
		return false
	}
	current, contested := r.contested(l)
	var err error
	if contested {
		err = r.probe(ctx, current)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if contested && !r.settleContest(current, l, err) || r.former[l.ID] {
		return false
	}
	news := r.life == nil || r.life.ID != l.ID || r.life.Draining != l.Draining || r.life.Capacity != l.Capacity
	if r.life == nil {
		r.parts.Logger.Info().Str("step", "runner.heartbeat").Stringer("life", l.ID).Msg("worker reports")
	} else if r.life.Draining != l.Draining {
		r.parts.Logger.Info().Str("step", "runner.heartbeat").Stringer("life", l.ID).Int64("leaves_in_ms", l.DrainMillis).Msg("worker leaves")
	}
	if r.life == nil {
		r.answers = time.Now()
	}
	r.noteRoom(l.Capacity)
	r.life, r.awaited = &l, incarnation.ID{}
	if l.Draining {
		r.leaves = time.Now().Add(time.Duration(l.DrainMillis) * time.Millisecond)
	}
	if news {
		signal(r.report)
		signal(r.extend)
	}
	return true
}

// contested reports whether a heartbeat is of another life than the present one. Such a heartbeat need not be newer: one that was held up
// may come after the next life has registered, and this process may have begun in between and know nothing of the former one.
func (r *Runner) contested(l assignment.WorkerState) (current Order, contested bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil || r.life.ID == l.ID || r.former[l.ID] {
		return Order{}, false
	}
	current, _ = r.order()
	return Order{Incarnation: r.life.ID, Fence: current.Fence}, true
}

// probe asks the worker whether it is still in a life; nil says that it is.
func (r *Runner) probe(ctx context.Context, current Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := r.hold(ctx, current, 0, 0, 0)
	return err
}

// settleContest decides by the worker's answer which of two lives it is in, and reports whether that is the one of the heartbeat. Without
// an answer nothing changes: the next heartbeat asks again. The lock must be held.
func (r *Runner) settleContest(current Order, l assignment.WorkerState, answer error) bool {
	switch {
	case errors.Is(answer, ErrOtherIncarnation):
		if r.life != nil && r.life.ID == current.Incarnation {
			r.endLife(answer)
		}
		return r.life == nil || r.life.ID == l.ID
	case answer == nil, refused(answer) && !l.ID.SharesInstance(current.Incarnation):
		// The worker answered as the life that is known: the heartbeat is of one that has crashed. A refusal names no start, only the id.
		r.former[l.ID] = true
		r.parts.Logger.Info().Str("step", "runner.heartbeat").Stringer("life", l.ID).Stringer("current", current.Incarnation).Msg("late heartbeat of a former life")
	}
	return false
}

// refused reports whether a worker with the id that was meant has answered, and refused the call.
func refused(answer error) bool {
	return errors.Is(answer, ErrFenced) || errors.Is(answer, ErrUnavailable)
}

// errLeft is why the life ends of a worker that has said that it goes.
var errLeft = errors.New("the worker has left")

// Deregister takes note of a worker that says it ends. It does not say which start: where several may share an id, only one that had told that it would go is taken at its
// word. A word of a former start that comes late would end a life that goes on, and what runs there would run twice.
func (r *Runner) Deregister(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil || r.life.ID.Instance != instance {
		r.goneBefore(incarnation.ID{Instance: instance})
		return
	}
	if r.life.ID.StartMillis != 0 && !r.life.Draining {
		r.parts.Logger.Warn().Str("step", "runner.gone").Stringer("life", r.life.ID).Msg("a worker ends that has not said that it leaves; the life known goes on")
		return
	}
	r.answers = time.Now()
	r.endLife(errLeft)
}

// goneBefore takes note of the end of a life that is not the present one. The lock must be held.
func (r *Runner) goneBefore(id incarnation.ID) {
	if _, known := r.over[id]; !known {
		r.former[id], r.over[id] = true, lifeEnd{IncarnationEnd: assignment.IncarnationEnd{ID: id, Drained: true}, settled: true}
	}
}

// endLife ends the present life. The lock must be held.
func (r *Runner) endLife(why error) {
	left := errors.Is(why, errLeft) || r.life.Draining && !r.lastSign().Before(r.leaves)
	end := assignment.IncarnationEnd{ID: r.life.ID, Drained: left, Draining: !left && r.life.Draining, Runs: r.cutRuns(), Complete: r.listed}
	r.logLifeEnd(end, why)
	r.metrics.lives.Inc(lifeOutcomeOf(end))
	r.former[r.life.ID], r.over[r.life.ID] = true, lifeEnd{IncarnationEnd: end, at: r.lastSign(), settled: r.ordersVoid(why)}
	r.life = nil
	r.reset()
	var other *otherStartError
	if errors.As(why, &other) {
		r.awaited = other.present
	}
	signal(r.report)
}

// fenceAwaited tells a start of the worker that has not reported yet the fence of its life, so that what was sent to former starts has no effect there from now
// on. A start that hears no fence carries such orders out. Its report may be a while off: on drawn days up to a second, within which it crashed
// and started again, and a run began there that had been placed elsewhere meanwhile.
func (r *Runner) fenceAwaited(ctx context.Context) {
	r.mu.Lock()
	order, generation := Order{Incarnation: r.awaited, Fence: r.fenceOfLife()}, r.generation
	known := r.life != nil || r.awaited.IsZero() || r.fence == 0
	r.mu.Unlock()
	if known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := r.hold(ctx, order, 0, 0, 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	var other *otherStartError
	switch {
	case generation != r.generation || r.life != nil:
	case errors.As(err, &other):
		// It has started once more, and has heard the fence by this call.
		r.awaited = other.present
	case errors.Is(err, ErrOtherIncarnation):
		r.awaited = incarnation.ID{}
	}
}

// ordersVoid reports whether no order for the present life, which ends, has any effect any more, though it may still be under way: the worker has
// another id, or none of its starts was in doubt and it has gone. A start under the same id has not seen a fence yet, and may carry
// such an order out. The lock must be held.
func (r *Runner) ordersVoid(why error) bool {
	switch {
	case r.life.ID.StartMillis == 0:
		return true
	case errors.Is(why, errLeft):
		return !r.doubted()
	}
	var other *otherStartError
	return !errors.As(why, &other)
}

// doubted reports whether it is not known of some start whether it was carried out. The lock must be held.
func (r *Runner) doubted() bool {
	for _, k := range r.runs {
		if !k.doubted.IsZero() {
			return true
		}
	}
	return false
}

// settleLives lets the ends of former lives be told: the present one has listed what it runs after it had heard a fence of its own, so nothing that was sent
// before has any effect any more. The lock must be held.
func (r *Runner) settleLives() {
	for id, e := range r.over {
		if !e.settled {
			e.settled = true
			r.over[id] = e
			signal(r.report)
		}
	}
}

// cutRuns lists what is there, or may be, as far as the agent knows. The lock must be held.
func (r *Runner) cutRuns() []assignment.InterruptedRun {
	var cut []assignment.InterruptedRun
	for id, k := range r.runs {
		if k.phase == there || k.ordered {
			cut = append(cut, assignment.InterruptedRun{RunID: id, Started: k.phase == there, AgeMillis: k.ageAt(r.lastSign()).Milliseconds()})
		}
	}
	for id, begun := range r.givenUp {
		cut = append(cut, assignment.InterruptedRun{RunID: id, Started: begun})
	}
	slices.SortFunc(cut, func(a, b assignment.InterruptedRun) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
	return cut
}

// lastSign is until when the worker surely was there: a listing that it holds fails as it goes. The lock must be held.
func (r *Runner) lastSign() time.Time {
	if r.failing.IsZero() {
		return r.answers
	}
	return r.failing
}

// logLifeEnd says how a life ended and what was there: a task that crashes its worker has begun a moment before, on each worker anew. The
// lock must be held.
func (r *Runner) logLifeEnd(end assignment.IncarnationEnd, why error) {
	r.parts.Logger.Info().Str("step", "runner.endLife").Stringer("life", end.ID).AnErr("why", why).Bool("left", end.Drained).Int("runs", len(end.Runs)).
		Int64("silent_ms", time.Since(r.lastSign()).Milliseconds()).Msg("life is over")
	for _, cut := range end.Runs {
		r.parts.Logger.Info().Str("step", "runner.endLife").Stringer("life", end.ID).Bool("left", end.Drained).Stringer("task", cut.Task).Int("run", cut.Run).
			Bool("begun", cut.Started).Int64("age_ms", cut.AgeMillis).Msg("run ended with its worker")
	}
}

// noteFailing takes note of a listing that got no answer, and says so for the first of a row. The lock must be held.
func (r *Runner) noteFailing(err error) {
	if r.life == nil || !r.failing.IsZero() {
		return
	}
	r.failing = time.Now()
	r.parts.Logger.Warn().Str("step", "runner.list").Stringer("life", r.life.ID).Int("runs", len(r.runs)).Err(err).Msg("worker gives no answer")
}

// livesOver lists the lives whose end the present poll tells. That of a former start under the present id is told only beside the present one's list: orders
// for the former one may have been carried out by the present one, and the leader has to see both at once. The lock must be held.
func (r *Runner) livesOver() []assignment.IncarnationEnd {
	var ends []assignment.IncarnationEnd
	byName := func(a, b incarnation.ID) int { return cmp.Compare(a.String(), b.String()) }
	for _, id := range slices.SortedFunc(maps.Keys(r.over), byName) {
		e := r.over[id]
		if !e.settled || !r.listed && r.life != nil && r.life.ID.SharesInstance(id) {
			e.since = 0
			r.over[id] = e
			continue
		}
		e.since = cmp.Or(e.since, r.sequence)
		r.over[id] = e
		if !e.at.IsZero() {
			e.SinceMillis = time.Since(e.at).Milliseconds()
		}
		ends = append(ends, e.IncarnationEnd)
	}
	return ends
}

// livesClosing lists those that are over and that the present poll does not tell. The lock must be held.
func (r *Runner) livesClosing() []incarnation.ID {
	var closing []incarnation.ID
	for id, e := range r.over {
		if e.since == 0 {
			closing = append(closing, id)
		}
	}
	return closing
}

// heardBy reports whether the poll with a number told it.
func (e lifeEnd) heardBy(poll int64) bool { return e.since != 0 && e.since <= poll }

// failingFor is for how long the worker has given no answer, zero while it does. The lock must be held.
func (r *Runner) failingFor() time.Duration {
	if r.failing.IsZero() {
		return 0
	}
	return time.Since(r.failing)
}

// didNothing reports whether a start that failed surely was not carried out.
func didNothing(err error) bool {
	refusals := []error{ErrOtherIncarnation, ErrFenced, ErrLeaseOver, ErrNoCapacity, ErrUnavailable, ErrRejected}
	return fault.NotReached(err) || slices.ContainsFunc(refusals, func(refusal error) bool { return errors.Is(err, refusal) })
}

// constants are what a worker can't change within a life.
type constants struct {
	service, zone, rack, labels, machine string
}

func constantsOf(l assignment.WorkerState) constants {
	return constants{service: l.Service, zone: l.Zone, rack: l.Rack, labels: strings.Join(l.Labels, "\n"), machine: l.Machine}
}

// consistent reports whether a heartbeat says what was known before of what can't change: of the present life, and for any other one what the settings say of the
// worker. Others than the worker may write there too; what differs is taken only once it is said twice in a row. The lock must be held.
func (r *Runner) consistent(l assignment.WorkerState) bool {
	said := constantsOf(l)
	known := r.life != nil && r.life.ID == l.ID && constantsOf(*r.life) == said
	expected := (r.life == nil || r.life.ID != l.ID) && isOrUnknown(r.settings.Service, l.Service) && isOrUnknown(r.settings.Zone, l.Zone)
	if known || expected || r.odd == said {
		r.odd = constants{}
		return true
	}
	r.odd = said
	r.metrics.odd.Inc(1)
	r.parts.Logger.Warn().Str("step", "runner.heartbeat").Stringer("life", l.ID).Str("service", l.Service).Str("zone", l.Zone).Strs("labels", l.Labels).
		Msg("heartbeat says otherwise what can't change; it is not taken")
	return false
}

// isOrUnknown reports whether a value is the one that the settings name, if they name one.
func isOrUnknown(expected, value string) bool { return expected == "" || expected == value }
