// Package directory tells who is there: the entries, their addresses and sizes, and who is the
// leader.
//
// It owns the directory's topic, which holds a record for the address and one for the size of each
// entry, and one for the leader. Entries register themselves, the leader announces itself and
// deregisters entries that it can't reach. Agents follow this small topic instead of that of the
// jobs. The package also has the rule which entries should lead: the eligible ones, and of these
// the few standbys.
//
// It relies on package topic for reading and on the log for fencing off announcements of former
// leaders.
//
// # Usage
//
//	d := directory.NewDirectory(log, logger)
//	go d.Run(ctx)
//	address := d.Leader().Address
package directory

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/broadcast"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Prefixes of keys, before the name of an entry. The value under addressPrefix is the entry's
// address, that under coresPrefix its share of processor time in cores; older entries write only
// the former.
const (
	addressPrefix = "e/"
	coresPrefix   = "p/"
)

// Pace of reads. Every entry and agent reads the directory.
const (
	// readWait is how long a read waits for records. Changes are rare; a connection that goes
	// silent meanwhile is noticed by probes, and agents also learn of a new leader from entries.
	readWait = 20 * time.Second
	// minReadInterval lets one read bring the records of entries that start together.
	minReadInterval = 250 * time.Millisecond
	// assumedReaders is the number of readers for which probes of a log that doesn't answer are
	// paced. Agents don't know the actual number.
	assumedReaders = 250
)

// Directory holds the newest state of the directory's topic. Its methods may be called from any
// goroutine.
type Directory struct {
	tail   *topic.Tail
	logger zerolog.Logger

	mu     sync.Mutex
	leader Leader
	// addresses and cores are those of the entries, by name. The size of an entry may be unknown.
	addresses map[string]string
	cores     map[string]float64
	standbys  map[string]bool
	// synced says that the whole topic has been read once.
	synced  bool
	changed broadcast.Signal
}

// NewDirectory returns an empty directory.
func NewDirectory(log topic.Log, logger zerolog.Logger) *Directory {
	tail := topic.NewTail(log, "directory", readWait, logger).
		WithMinInterval(func() time.Duration { return minReadInterval }).
		WithReaders(func() int { return assumedReaders })
	return &Directory{
		tail:      tail,
		logger:    logger,
		addresses: map[string]string{},
		cores:     map[string]float64{},
	}
}

// Run follows the topic until ctx ends.
func (d *Directory) Run(ctx context.Context) { d.tail.Run(ctx, d.apply) }

func (d *Directory) apply(u topic.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range u.Records {
		d.applyRecord(r.Key, r.Value)
	}
	d.synced = d.synced || !u.SyncedAt.IsZero()
	if len(u.Records) > 0 {
		d.chooseStandbys()
		d.changed.Notify()
	}
}

// applyRecord applies one record; keys of newer versions are ignored. The lock must be held.
func (d *Directory) applyRecord(key string, value []byte) {
	if name, ok := strings.CutPrefix(key, addressPrefix); ok {
		d.applyAddress(name, value)
		return
	}
	if name, ok := strings.CutPrefix(key, coresPrefix); ok {
		d.applyCores(name, value)
		return
	}
	if key == LeaderKey {
		d.applyLeader(value)
	}
}

// applyAddress sets the address of an entry or removes the entry. A malformed address is ignored.
// The lock must be held.
func (d *Directory) applyAddress(name string, value []byte) {
	if value == nil {
		delete(d.addresses, name)
		return
	}
	address := string(value)
	if address == "" || strings.ContainsFunc(address, notInAddress) {
		d.logger.Error().Str("step", "jobstore.directory").Str("entry", name).Msg("address is unreadable")
		return
	}
	d.addresses[name] = address
}

// notInAddress reports whether a host and port can't contain the rune.
func notInAddress(c rune) bool { return c <= ' ' || c >= unicode.MaxASCII || c == '/' }

// applyCores sets or removes the size of an entry. The lock must be held.
func (d *Directory) applyCores(name string, value []byte) {
	if value == nil {
		delete(d.cores, name)
		return
	}
	cores, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		d.logger.Error().Str("step", "jobstore.directory").Str("entry", name).Err(err).
			Msg("processor time is unreadable")
		return
	}
	d.cores[name] = cores
}

// applyLeader sets the leader, unless its term is over. The lock must be held.
func (d *Directory) applyLeader(value []byte) {
	leader, err := DecodeLeader(value)
	if err != nil {
		d.logger.Error().Str("step", "jobstore.directory").Err(err).Msg("leader is unreadable")
		return
	}
	if leader.Term >= d.leader.Term {
		d.leader = leader
	}
}

// ObserveLeader sets the leader from another source, if its term is newer than the known one.
func (d *Directory) ObserveLeader(leader Leader) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leader.Term > d.leader.Term {
		d.leader = leader
		d.changed.Notify()
	}
}

// Leader returns the newest known leader, or the zero value.
func (d *Directory) Leader() Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed.Next()
}

// Addresses returns the addresses of all entries, sorted by name.
func (d *Directory) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesOf(d.names(func(string) bool { return true }))
}

// AddressesByName returns the addresses of all entries by name.
func (d *Directory) AddressesByName() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.addresses)
}

// Count returns the number of entries.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.addresses)
}

// names returns the names of the entries that keep selects, sorted. The lock must be held.
func (d *Directory) names(keep func(name string) bool) []string {
	names := slices.Collect(maps.Keys(d.addresses))
	names = slices.DeleteFunc(names, func(name string) bool { return !keep(name) })
	slices.Sort(names)
	return names
}

// addressesOf returns the addresses of entries. The lock must be held.
func (d *Directory) addressesOf(names []string) []string {
	addresses := make([]string, len(names))
	for i, name := range names {
		addresses[i] = d.addresses[name]
	}
	return addresses
}
