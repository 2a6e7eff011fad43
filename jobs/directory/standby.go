package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// largerFactor is the ratio of sizes at which the larger entry makes the smaller one
	// ineligible. Entries of similar size may all lead.
	largerFactor = 2.0
	// maxStandbys is the largest number of entries that watch the leader closely and claim
	// leadership as soon as it fails. The others read less often and wait longer, so that neither
	// reads nor claims grow with the number of entries. The limit must be large enough that at
	// least one standby is up when a third of the entries are down.
	maxStandbys = 5
)

// LargerThan returns the addresses, sorted by name, of the entries that have at least largerFactor
// times the given number of cores. It returns none if cores is zero.
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

// eligible returns the sorted names of the entries that may lead: those for which no other entry is
// largerFactor times as large. If no size is known, all entries are eligible. d.mu must be held.
func (d *Directory) eligible() []string {
	largest := 0.0
	for name := range d.addresses {
		largest = max(largest, d.cores[name])
	}
	return d.names(func(name string) bool { return d.cores[name]*largerFactor > largest || largest == 0 })
}

// chooseStandbys selects standbys among the eligible entries by a hash of their names, so that
// every process selects the same ones and the selection doesn't depend on availability zones. d.mu
// must be held.
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

// IsStandby reports whether the named entry is a standby. It returns false until the directory has
// been read.
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
