package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// EligibleAddresses returns the addresses of the entries to which none is much larger, in the order of their names: those that should lead.
func (d *Directory) EligibleAddresses() []string {
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

// IsStandby reports whether an entry is one of the few that are to lead next. Nobody is as long as nothing has been read.
func (d *Directory) IsStandby(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.line[name]
}

// Standbys returns the names of the few that are to lead next, in order.
func (d *Directory) Standbys() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.line))
}

// StandbyAddresses returns where the few are reached that are to lead next.
func (d *Directory) StandbyAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesOf(slices.Sorted(maps.Keys(d.line)))
}
