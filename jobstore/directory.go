package jobstore

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/pause"
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
	tail   *Tail
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
func NewDirectory(log Log, logger zerolog.Logger) *Directory {
	tail := NewTail(log, "directory", directoryWait, logger).WithGap(func() time.Duration { return directoryGap }).
		WithReaders(func() int { return directoryReaders })
	return &Directory{tail: tail, logger: logger, entries: map[string]string{}, processors: map[string]float64{}, changed: make(chan struct{})}
}

// Run follows the topic until ctx ends.
func (d *Directory) Run(ctx context.Context) { d.tail.Run(ctx, d.take) }

func (d *Directory) take(n News) {
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
		if o, err := decodeLeader(r.Value); r.Key == leaderKey && err == nil && o.Term >= d.leader.Term {
			d.leader = o
		}
	}
	d.read = d.read || !n.Proof.IsZero()
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

// Larger returns the addresses of the entries that have much more processor time than that, in the order of their names.
func (d *Directory) Larger(cores float64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		if d.processors[name] >= muchLarger*cores && cores > 0 {
			addresses = append(addresses, d.entries[name])
		}
	}
	return addresses
}

// Able returns the addresses of the entries to which none is much larger, in the order of their names: those that should lead.
func (d *Directory) Able() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, name := range d.able() {
		addresses = append(addresses, d.entries[name])
	}
	return addresses
}

// able returns the names of the entries to which none is much larger, in order. The lock must be held.
func (d *Directory) able() []string {
	most := 0.0
	for name := range d.entries {
		most = max(most, d.processors[name])
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		if d.processors[name]*muchLarger > most || most == 0 {
			names = append(names, name)
		}
	}
	return names
}

// lineLength is how many entries watch the leader closely and claim its place as soon as it is gone. The others read less often and wait longer, so that neither
// reads nor claims grow with the entries. Where a third of the entries are away, all in line are once in 250 times.
const lineLength = 5

// drawLine draws those that are to lead next from the entries that should lead, in an order that has nothing to do with where they are. The
// lock must be held.
func (d *Directory) drawLine() {
	names := d.able()
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	d.line = map[string]bool{}
	for _, name := range names[:min(lineLength, len(names))] {
		d.line[name] = true
	}
}

// InLine reports whether an entry is one of the few that are to lead next. Nobody is as long as nothing has been read.
func (d *Directory) InLine(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.line[name]
}

// Draw returns n of the addresses, others each time, or all of them if there are no more. Whoever asks entries for something that any of them can
// say asks a few: if each of 800 agents asks each of 183 entries at once, as when their leader is lost, 160,000 connections come of it, and an entry with 0.2 cores
// serves nobody for seconds.
func Draw(addresses []string, n int) []string {
	drawn := slices.Clone(addresses)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}

// Learn takes over who is the leader from another source.
func (d *Directory) Learn(o Leader) {
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

// Entries returns the addresses of the entries, in the order of their names.
func (d *Directory) Entries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		addresses = append(addresses, d.entries[name])
	}
	return addresses
}

// Size is how many entries are known.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// Listed returns the addresses of the entries by their names.
func (d *Directory) Listed() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.entries)
}

// Line returns the names of the few that are to lead next, in order.
func (d *Directory) Line() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.line))
}

// LineAddresses returns where the few are reached that are to lead next.
func (d *Directory) LineAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(d.line)) {
		addresses = append(addresses, d.entries[name])
	}
	return addresses
}

// misses reports whether an entry is not listed, though the directory has been read.
func (d *Directory) misses(name, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read && d.entries[name] != address
}

// KeepAnnounced says where an entry is reached and how much processor time it has, as AnnounceEntry does, and again when that is no longer listed: the leader
// takes entries off that it does not reach, and this one may only have been cut off.
func (d *Directory) KeepAnnounced(ctx context.Context, log Log, name, address string, cores float64) {
	for ctx.Err() == nil {
		AnnounceEntry(ctx, log, name, address, cores)
		// What was read before the announcement says nothing.
		pause.For(ctx, announceAgain)
		for changed := d.Changed(); ctx.Err() == nil && !d.misses(name, address); changed = d.Changed() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

// announceAgain is the least time between two announcements of an entry.
const announceAgain = 5 * time.Second

// RemoveEntries takes entries off the directory.
func RemoveEntries(ctx context.Context, log Log, names []string) error {
	var records []Record
	for _, name := range names {
		records = append(records, Record{Key: entryPrefix + name}, Record{Key: processorPrefix + name})
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := log.Append(ctx, records, Condition{})
	return err
}

// AnnounceEntry says where an entry is reached and how much processor time it has, in cores, and tries until that is kept. Zero cores
// are not told.
func AnnounceEntry(ctx context.Context, log Log, name, address string, cores float64) {
	records := []Record{{Key: entryPrefix + name, Value: []byte(address)}}
	if cores > 0 {
		records = append(records, Record{Key: processorPrefix + name, Value: strconv.AppendFloat(nil, cores, 'g', -1, 64)})
	}
	announce(ctx, log, records, Condition{})
}

// AnnounceLeader says who is the leader, and tries until that is kept or a later term has been announced.
func AnnounceLeader(ctx context.Context, log Log, o Leader) {
	record, err := LeaderRecord(o)
	if err == nil {
		announce(ctx, log, []Record{record}, Condition{Producer: TermOf(o.Term, 0)})
	}
}

func announce(ctx context.Context, log Log, records []Record, c Condition) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := log.Append(attempt, records, c)
		cancel()
		if err == nil || errors.Is(err, ErrFenced) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

const announceTimeout = time.Second
