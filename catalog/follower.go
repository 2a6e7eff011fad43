package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobstore"
)

// readWait is how long a read waits for news: it bounds the age of the proof, and so how soon after the beginning of an outage
// calls are turned away because a newer configuration may be in force.
const readWait = 500 * time.Millisecond

// Follower keeps the newest catalog of a keyed topic.
type Follower struct {
	tail   *jobstore.Tail
	key    string
	decode func([]byte) (*Catalog, error)
	logger zerolog.Logger

	mu      sync.Mutex
	current *Catalog
	proof   time.Time
	changed chan struct{}
}

// NewFollower returns a follower of the records with the key.
func NewFollower(log jobstore.Log, key string, decode func([]byte) (*Catalog, error), logger zerolog.Logger) *Follower {
	return &Follower{tail: jobstore.NewTail(log, "configuration", readWait, logger), key: key, decode: decode, logger: logger, changed: make(chan struct{})}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) { f.tail.Run(ctx, f.take) }

// take puts the newest version among the records in force.
func (f *Follower) take(n jobstore.News) {
	for _, r := range n.Records {
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
	if !n.Proof.IsZero() {
		f.mu.Lock()
		f.proof = n.Proof
		f.mu.Unlock()
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
