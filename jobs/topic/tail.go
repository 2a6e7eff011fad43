package topic

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/hedge"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
)

// Pace of a tail. Each answered read renews the proof that nothing newer exists.
const (
	// probeEvery is how often a read without an answer, or with an error, is followed by another one that waits for nothing and asks for next to nothing: a
	// connection to a log that was silent stays silent for up to a second longer than the log does, a new one does not. Callers
	// that were turned away come back some three times a second in all; with 150 ms one of them a day found the log back and the
	// entry not.
	probeEvery = 80 * time.Millisecond
	// probeShare is what it is for each process that reads, where that is longer: all together probe a topic some 500 times a second. With 80 ms for
	// each of 800, a log that is away for 9 s turns 90,000 calls away.
	probeShare = 2 * time.Millisecond
	// wholePatience is how long a read that was to bring records may take before it is sent again. The time doubles with each. A log that is back after 9 s
	// has much to send, to a third of 183 entries all that they missed; when each of them sent its read again every 80 ms, it gave
	// nobody an answer for 3 s more.
	wholePatience = time.Second
	// loadPatience is the same for the newest records of all keys.
	loadPatience = 500 * time.Millisecond
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
	// readers is how many processes read the topic.
	readers func() int
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

// Update is what a tail has read.
type Update struct {
	Records []Stored
	// Snapshot says that the records are the newest of all keys, in place of all that was read before.
	Snapshot bool
	// Next is the offset up to which all is known.
	Next int64
	// SyncedAt is when a read was sent whose answer had nothing left to read; zero if this one had.
	SyncedAt suspend.Instant
}

// NewTail returns a tail of a topic that waits that long for news in a read. The name stands in its log lines.
func NewTail(log Log, name string, wait time.Duration, logger zerolog.Logger) *Tail {
	return &Tail{
		log: log, name: name, wait: func() time.Duration { return wait }, logger: logger, latency: hedge.NewLatency(),
		gap: func() time.Duration { return 0 }, readers: func() int { return 1 }, hurry: make(chan struct{}, 1),
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

// WithReaders sets how many processes read the topic: the more there are the less often each finds out whether a log that was away is back.
func (t *Tail) WithReaders(readers func() int) *Tail {
	t.readers = readers
	return t
}

// probeGap is the time between two reads that find out whether the log is back.
func (t *Tail) probeGap() time.Duration {
	return max(probeEvery, time.Duration(t.readers())*probeShare)
}

// WithSuspension sets the clock that counts for how long the machine was suspended.
func (t *Tail) WithSuspension(clock suspend.Clock) *Tail {
	t.clock = clock
	return t
}

// ReadNow has the next read begin at once.
func (t *Tail) ReadNow() {
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
func (t *Tail) Run(ctx context.Context, take func(Update)) {
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
	sent  suspend.Instant
}

func (t *Tail) read(ctx context.Context) (Update, error) {
	if !t.loaded {
		return t.load(ctx)
	}
	wait := time.Duration(0)
	if t.proven {
		// Before the first proof nothing can be served.
		wait = t.rest(ctx)
	}
	t.sent = time.Now()
	a, err := t.call(ctx, wait, t.probeGap, newChase(t.log, t.next, wait).read)
	if errors.Is(err, ErrExpired) {
		t.logger.Info().Str("step", "jobstore.read").Str("topic", t.name).Int64("offset", t.next).
			Msg("records have expired; the newest are loaded")
		t.loaded = false
		return t.load(ctx)
	}
	if err != nil {
		return Update{}, err
	}
	t.next += int64(len(a.batch.Records))
	news := Update{Records: a.batch.Records, Next: t.next}
	if t.next >= a.batch.End {
		news.SyncedAt = a.sent.Add(-a.batch.Staleness)
		t.proven = true
	}
	return news, nil
}

func (t *Tail) load(ctx context.Context) (Update, error) {
	a, err := t.call(ctx, 0, func() time.Duration { return max(loadPatience, t.probeGap()) }, func(ctx context.Context, _ int) (Batch, error) { return t.log.Newest(ctx) })
	if err != nil {
		return Update{}, err
	}
	t.next, t.loaded = a.batch.End, true
	if bad := a.batch.Unreadable; len(bad) > 0 {
		t.logger.Error().Str("step", "jobstore.load").Str("topic", t.name).Int("records", len(bad)).Err(bad[0]).Msg("records can't be read; the others hold")
	}
	t.logger.Info().Str("step", "jobstore.load").Str("topic", t.name).Int("records", len(a.batch.Records)).
		Int64("offset", a.batch.End).Msg("newest records loaded")
	return Update{Records: a.batch.Records, Snapshot: true, Next: t.next}, nil
}

// call reads until there is an answer. Tries count from 0, and only the first one waits for news. Gap is the time between two of the others.
func (t *Tail) call(ctx context.Context, wait time.Duration, gap func() time.Duration, read func(ctx context.Context, try int) (Batch, error)) (answered, error) {
	calls := hedge.Call[answered]{
		Attempt: func(ctx context.Context, try int) (answered, error) {
			if try > 0 {
				return t.try(ctx, 0, try, read)
			}
			return t.try(ctx, wait, try, read)
		},
		HedgeAfter: func(try int) time.Duration {
			if try == silentAfter {
				t.noteFailure(ctx, errSilent)
			}
			if try > 0 {
				return gap()
			}
			return wait + t.latency.HedgeDelay(0)
		},
		RetryDelay: t.probeGap(),
		Timeout:    wait + readLimit,
		IsPermanent: func(err error) bool {
			if errors.Is(err, ErrExpired) {
				return true
			}
			if errors.Is(err, errBehind) {
				return false
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

// Latency is that of the log's answers, without what a read waits.
func (t *Tail) Latency() *hedge.Latency { return t.latency }

// Rejected reports whether the log turns this process away: its last reads ended with errors.
func (t *Tail) Rejected() bool { return t.rejections.Load() >= rejectedAfter }

// errSilent says that the log gave no answer to several reads.
var errSilent = errors.New("no answer")

// try makes one read.
func (t *Tail) try(ctx context.Context, wait time.Duration, number int, read func(ctx context.Context, try int) (Batch, error)) (answered, error) {
	sent := t.clock.Now()
	batch, err := read(ctx, number)
	if took := t.clock.Since(sent); err == nil && took >= wait {
		// News that came while the read waited say nothing about the log's answers.
		t.latency.Observe(took - wait)
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
