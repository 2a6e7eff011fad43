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

// Append timing.
const (
	// appendTimeout is the timeout of one attempt. appendRetryDelay is the delay after a failed
	// attempt.
	appendTimeout    = 3 * time.Second
	appendRetryDelay = 60 * time.Millisecond
	// slowAppend is the duration above which an append is logged as slow.
	slowAppend = 250 * time.Millisecond
)

// termWriter writes to the job topic as the leader of a term. It numbers its appends, so that the
// log applies each of them once even if it is sent several times. It is used by a single goroutine.
type termWriter struct {
	leader   directory.Leader
	deps     Dependencies
	fleet    *fleet
	sequence int64
	// lastAppend is when the latest acknowledged append was sent.
	lastAppend time.Time
}

func newTermWriter(leader directory.Leader, deps Dependencies, f *fleet) *termWriter {
	return &termWriter{leader: leader, deps: deps, fleet: f, lastAppend: time.Now()}
}

// write appends records, and retries until they are stored. It fails with errSuperseded if a later
// term has begun, with errHandedOver if another entry takes over because this one can't write, and
// when ctx ends.
func (w *termWriter) write(ctx context.Context, records []topic.Record) error {
	w.sequence++
	began := w.deps.Suspension.Now()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go handover{leader: w.leader, deps: w.deps}.offerWhileFailing(ctx, func() { end(errHandedOver) })
	offset, err := w.call(records).Do(ctx)
	switch {
	case errors.Is(err, topic.ErrFenced):
		return errSuperseded
	case err != nil:
		return err
	}
	w.logSlow(began, offset, len(records))
	// It is unknown which attempt was applied, so only the time of the first attempt proves that
	// this entry was the leader.
	w.lastAppend = w.deps.Suspension.Monotonic(began)
	w.fleet.recordProof(began)
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
			Msg("append not acknowledged; sending it again")
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
		Int("records", records).Dur("took_ms", took).Msg("slow append")
}

// heartbeat writes the leader record alone.
func (w *termWriter) heartbeat(ctx context.Context) error {
	record, err := directory.LeaderRecord(w.leader)
	if err != nil {
		return err
	}
	return w.write(ctx, []topic.Record{record})
}
