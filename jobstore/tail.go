package jobstore

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
)

// Pace of a tail. Each answered read renews the proof that nothing newer exists.
const (
	// retryPause is the pause after a failed read.
	retryPause = 100 * time.Millisecond
	// firstTry bounds the first call, and each call that follows an answered one, on top of what it waits. After failures
	// most tries are short, so that a log that is back is noticed soon, and each third one is long, for a log that is slow.
	firstTry = 1500 * time.Millisecond
	shortTry = 400 * time.Millisecond
	longTry  = 1500 * time.Millisecond
)

// tryTimeout is how long a call may take after a number of failures.
func tryTimeout(failures int) time.Duration {
	switch {
	case failures == 0:
		return firstTry
	case failures%3 == 0:
		return longTry
	}
	return shortTry
}

// Tail follows a topic: first the newest record of each key, then what is appended.
type Tail struct {
	log    Log
	name   string
	wait   time.Duration
	logger zerolog.Logger

	loaded   bool
	proven   bool
	next     int64
	failures int
	lost     time.Time
}

// News is what a tail has read.
type News struct {
	Records []Stored
	// Loaded says that the records are the newest of all keys, in place of all that was read before.
	Loaded bool
	// Next is the offset up to which all is known.
	Next int64
	// Proof is when a read was sent whose answer had nothing left to read; zero if this one had.
	Proof time.Time
}

// NewTail returns a tail of a topic that waits that long for news in a read. The name stands in its log lines.
func NewTail(log Log, name string, wait time.Duration, logger zerolog.Logger) *Tail {
	return &Tail{log: log, name: name, wait: wait, logger: logger}
}

// Run hands all news to take until ctx ends.
func (t *Tail) Run(ctx context.Context, take func(News)) {
	for ctx.Err() == nil {
		news, err := t.read(ctx)
		if err != nil {
			t.noteFailure(ctx, err)
			pause(ctx, retryPause)
			continue
		}
		t.noteSuccess()
		take(news)
	}
}

func (t *Tail) read(ctx context.Context) (News, error) {
	if !t.loaded {
		return t.load(ctx)
	}
	wait := t.wait
	if !t.proven || t.failures > 0 {
		// Nothing can be served before the first proof, or a new one.
		wait = 0
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+tryTimeout(t.failures))
	defer cancel()
	batch, err := t.log.Read(ctx, t.next, wait)
	if errors.Is(err, ErrExpired) {
		t.logger.Info().Str("step", "jobstore.read").Str("topic", t.name).Int64("offset", t.next).
			Msg("records have expired; the newest are loaded")
		t.loaded = false
		return t.load(ctx)
	}
	if err != nil {
		return News{}, err
	}
	t.next += int64(len(batch.Records))
	news := News{Records: batch.Records, Next: t.next}
	if t.next >= batch.End {
		news.Proof = sent
		t.proven = true
	}
	return news, nil
}

func (t *Tail) load(ctx context.Context) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout(t.failures))
	defer cancel()
	batch, err := t.log.Newest(ctx)
	if err != nil {
		return News{}, err
	}
	t.next, t.loaded = batch.End, true
	t.logger.Info().Str("step", "jobstore.load").Str("topic", t.name).Int("records", len(batch.Records)).
		Int64("offset", batch.End).Msg("newest records loaded")
	return News{Records: batch.Records, Loaded: true, Next: t.next}, nil
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
	if t.failures == 0 {
		return
	}
	t.logger.Info().Str("step", "jobstore.read").Str("topic", t.name).Int("failures", t.failures).
		Dur("away_ms", time.Since(t.lost)).Msg("the log answers again")
	t.failures = 0
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
