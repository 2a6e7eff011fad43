// Package directory follows the small topic that says which entries there are and who is the leader.
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

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// Prefixes of the keys under which entries say where they are reached, and how much processor time they have, in cores. Readers of an
// earlier version know only the first.
const (
	entryPrefix     = "e/"
	processorPrefix = "p/"
)

// muchLarger is by which factor the processor time of an entry exceeds that of another one which leaves it the lead. Where shares differ
// by less, either leads as well.
const muchLarger = 2.0

// directoryWait is how long a read of the directory waits for news, which are rare: each process reads it, so with 800 workers and 5 s instead of 20 they
// make 150 calls a second more. A connection that goes silent meanwhile is noticed by probes within 4 s, and who leads is also
// learnt from entries.
const directoryWait = 20 * time.Second

// directoryReaders is how many processes are taken to read the directory: all entries and agents do, and none knows how many there are. Each finds out twice
// a second whether a log that was away is back, and meanwhile asks entries who leads.
const directoryReaders = 250

// directoryGap is the least time between two reads. A record that comes alone is read at once; when all entries begin within 0.3 s,
// their records are read together and not one by one by each entry and agent.
const directoryGap = 250 * time.Millisecond

// Directory follows the small topic that says which entries there are and who is the leader. Agents read it instead of
// the jobs.
type Directory struct {
	tail   *topic.Tail
	logger zerolog.Logger

	mu      sync.Mutex
	leader  Leader
	entries map[string]string
	// processors is how much processor time entries have, in cores, as far as they say.
	processors map[string]float64
	// line holds the entries that are to lead next.
	line map[string]bool
	// read says that all that there is has been read once.
	read    bool
	changed chan struct{}
}

// NewDirectory returns a directory that knows nothing yet.
func NewDirectory(log topic.Log, logger zerolog.Logger) *Directory {
	tail := topic.NewTail(log, "directory", directoryWait, logger).WithMinInterval(func() time.Duration { return directoryGap }).
		WithReaders(func() int { return directoryReaders })
	return &Directory{tail: tail, logger: logger, entries: map[string]string{}, processors: map[string]float64{}, changed: make(chan struct{})}
}

// Run follows the topic until ctx ends.
func (d *Directory) Run(ctx context.Context) { d.tail.Run(ctx, d.take) }

func (d *Directory) take(n topic.Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range n.Records {
		if name, ok := strings.CutPrefix(r.Key, entryPrefix); ok {
			d.takeEntry(name, r.Value)
			continue
		}
		if name, ok := strings.CutPrefix(r.Key, processorPrefix); ok {
			d.takeProcessor(name, r.Value)
			continue
		}
		if o, err := DecodeLeader(r.Value); r.Key == LeaderKey && err == nil && o.Term >= d.leader.Term {
			d.leader = o
		}
	}
	d.read = d.read || !n.SyncedAt.IsZero()
	if len(n.Records) > 0 {
		d.drawLine()
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// takeEntry notes where an entry is reached, or that it is gone. An address that can't be one changes nothing. The lock must be held.
func (d *Directory) takeEntry(name string, value []byte) {
	if value == nil {
		delete(d.entries, name)
		return
	}
	address := string(value)
	if strings.ContainsFunc(address, func(c rune) bool { return c <= ' ' || c >= unicode.MaxASCII || c == '/' }) || address == "" {
		d.logger.Error().Str("step", "jobstore.directory").Str("entry", name).Msg("address is unreadable")
		return
	}
	d.entries[name] = address
}

// takeProcessor notes how much processor time an entry has, or that it is gone. The lock must be held.
func (d *Directory) takeProcessor(name string, value []byte) {
	if value == nil {
		delete(d.processors, name)
		return
	}
	cores, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		d.logger.Error().Str("step", "jobstore.directory").Str("entry", name).Err(err).Msg("processor time is unreadable")
		return
	}
	d.processors[name] = cores
}

// LargerThan returns the addresses of the entries that have much more processor time than that, in the order of their names.
func (d *Directory) LargerThan(cores float64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesOf(d.names(func(name string) bool { return d.processors[name] >= muchLarger*cores && cores > 0 }))
}

// names returns the names of those entries for which keep holds, in order. The lock must be held.
func (d *Directory) names(keep func(name string) bool) []string {
	names := slices.Collect(maps.Keys(d.entries))
	names = slices.DeleteFunc(names, func(name string) bool { return !keep(name) })
	slices.Sort(names)
	return names
}

// addressesOf returns where entries are reached. The lock must be held.
func (d *Directory) addressesOf(names []string) []string {
	addresses := make([]string, len(names))
	for i, name := range names {
		addresses[i] = d.entries[name]
	}
	return addresses
}

// ObserveLeader takes over who is the leader from another source.
func (d *Directory) ObserveLeader(o Leader) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Term > d.leader.Term {
		d.leader = o
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// Leader returns who is the leader, as far as is known.
func (d *Directory) Leader() Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// Changed is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Addresses returns the addresses of the entries, in the order of their names.
func (d *Directory) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesOf(d.names(func(string) bool { return true }))
}

// Count is how many entries are known.
func (d *Directory) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// AddressesByName returns the addresses of the entries by their names.
func (d *Directory) AddressesByName() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.entries)
}
