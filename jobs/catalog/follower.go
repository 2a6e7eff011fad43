package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// RelayPath is where an entry hands on what it has read of operators' records.
const RelayPath = "/internal/operators/news"

// How long a read waits for new records. New ones end the wait at once; it bounds how old the
// proof of being up to date gets, to twice the wait and the time of an answer.
const (
	// waitPerReader is the wait for each process that reads: it bounds the reads of all together
	// to 250 a second, except where the bounds below apply.
	waitPerReader = 4 * time.Millisecond
	// minWait is also the wait of the leader, whose proof ages further on its way to the agents.
	minWait = 500 * time.Millisecond
	// maxWait keeps the proof young enough for requests with keys to be accepted in the first 3 s
	// of an outage of the log.
	maxWait = 700 * time.Millisecond
)

// Follower reads operators' records and keeps what is in force. Its methods may be called from
// any goroutine, those named With only before Run.
type Follower struct {
	tail   *topic.Tail
	relay  *topic.RelayServer
	format Format
	logger zerolog.Logger
	clock  suspend.Clock

	mu      sync.Mutex
	current *Catalog
	cordons Cordons
	// syncedAt is when the newest read was sent that proved that there is nothing newer.
	syncedAt suspend.Instant
	// changed is closed and replaced when current or cordons change.
	changed chan struct{}
}

// NewFollower returns a follower that reads operators' records from a log.
func NewFollower(log topic.Log, format Format, logger zerolog.Logger) *Follower {
	return &Follower{
		tail:    topic.NewTail(log, "configuration", minWait, logger),
		relay:   topic.NewRelayServer(nil),
		format:  format,
		logger:  logger,
		changed: make(chan struct{}),
	}
}

// WithSuspension sets the clock that counts how long the machine was suspended. Without it, no
// suspension counts.
func (f *Follower) WithSuspension(clock suspend.Clock) *Follower {
	f.clock, f.relay = clock, topic.NewRelayServer(clock)
	f.tail.WithSuspension(clock)
	return f
}

// WithReaders sets how many processes read the records, and whether this one leads. Without it,
// this is the only one.
func (f *Follower) WithReaders(readers func() int, leads func() bool) *Follower {
	f.tail.WithReaders(readers).WithWait(func() time.Duration {
		if leads() {
			return minWait
		}
		return min(max(time.Duration(readers())*waitPerReader, minWait), maxWait)
	})
	return f
}

// RelayServer hands on what this follower reads.
func (f *Follower) RelayServer() *topic.RelayServer { return f.relay }

// Run follows the records until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.tail.Run(ctx, func(u topic.Update) {
		f.apply(u)
		f.relay.Publish(u)
	})
}

// Current returns the newest catalog, or nil if none has come, and since when it is known that
// there is none newer; zero if that was never known. The time since then includes suspensions of
// the machine, so that no key that was removed meanwhile is accepted for longer.
func (f *Follower) Current() (*Catalog, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.clock.Monotonic(f.syncedAt)
}

// Cordons returns the cordoned zones, and since when it is known that there are no others, as
// Current does.
func (f *Follower) Cordons() (Cordons, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cordons, f.clock.Monotonic(f.syncedAt)
}

// Changed is closed when a newer catalog comes, or a zone is cordoned or opened.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
