package leader

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Times of an append.
const (
	// appendTimeout bounds an attempt, appendRetryDelay follows a failed one.
	appendTimeout    = 3 * time.Second
	appendRetryDelay = 60 * time.Millisecond
	// slowAppend is the duration above which an append is logged.
	slowAppend = 250 * time.Millisecond
)

// termWriter writes to the job topic as the leader of a term. It numbers its appends, so that the
// log carries out each of them once however often it is sent. One goroutine uses it.
type termWriter struct {
	leader   directory.Leader
	deps     Dependencies
	fleet    *fleet
	sequence int64
	// written is when the newest acknowledged append was sent.
	written time.Time
}

func newTermWriter(leader directory.Leader, deps Dependencies, f *fleet) *termWriter {
	return &termWriter{leader: leader, deps: deps, fleet: f, written: time.Now()}
}

// write appends records and retries until they are stored. It fails with errSuperseded in a later
// term, with errHandedOver when another entry takes over because this one can't write, and when
// ctx ends.
func (w *termWriter) write(ctx context.Context, records []topic.Record) error {
	w.sequence++
	began := w.deps.Suspension.Now()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go handover{leader: w.leader, deps: w.deps}.whileFailing(ctx, func() { end(errHandedOver) })
	offset, err := w.call(records).Do(ctx)
	switch {
	case errors.Is(err, topic.ErrFenced):
		return errSuperseded
	case err != nil:
		return err
	}
	w.logSlow(began, offset, len(records))
	// Which attempt was carried out is unknown, so only the first one's time is a proof.
	w.written = w.deps.Suspension.Monotonic(began)
	w.fleet.prove(began)
	w.deps.Replica.ApplyLocal(records, offset)
	return nil
}

func (w *termWriter) call(records []topic.Record) hedge.Call[int64] {
	condition := topic.Condition{Producer: directory.TermProducer(w.leader.Term, w.sequence)}
	return hedge.Call[int64]{
		Attempt: func(ctx context.Context, try int) (int64, error) {
			return w.attempt(ctx, try, records, condition)
		},
		HedgeAfter: w.deps.Latency.HedgeDelay,
		RetryDelay: appendRetryDelay,
		Timeout:    appendTimeout,
		IsPermanent: func(err error) bool {
			return errors.Is(err, topic.ErrFenced) || errors.Is(err, errSuperseded)
		},
	}
}

func (w *termWriter) attempt(ctx context.Context, try int, records []topic.Record, c topic.Condition) (int64, error) {
	if current, _, _ := w.deps.Replica.Leader(); current.Term > w.leader.Term {
		return 0, errSuperseded
	}
	if try == 1 {
		w.deps.Logger.Warn().Str("step", "leader.write").Int64("term", w.leader.Term).
			Msg("append without an answer; sent again")
	}
	sent := time.Now()
	offset, err := w.deps.Log.Append(ctx, records, c)
	if err == nil {
		w.deps.Latency.Observe(time.Since(sent))
	}
	return offset, err
}

func (w *termWriter) logSlow(began suspend.Instant, offset int64, records int) {
	took := w.deps.Suspension.Since(began)
	if took <= slowAppend {
		return
	}
	w.deps.Logger.Info().Str("step", "leader.write").Int64("term", w.leader.Term).Int64("offset", offset).
		Int("records", records).Dur("took_ms", took).Msg("append took long")
}

// heartbeat writes who leads.
func (w *termWriter) heartbeat(ctx context.Context) error {
	record, err := directory.LeaderRecord(w.leader)
	if err != nil {
		return err
	}
	return w.write(ctx, []topic.Record{record})
}
