package jobstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/hedge"
	"yarrowgrade.example/yarrowgrade/suspend"
)

// Pace of a tail. Each answered read renews the proof that nothing newer exists.
const (
	// retryPause is the pause after a failed read.
	retryPause = 80 * time.Millisecond
	// probeEvery is how often a read without an answer is followed by another one that waits for nothing: a connection to a
	// log that was silent stays silent for up to a second longer than the log does, a new one does not. Callers that were turned
	// away come back some three times a second in all; with 150 ms one of them a day found the log back and the entry not.
	probeEvery = 80 * time.Millisecond
	// readLimit bounds one read, on top of what it waits.
	readLimit = 2500 * time.Millisecond
	// silentAfter is the number of reads without an answer from which on the log is said to be silent.
	silentAfter = 3
	// rejectedAfter is the number of reads in a row that ended with an error, and not for lack of time, from which on the log rejects this
	// process. A single one may be the reset of one connection.
	rejectedAfter = 2
)

// Tail follows a topic: first the newest record of each key, then what is appended.
type Tail struct {
	log    Log
	name   string
	wait   func() time.Duration
	logger zerolog.Logger
	// gap is the least time between the beginnings of two reads, so that one brings all records that came meanwhile. Hurry ends it
	// early.
	gap   func() time.Duration
	hurry chan struct{}
	sent  time.Time
	// clock counts what the machine was suspended: a read that was under way meanwhile proves less.
	clock suspend.Clock

	// latency is that of the log's answers, without what a read waits.
	latency *hedge.Latency

	loaded   bool
	proven   bool
	next     int64
	failures int
	lost     time.Time
	// rejections counts reads in a row that ended with an error.
	rejections atomic.Int64
}

// News is what a tail has read.
type News struct {
	Records []Stored
	// Loaded says that the records are the newest of all keys, in place of all that was read before.
	Loaded bool
	// Next is the offset up to which all is known.
	Next int64
	// Proof is when a read was sent whose answer had nothing left to read; zero if this one had.
	Proof suspend.Mark
}

// NewTail returns a tail of a topic that waits that long for news in a read. The name stands in its log lines.
func NewTail(log Log, name string, wait time.Duration, logger zerolog.Logger) *Tail {
	return &Tail{
		log: log, name: name, wait: func() time.Duration { return wait }, logger: logger, latency: hedge.NewLatency(),
		gap: func() time.Duration { return 0 }, hurry: make(chan struct{}, 1),
	}
}

// WithGap sets the least time between the beginnings of two reads. It is asked for before each read.
func (t *Tail) WithGap(gap func() time.Duration) *Tail {
	t.gap = gap
	return t
}

// WithWait sets how long a read waits for news. It is asked for before each read.
func (t *Tail) WithWait(wait func() time.Duration) *Tail {
	t.wait = wait
	return t
}

// WithSuspension sets the clock that counts for how long the machine was suspended.
func (t *Tail) WithSuspension(clock suspend.Clock) *Tail {
	t.clock = clock
	return t
}

// Hurry has the next read begin at once.
func (t *Tail) Hurry() {
	select {
	case t.hurry <- struct{}{}:
	default:
	}
}

// rest waits until the gap since the last read is over, or until Hurry. It returns how long the next read may wait for news: a proof is
// no older than with reads that follow one another and wait all the time.
func (t *Tail) rest(ctx context.Context) time.Duration {
	gap := t.gap()
	if gap <= 0 {
		return t.wait()
	}
	timer := time.NewTimer(gap - time.Since(t.sent))
	defer timer.Stop()
	select {
	case <-timer.C:
		return max(t.wait()-gap, 0)
	case <-t.hurry:
	case <-ctx.Done():
	}
	return 0
}

// Run hands all news to take until ctx ends.
func (t *Tail) Run(ctx context.Context, take func(News)) {
	for ctx.Err() == nil {
		news, err := t.read(ctx)
		if err != nil {
			// Only ctx ends the tries of a read.
			return
		}
		t.noteSuccess()
		take(news)
	}
}

// answered is the answer to a read that was sent at that time.
type answered struct {
	batch Batch
	sent  suspend.Mark
}

