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
	// waitPerReader bounds the reads of all processes together to 250 a second, between the
	// bounds below.
	waitPerReader = 4 * time.Millisecond
	// minWait is also the wait of the leader, whose proof ages further on its way to agents.
	minWait = 500 * time.Millisecond
	// maxWait keeps proofs young enough to accept requests with keys for 3 s of an outage of the
	// log.
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
	// syncedAt is when the read was sent that proved that there is nothing newer.
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

// WithSuspension sets the clock that counts suspensions of the machine.
func (f *Follower) WithSuspension(clock suspend.Clock) *Follower {
	f.clock, f.relay = clock, topic.NewRelayServer(clock)
	f.tail.WithSuspension(clock)
	return f
}

// WithReaders sets how many processes read the records, this one alone by default, and whether
// this one leads.
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

// Current returns the newest catalog, or nil, and when it was last known that there is none
// newer; zero if never. Suspensions count as time since then: a key that was removed meanwhile
// must not be accepted for longer.
func (f *Follower) Current() (*Catalog, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.clock.Monotonic(f.syncedAt)
}

// Cordons returns the cordoned zones, and when it was last known that there are no others.
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
