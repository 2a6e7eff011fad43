package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// RelayPath is the HTTP path on which an entry relays operators' records that it has read.
const RelayPath = "/internal/operators/news"

// Limits of how long a read waits for new records. New records end the wait at once. The time since
// the follower was last confirmed to be up to date is at most twice the wait plus the response
// time.
const (
	// waitPerReader limits the reads of all processes together to 250 per second, within the limits
	// below.
	waitPerReader = 4 * time.Millisecond
	// minWait is also the wait of the leader, whose confirmation ages further until it reaches the
	// agents.
	minWait = 500 * time.Millisecond
	// maxWait keeps the confirmation recent enough that requests with keys are still accepted
	// during the first 3 s of an outage of the log.
	maxWait = 700 * time.Millisecond
)

// Follower reads operators' records and keeps the current catalog and cordons. Its methods are safe
// for concurrent use, except that those named With must be called before Run.
type Follower struct {
	tail   *topic.Tail
	relay  *topic.RelayServer
	format Format
	logger zerolog.Logger
	clock  suspend.Clock

	mu      sync.Mutex
	current *Catalog
	cordons Cordons
	// syncedAt is when the read was sent that last confirmed that no record is newer.
	syncedAt suspend.Instant
	// changed is closed and replaced when current or cordons change.
	changed chan struct{}
}

// NewFollower returns a follower of the operators' records in a log.
func NewFollower(log topic.Log, format Format, logger zerolog.Logger) *Follower {
	return &Follower{
		tail:    topic.NewTail(log, "configuration", minWait, logger),
		relay:   topic.NewRelayServer(nil),
		format:  format,
		logger:  logger,
		changed: make(chan struct{}),
	}
}

// WithSuspension sets the clock that measures suspensions of the box.
func (f *Follower) WithSuspension(clock suspend.Clock) *Follower {
	f.clock, f.relay = clock, topic.NewRelayServer(clock)
	f.tail.WithSuspension(clock)
	return f
}

// WithReaders sets the functions that return how many processes read the records, by default only
// this one, and whether this process is the leader.
func (f *Follower) WithReaders(readers func() int, leads func() bool) *Follower {
	f.tail.WithReaders(readers).WithWait(func() time.Duration {
		if leads() {
			return minWait
		}
		return min(max(time.Duration(readers())*waitPerReader, minWait), maxWait)
	})
	return f
}

// RelayServer returns the server that relays the records that this follower reads.
func (f *Follower) RelayServer() *topic.RelayServer { return f.relay }

// Run follows the records until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.tail.Run(ctx, func(u topic.Update) {
		f.apply(u)
		f.relay.Publish(u)
	})
}

// Current returns the newest catalog, or nil, and when it was last confirmed that there is none
// newer; zero if never. The time includes suspensions of the box, because a key that was removed
// during one must not be accepted for longer.
func (f *Follower) Current() (*Catalog, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.clock.Monotonic(f.syncedAt)
}

// Cordons returns the cordoned zones, and when it was last confirmed that they are current.
func (f *Follower) Cordons() (Cordons, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cordons, f.clock.Monotonic(f.syncedAt)
}

// Changed returns a channel that is closed when a newer catalog is applied, or when a zone is
// cordoned or its cordon is removed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
