package jobstore

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Able returns the addresses of the entries to which none is much larger, in the order of their names: those that should lead.
func (d *Directory) Able() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesOf(d.able())
}

// able returns the names of the entries to which none is much larger, in order. The lock must be held.
func (d *Directory) able() []string {
	most := 0.0
	for name := range d.entries {
		most = max(most, d.processors[name])
	}
	return d.names(func(name string) bool { return d.processors[name]*muchLarger > most || most == 0 })
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
	return d.addressesOf(slices.Sorted(maps.Keys(d.line)))
}

// Draw returns n of the addresses, others each time, or all of them if there are no more. Whoever asks entries for something that any of them can
// say asks a few: when each of 800 agents that had lost their leader asked each of 183 entries, the middle entry held 808 descriptors and 27 MB, and 19 and 8 MB
// since each asks three (one day each).
func Draw(addresses []string, n int) []string {
	drawn := slices.Clone(addresses)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(n, len(drawn))]
}
