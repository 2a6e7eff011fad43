// Package directory maintains the service directory: the entries with their addresses and sizes,
// and the current leader.
//
// It owns the directory topic, which holds one address record and one size record for each entry,
// and one record for the leader. Entries register themselves; the leader announces itself and
// deregisters entries that it can't reach. Agents follow this small topic instead of the job topic.
// The package also determines which entries should lead: the eligible ones, and among these the few
// standbys.
//
// It relies on package topic for reading and on the log for fencing announcements of former
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

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/broadcast"
	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/hostport"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Key prefixes, followed by the name of an entry. The value under addressPrefix is the entry's
// address; the value under coresPrefix is its size, that is, its share of processor time in cores.
// Entries of older versions write only the address.
const (
	addressPrefix = "e/"
	coresPrefix   = "p/"
)

// Read intervals. Every entry and agent reads the directory.
const (
	// readWait is how long a read waits for records. It can be long because changes are rare,
	// probes detect a connection that has gone silent, and agents also learn of a new leader from
	// the entries.
	readWait = 20 * time.Second
	// minReadInterval is the shortest time between two reads. It lets one read return the records
	// of entries that start at the same time.
	minReadInterval = 250 * time.Millisecond
	// assumedReaders is the number of readers assumed when limiting the rate of probes to a log
	// that doesn't answer. Agents don't know the actual number.
	assumedReaders = 250
)

// Directory holds the latest known state of the directory topic. It is safe for concurrent use.
type Directory struct {
	tail   *topic.Tail
	logger zerolog.Logger

	mu sync.Mutex
	// leader is the leader as far as is known.
	leader Leader
	// observed tells whether leader was learned from another source than the topic.
	observed bool
	// announced is the leader in the newest record of the topic, or zero if that record is malformed.
	announced Leader
	// addresses and cores hold the addresses and sizes of the entries by name. The size of an entry
	// may be unknown.
	addresses map[string]string
	cores     map[string]float64
	standbys  map[string]bool
	// synced is set once the whole topic has been read.
	synced  bool
	changed broadcast.Signal
}

// NewDirectory returns an empty directory. Run fills it.
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

// applyRecord applies one record. Unknown keys, which newer versions may write, are ignored. d.mu
// must be held.
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

// applyAddress sets the address of an entry, or removes the entry if value is nil. A malformed
// address is ignored. d.mu must be held.
func (d *Directory) applyAddress(name string, value []byte) {
	if value == nil {
		delete(d.addresses, name)
		return
	}
	address := string(value)
	if err := checkAddress(address); err != nil {
		d.logger.Error().Str("step", "jobstore.directory").Str("entry", name).
			Err(fault.BadField("address", "%v", err)).Msg("ignoring malformed entry address")
		return
	}
	d.addresses[name] = address
}

// checkAddress returns an error unless the address has a valid host and port. An address without a
// port has that of HTTP.
func checkAddress(address string) error {
	if !strings.Contains(address, ":") {
		address += ":80"
	}
	return hostport.Check(address)
}

// applyCores sets the size of an entry, or removes it if value is nil. d.mu must be held.
func (d *Directory) applyCores(name string, value []byte) {
	if value == nil {
		delete(d.cores, name)
		return
	}
	cores, err := decodeCores(value)
	if err != nil {
		d.logger.Error().Str("step", "jobstore.directory").Str("entry", name).Err(err).
			Msg("ignoring malformed entry size")
		return
	}
	d.cores[name] = cores
}

// maxCores is the largest size of an entry.
const maxCores = 1_000_000

// decodeCores decodes and checks the size of an entry.
func decodeCores(value []byte) (float64, error) {
	cores, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		return 0, fault.BadField("cores", "want a number, got %.20q", value)
	}
	// Not a number is neither within the limits nor beyond them.
	if !(cores > 0 && cores <= maxCores) {
		return 0, fault.BadField("cores", "want a number above 0 and up to %d, got %g", maxCores, cores)
	}
	return cores, nil
}

// applyLeader sets the leader, unless a later term was learned from another source than the topic. The
// log rejects announcements of former leaders, so the newest record of the topic replaces earlier ones
// even if its term is lower: the earlier one was written by another writer. d.mu must be held.
func (d *Directory) applyLeader(value []byte) {
	leader, err := DecodeLeader(value)
	if err != nil {
		d.logger.Error().Str("step", "jobstore.directory").Err(err).Msg("ignoring malformed leader record")
		d.announced = Leader{}
		return
	}
	d.announced = leader
	if !d.observed || leader.Term >= d.leader.Term {
		d.leader, d.observed = leader, false
	}
}

// ObserveLeader sets the leader from a source other than the topic, if its term is later than the
// known one.
func (d *Directory) ObserveLeader(leader Leader) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leader.Term > d.leader.Term {
		d.leader, d.observed = leader, true
		d.changed.Notify()
	}
}

// Leader returns the leader of the latest known term, or the zero value if none is known.
func (d *Directory) Leader() Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// Changed returns a channel that is closed on the next change.
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

// names returns the sorted names of the entries for which keep returns true. d.mu must be held.
func (d *Directory) names(keep func(name string) bool) []string {
	names := slices.Collect(maps.Keys(d.addresses))
	names = slices.DeleteFunc(names, func(name string) bool { return !keep(name) })
	slices.Sort(names)
	return names
}

// addressesOf returns the addresses of the named entries, in the same order. d.mu must be held.
func (d *Directory) addressesOf(names []string) []string {
	addresses := make([]string, len(names))
	for i, name := range names {
		addresses[i] = d.addresses[name]
	}
	return addresses
}
