package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobstore"
)

// Pace of a follower. Each answered read renews the proof that nothing newer is in force.
const (
	readWait   = time.Second
	retryPause = 100 * time.Millisecond
)

// Follower keeps the newest catalog of a keyed topic.
type Follower struct {
	log    jobstore.Log
	key    string
	decode func([]byte) (*Catalog, error)
	logger zerolog.Logger

	mu      sync.Mutex
	current *Catalog
	proof   time.Time
	loaded  bool
	next    int64
	lost    time.Time
	changed chan struct{}
}

// NewFollower returns a follower of the records with the key.
func NewFollower(log jobstore.Log, key string, decode func([]byte) (*Catalog, error), logger zerolog.Logger) *Follower {
	return &Follower{log: log, key: key, decode: decode, logger: logger, changed: make(chan struct{})}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.noteLost(err)
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	sent := time.Now()
	if !f.loaded {
		batch, err := f.log.Newest(ctx)
		if err != nil {
			return err
		}
		f.take(batch, batch.End)
		f.loaded = true
		return nil
	}
	wait := readWait
	if _, proof := f.Current(); proof.IsZero() {
		// Nothing can be served before the first proof.
		wait = 0
	}
	batch, err := f.log.Read(ctx, f.next, wait)
	if errors.Is(err, jobstore.ErrExpired) {
		f.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	f.take(batch, f.next+int64(len(batch.Records)))
	if f.next >= batch.End {
		f.noteProof(sent)
	}
	return nil
}

func (f *Follower) noteProof(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proof = sent
	if !f.lost.IsZero() {
		f.logger.Info().Str("step", "catalog.read").Dur("away_ms", time.Since(f.lost)).Msg("the configuration can be read again")
		f.lost = time.Time{}
	}
}

func (f *Follower) noteLost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost.IsZero() {
		f.lost = time.Now()
		f.logger.Warn().Str("step", "catalog.read").Err(err).Msg("the configuration can't be read")
	}
}

// take puts the newest version among the records in force.
func (f *Follower) take(b jobstore.Batch, next int64) {
	f.next = next
	for _, r := range b.Records {
		if r.Key != f.key || r.Value == nil {
			continue
		}
		c, err := f.decode(r.Value)
		if err != nil {
			f.logger.Error().Str("step", "catalog.decode").Err(err).Int64("offset", r.Offset).Msg("configuration is unreadable")
			continue
		}
		f.put(c)
	}
}

func (f *Follower) put(c *Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && c.Version <= f.current.Version {
		return
	}
	f.current = c
	close(f.changed)
	f.changed = make(chan struct{})
	f.logger.Info().Str("step", "catalog.put").Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("configuration in force")
}

// Current returns the newest catalog, or nil if none has come, and when the newest read was sent that proved it so.
func (f *Follower) Current() (*Catalog, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.proof
}

// Changed is closed when a newer catalog comes.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
