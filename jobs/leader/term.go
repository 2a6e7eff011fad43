package leader

import (
	"context"
	"errors"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Times of an append. A second try with the same number is harmless.
const (
	// appendLimit bounds one try.
	appendLimit = 3 * time.Second
	appendPause = 60 * time.Millisecond
	// slowAppend is from when on an append's time is logged.
	slowAppend = 250 * time.Millisecond
)

// term is the writing side of a term in which this entry leads: it numbers the appends and repeats those without an answer.
type term struct {
	leader   directory.Leader
	deps     Dependencies
	leases   *leases
	sequence int64
	written  time.Time
}

// write appends records for sure, or returns errSucceeded, or the context's error.
func (t *term) write(ctx context.Context, records []topic.Record) error {
	t.sequence++
	condition := topic.Condition{Producer: directory.TermProducer(t.leader.Term, t.sequence)}
	began := t.deps.Suspension.Now()
	calls := hedge.Call[int64]{
		Attempt:     func(ctx context.Context, try int) (int64, error) { return t.append(ctx, try, records, condition) },
		HedgeAfter:  t.deps.Latency.HedgeDelay,
		RetryDelay:  appendPause,
		Timeout:     appendLimit,
		IsPermanent: func(err error) bool { return errors.Is(err, topic.ErrFenced) || errors.Is(err, errSucceeded) },
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go t.handOver(ctx, func() { end(errHandedOver) })
	offset, err := calls.Do(ctx)
	switch {
	case errors.Is(err, topic.ErrFenced):
		return errSucceeded
	case err != nil:
		return err
	}
	if took := t.deps.Suspension.Since(began); took > slowAppend {
		t.deps.Logger.Info().Str("step", "leader.write").Int64("term", t.leader.Term).Int64("offset", offset).
			Int("records", len(records)).Dur("took_ms", took).Msg("append took long")
	}
	// Which of the tries was carried out is not known, only that it was after the first one was sent.
	t.written = t.deps.Suspension.Monotonic(began)
	t.leases.prove(began)
	t.deps.Replica.ApplyLocal(records, offset)
	return nil
}

// append makes one try.
func (t *term) append(ctx context.Context, try int, records []topic.Record, c topic.Condition) (int64, error) {
	if leader, _, _ := t.deps.Replica.Leader(); leader.Term > t.leader.Term {
		return 0, errSucceeded
	}
	if try == 1 {
		t.deps.Logger.Warn().Str("step", "leader.write").Int64("term", t.leader.Term).Msg("append without an answer; sent again")
	}
	sent := time.Now()
	offset, err := t.deps.Log.Append(ctx, records, c)
	if err == nil {
		t.deps.Latency.Observe(time.Since(sent))
	}
	return offset, err
}

// renew shows that the leader lives.
func (t *term) renew(ctx context.Context) error {
	record, err := directory.LeaderRecord(t.leader)
	if err != nil {
		return err
	}
	return t.write(ctx, []topic.Record{record})
}