func (t *Tail) read(ctx context.Context) (News, error) {
	if !t.loaded {
		return t.load(ctx)
	}
	wait := time.Duration(0)
	if t.proven {
		// Before the first proof nothing can be served.
		wait = t.rest(ctx)
	}
	t.sent = time.Now()
	a, err := t.call(ctx, wait, func(ctx context.Context, wait time.Duration) (Batch, error) { return t.log.Read(ctx, t.next, wait) })
	if errors.Is(err, ErrExpired) {
		t.logger.Info().Str("step", "jobstore.read").Str("topic", t.name).Int64("offset", t.next).
			Msg("records have expired; the newest are loaded")
		t.loaded = false
		return t.load(ctx)
	}
	if err != nil {
		return News{}, err
	}
	t.next += int64(len(a.batch.Records))
	news := News{Records: a.batch.Records, Next: t.next}
	if t.next >= a.batch.End {
		news.Proof = a.sent
		t.proven = true
	}
	return news, nil
}

func (t *Tail) load(ctx context.Context) (News, error) {
	a, err := t.call(ctx, 0, func(ctx context.Context, _ time.Duration) (Batch, error) { return t.log.Newest(ctx) })
	if err != nil {
		return News{}, err
	}
	t.next, t.loaded = a.batch.End, true
	if bad := a.batch.Unreadable; len(bad) > 0 {
		t.logger.Error().Str("step", "jobstore.load").Str("topic", t.name).Int("records", len(bad)).Err(bad[0]).Msg("records can't be read; the others hold")
	}
	t.logger.Info().Str("step", "jobstore.load").Str("topic", t.name).Int("records", len(a.batch.Records)).
		Int64("offset", a.batch.End).Msg("newest records loaded")
	return News{Records: a.batch.Records, Loaded: true, Next: t.next}, nil
}

// call reads until there is an answer. Only the first try waits for news.
func (t *Tail) call(ctx context.Context, wait time.Duration, read func(context.Context, time.Duration) (Batch, error)) (answered, error) {
	calls := hedge.Calls[answered]{
		Way: func(ctx context.Context, try int) (answered, error) {
			if try > 0 {
				return t.try(ctx, 0, read)
			}
			return t.try(ctx, wait, read)
		},
		After: func(try int) time.Duration {
			if try == silentAfter {
				t.noteFailure(ctx, errSilent)
			}
			if try > 0 {
				return probeEvery
			}
			return wait + t.latency.Patience(0)
		},
		Pause: retryPause,
		Limit: wait + readLimit,
		Final: func(err error) bool {
			if errors.Is(err, ErrExpired) {
				return true
			}
			if !errors.Is(err, context.DeadlineExceeded) {
				t.rejections.Add(1)
			}
			t.noteFailure(ctx, err)
			return false
		},
	}
	return calls.Do(ctx)
}

// Rejected reports whether the log turns this process away: its last reads ended with errors.
func (t *Tail) Rejected() bool { return t.rejections.Load() >= rejectedAfter }

// errSilent says that the log gave no answer to several reads.
var errSilent = errors.New("no answer")

// try makes one read.
func (t *Tail) try(ctx context.Context, wait time.Duration, read func(context.Context, time.Duration) (Batch, error)) (answered, error) {
	sent := t.clock.Now()
	batch, err := read(ctx, wait)
	if took := t.clock.Since(sent); err == nil && took >= wait {
		// News that came while the read waited say nothing about the log's answers.
		t.latency.Note(took - wait)
	}
	return answered{batch: batch, sent: sent}, err
}

func (t *Tail) noteFailure(ctx context.Context, err error) {
	t.failures++
	if t.failures > 1 || ctx.Err() != nil {
		return
	}
	t.lost = time.Now()
	t.logger.Warn().Str("step", "jobstore.read").Str("topic", t.name).Err(err).Msg("the log does not answer")
}

func (t *Tail) noteSuccess() {
	t.rejections.Store(0)
	if t.failures == 0 {
		return
	}
	t.logger.Info().Str("step", "jobstore.read").Str("topic", t.name).Int("failures", t.failures).
		Dur("away_ms", time.Since(t.lost)).Msg("the log answers again")
	t.failures = 0
}
