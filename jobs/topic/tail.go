package topic

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

const (
	// readTimeout bounds one attempt to read, in addition to the time that it waits for records.
	readTimeout = 2500 * time.Millisecond
	// loadInterval is the time between two hedged loads of the newest records. If the probe
	// interval is longer, it applies instead.
	loadInterval = 500 * time.Millisecond
	// silentAfter is the number of attempts without a response after which the log counts as
	// silent.
	silentAfter = 3
)

// errSilent is the failure of a log that has not responded to several attempts.
var errSilent = errors.New("no answer")

// Update is what a tail has read.
type Update struct {
	Records []StoredRecord
	// Snapshot means that Records are the newest of all keys and replace everything read before.
	Snapshot bool
	// Next is the offset up to which all records have been read.
	Next int64
	// SyncedAt is when the read was sent, if it reached the end of the topic, and zero otherwise.
	// Everything appended before that time has been read.
	SyncedAt suspend.Instant
}

// Tail follows a topic: it loads the newest record of each key and then reads what is appended. Its
// With methods have to be called before Run.
type Tail struct {
	log Log
	// name identifies the topic in log lines.
	name   string
	logger zerolog.Logger
	clock  suspend.Clock
	// latency is the response time of the log, without the time for which a read waits.
	latency *hedge.Latency
	pacer   pacer
	health  health

	// loaded means that the newest records have been loaded and next is valid.
	loaded bool
	// synced means that a read has reached the end of the topic.
	synced bool
	next   int64
}

// NewTail returns a tail of a topic whose reads wait for records for the given time. The name
// identifies the topic in log lines.
func NewTail(log Log, name string, wait time.Duration, logger zerolog.Logger) *Tail {
	return &Tail{
		log:     log,
		name:    name,
		logger:  logger,
		latency: hedge.NewLatency(),
		pacer:   newPacer(wait),
		health:  health{topic: name, logger: logger},
	}
}

// WithMinInterval sets the shortest time between the starts of two reads, so that one read returns
// all records of that time. The function is called before each read.
func (t *Tail) WithMinInterval(interval func() time.Duration) *Tail {
	t.pacer.minInterval = interval
	return t
}

// WithWait sets how long a read waits for records. The function is called before each read.
func (t *Tail) WithWait(wait func() time.Duration) *Tail {
	t.pacer.wait = wait
	return t
}

// WithReaders sets how many processes read the topic. The more there are, the less often each of
// them probes a log that doesn't respond.
func (t *Tail) WithReaders(readers func() int) *Tail {
	t.pacer.readers = readers
	return t
}

// WithSuspension sets the clock that measures suspensions of the box.
func (t *Tail) WithSuspension(clock suspend.Clock) *Tail {
	t.clock = clock
	return t
}

// ReadNow makes the next read start at once.
func (t *Tail) ReadNow() { t.pacer.wake() }

// Latency returns the estimate of the log's response time.
func (t *Tail) Latency() *hedge.Latency { return t.latency }

// Rejected reports whether the last reads ended with errors: the log is up but rejects this
// process.
func (t *Tail) Rejected() bool { return t.health.rejected() }

// Run passes all updates to apply until ctx ends.
func (t *Tail) Run(ctx context.Context, apply func(Update)) {
	for ctx.Err() == nil {
		update, err := t.read(ctx)
		if err != nil {
			// A read is repeated until ctx ends.
			return
		}
		t.health.succeeded()
		apply(update)
	}
}

func (t *Tail) read(ctx context.Context) (Update, error) {
	if !t.loaded {
		return t.load(ctx)
	}
	wait := time.Duration(0)
	if t.synced {
		wait = t.pacer.next(ctx)
	}
	t.pacer.lastRead = time.Now()
	a, err := t.call(ctx, request{
		wait:          wait,
		hedgeInterval: t.pacer.probeInterval,
		read:          newHedgedRead(t.log, t.next, wait).read,
	})
	if errors.Is(err, ErrExpired) {
		t.logger.Info().Str("step", "jobstore.read").Str("topic", t.name).Int64("offset", t.next).
			Msg("records have expired; loading the newest ones")
		t.loaded = false
		return t.load(ctx)
	}
	if err != nil {
		return Update{}, err
	}
	t.next += int64(len(a.batch.Records))
	update := Update{Records: a.batch.Records, Next: t.next}
	if t.next >= a.batch.End {
		update.SyncedAt = a.sent.Add(-a.batch.Staleness)
		t.synced = true
	}
	return update, nil
}

// load reads the newest record of each key.
func (t *Tail) load(ctx context.Context) (Update, error) {
	a, err := t.call(ctx, request{
		hedgeInterval: func() time.Duration { return max(loadInterval, t.pacer.probeInterval()) },
		read:          func(ctx context.Context, _ int) (Batch, error) { return t.log.Newest(ctx) },
	})
	if err != nil {
		return Update{}, err
	}
	t.next, t.loaded = a.batch.End, true
	if unreadable := a.batch.Unreadable; len(unreadable) > 0 {
		t.logger.Error().Str("step", "jobstore.load").Str("topic", t.name).Int("records", len(unreadable)).
			Err(unreadable[0]).Msg("some records are unreadable; using the others")
	}
	t.logger.Info().Str("step", "jobstore.load").Str("topic", t.name).Int("records", len(a.batch.Records)).
		Int64("offset", a.batch.End).Msg("loaded the newest records")
	return Update{Records: a.batch.Records, Snapshot: true, Next: t.next}, nil
}

// request is a read that is repeated until the log responds.
type request struct {
	// wait is how long the first attempt waits for records. The others don't wait.
	wait time.Duration
	// hedgeInterval returns the time between two attempts after the first.
	hedgeInterval func() time.Duration
	// read makes one attempt.
	read func(ctx context.Context, attempt int) (Batch, error)
}

// readResult is the result of a request, with the time at which the successful attempt was sent.
type readResult struct {
	batch Batch
	sent  suspend.Instant
}

// call makes a request.
func (t *Tail) call(ctx context.Context, r request) (readResult, error) {
	call := hedge.Call[readResult]{
		Attempt: func(ctx context.Context, attempt int) (readResult, error) { return t.attempt(ctx, r, attempt) },
		HedgeAfter: func(attempt int) time.Duration {
			if attempt == silentAfter {
				t.health.failed(ctx, errSilent)
			}
			if attempt > 0 {
				return r.hedgeInterval()
			}
			return r.wait + t.latency.HedgeDelay(0)
		},
		RetryDelay:  t.pacer.probeInterval(),
		Timeout:     r.wait + readTimeout,
		IsPermanent: func(err error) bool { return t.recordError(ctx, err) },
	}
	return call.Do(ctx)
}

// recordError records the error of an attempt and reports whether it ends the request.
func (t *Tail) recordError(ctx context.Context, err error) bool {
	switch {
	case errors.Is(err, ErrExpired):
		return true
	case errors.Is(err, errReadRunning):
		return false
	}
	t.health.attemptFailed(ctx, err)
	return false
}

// attempt makes one attempt of a request.
func (t *Tail) attempt(ctx context.Context, r request, attempt int) (readResult, error) {
	wait := r.wait
	if attempt > 0 {
		wait = 0
	}
	sent := t.clock.Now()
	batch, err := r.read(ctx, attempt)
	if took := t.clock.Since(sent); err == nil && took >= wait {
		// If records arrived before the wait was over, the duration doesn't show the response time.
		t.latency.Observe(took - wait)
	}
	return readResult{batch: batch, sent: sent}, err
}
