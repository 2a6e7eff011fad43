package catalog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// How long a read waits for news. It does not delay them; it bounds the age of the proof, which is up to twice as old, and so how soon after the beginning of
// an outage calls are turned away because a newer configuration may be in force.
const (
	// readShare is the wait for each process that reads: together they make some 250 reads a second, as far as the bounds allow.
	readShare = 4 * time.Millisecond
	// leastWait is that of a process alone, and of the leader, whose proof goes to agents and grows older there.
	leastWait = 500 * time.Millisecond
	// mostWait leaves calls with keys 3 s of an outage in which they are still served: a proof serves for 4.5 s, and is 1.4 s old after
	// two waits. Users count on no more than these 3 s.
	mostWait = 700 * time.Millisecond
)

// Follower keeps what operators have in force: the newest catalog, and the cordoned availability zones.
type Follower struct {
	tail   *topic.Tail
	source *topic.RelayServer
	format Format
	logger zerolog.Logger

	mu      sync.Mutex
	current *Catalog
	cordons Cordons
	proof   suspend.Instant
	clock   suspend.Clock
	changed chan struct{}
}

// NewFollower returns a follower of operators' records.
func NewFollower(log topic.Log, format Format, logger zerolog.Logger) *Follower {
	return &Follower{tail: topic.NewTail(log, "configuration", leastWait, logger), source: topic.NewRelayServer(nil), format: format, logger: logger, changed: make(chan struct{})}
}

// WithSuspension sets the clock that counts for how long the machine was suspended: proofs age by that too.
func (f *Follower) WithSuspension(clock suspend.Clock) *Follower {
	f.clock, f.source = clock, topic.NewRelayServer(clock)
	f.tail.WithSuspension(clock)
	return f
}

// WithReaders sets how many processes read the records, and whether this one leads. Without it this one reads alone.
func (f *Follower) WithReaders(readers func() int, leads func() bool) *Follower {
	f.tail.WithReaders(readers).WithWait(func() time.Duration {
		if leads() {
			return leastWait
		}
		return min(max(time.Duration(readers())*readShare, leastWait), mostWait)
	})
	return f
}

// NewsPath is where an entry hands on what it has read of operators' records.
const NewsPath = "/internal/operators/news"

// RelayServer hands on what is read of operators' records.
func (f *Follower) RelayServer() *topic.RelayServer { return f.source }

// Run follows the records until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.tail.Run(ctx, func(n topic.Update) {
		f.take(n)
		f.source.Publish(n)
	})
}

// take puts in force what the records say.
func (f *Follower) take(n topic.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, cordons := f.cordons, f.cordons
	if n.Snapshot {
		cordons = f.stillThere(n.Records)
	}
	for _, r := range n.Records {
		if r.Key == f.format.ConfigKey && r.Value != nil {
			f.takeConfig(r)
		}
		if zone, ok := f.format.zoneOf(r.Key); ok {
			cordons = f.takeCordon(cordons, zone, r, n.Snapshot)
		}
	}
	f.cordons = cordons
	f.announceCordons(before)
	// The proof counts for what has been put in force above, so both are seen together.
	if !n.SyncedAt.IsZero() {
		f.proof = n.SyncedAt
	}
}

// stillThere returns the cordons of which there is a record among the newest of all keys: the others were taken away while
// this process read nothing.
func (f *Follower) stillThere(newest []topic.Stored) Cordons {
	kept := Cordons{}
	for _, r := range newest {
		if zone, ok := f.format.zoneOf(r.Key); ok && f.cordons.Has(zone) {
			kept = kept.With(f.cordons[zone])
		}
	}
	return kept
}

// takeConfig puts a newer configuration in force. The lock must be held.
func (f *Follower) takeConfig(r topic.Stored) {
	c, err := f.format.Config(r.Value)
	if err != nil {
		f.logger.Error().Str("step", "catalog.decode").Err(err).Int64("offset", r.Offset).Msg("configuration is unreadable")
		return
	}
	if f.current != nil && c.Version <= f.current.Version {
		return
	}
	f.current = c
	f.announce()
	f.logger.Info().Str("step", "catalog.put").Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("configuration in force")
}

// takeCordon returns the cordons as a record leaves them. An unreadable one changes nothing; but where it is the only one that is left
// of its key, the zone counts as cordoned: nothing says that it was ever open.
func (f *Follower) takeCordon(cordons Cordons, zone string, r topic.Stored, only bool) Cordons {
	if r.Value == nil {
		return cordons.Without(zone)
	}
	if err := f.format.CheckCordon(r.Value); err != nil {
		f.logger.Error().Str("step", "catalog.cordon").Str("zone", zone).Err(err).Int64("offset", r.Offset).Msg("cordon is unreadable")
		if !only {
			return cordons
		}
	}
	return cordons.With(Cordon{Zone: zone, Revision: r.Offset, Since: time.Now()})
}

// announceCordons tells of cordons that came or went. The lock must be held.
func (f *Follower) announceCordons(before Cordons) {
	changed := false
	for zone, c := range f.cordons {
		if before.Has(zone) {
			continue
		}
		changed = true
		f.logger.Info().Str("step", "catalog.cordon").Str("zone", zone).Int64("revision", c.Revision).Msg("zone is cordoned")
		if len(f.format.Zones) > 0 && !slices.Contains(f.format.Zones, zone) {
			f.logger.Warn().Str("step", "catalog.cordon").Str("zone", zone).Strs("zones", f.format.Zones).Msg("cordoned zone does not exist")
		}
	}
	for zone, c := range before {
		if !f.cordons.Has(zone) {
			changed = true
			f.logger.Info().Str("step", "catalog.cordon").Str("zone", zone).Dur("cordoned_ms", time.Since(c.Since)).Msg("zone is open again")
		}
	}
	if changed {
		f.announce()
	}
}

// announce wakes those who wait for a change. The lock must be held.
func (f *Follower) announce() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Current returns the newest catalog, or nil if none has come, and when the newest read was sent that proved it so. The time since then is what has really
// passed, also on a machine that was suspended: a key that was taken away meanwhile must not be taken for good.
func (f *Follower) Current() (*Catalog, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.clock.Monotonic(f.proof)
}

// Cordons returns the cordoned zones, and when the newest read was sent that proved that there are no others: zero if none has.
func (f *Follower) Cordons() (Cordons, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cordons, f.clock.Monotonic(f.proof)
}

// Changed is closed when a newer catalog comes, or when a zone is cordoned or open again.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
