package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// largerFactor is by how much the size of an entry must exceed that of another one to make the
	// other ineligible. Entries of similar size may all lead.
	largerFactor = 2.0
	// maxStandbys is the number of entries that watch the leader closely and claim the lead as soon
	// as it is gone. The others read less often and wait longer, so that neither reads nor claims
	// grow with the number of entries. It has to be large enough for one of them to be up when a
	// third of the entries are down.
	maxStandbys = 5
)

// LargerThan returns the addresses of the entries that are larger than the given number of cores by
// largerFactor, sorted by name; none if the number is zero.
func (d *Directory) LargerThan(cores float64) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	larger := func(name string) bool { return cores > 0 && d.cores[name] >= largerFactor*cores }
	return d.addressesOf(d.names(larger))
}

// EligibleAddresses returns the addresses of the entries that should lead, sorted by name.
func (d *Directory) EligibleAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesOf(d.eligible())
}

// eligible returns the names of the entries than which no other is larger by largerFactor, sorted.
// Where no size is known all entries are eligible. The lock must be held.
func (d *Directory) eligible() []string {
	largest := 0.0
	for name := range d.addresses {
		largest = max(largest, d.cores[name])
	}
	return d.names(func(name string) bool { return d.cores[name]*largerFactor > largest || largest == 0 })
}

// chooseStandbys chooses among the eligible entries by a hash of their names: every process chooses
// the same ones, and the choice doesn't depend on their availability zones. The lock must be held.
func (d *Directory) chooseStandbys() {
	names := d.eligible()
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	d.standbys = map[string]bool{}
	for _, name := range names[:min(maxStandbys, len(names))] {
		d.standbys[name] = true
	}
}

// IsStandby reports whether an entry is a standby. None is before the directory has been read.
func (d *Directory) IsStandby(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.standbys[name]
}

// Standbys returns the names of the standbys, sorted.
func (d *Directory) Standbys() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.standbys))
}

// StandbyAddresses returns the addresses of the standbys, sorted by name.
func (d *Directory) StandbyAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addressesOf(slices.Sorted(maps.Keys(d.standbys)))
}
